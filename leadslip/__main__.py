"""The signalling proxy process: wires its components, handles signals and shuts down in order."""

from __future__ import annotations

import gc
import os
import resource
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from twisted import logger
from twisted.internet import error as net_error
from twisted.internet import reactor

from leadslip import config, parts
from leadslip.core import Deadlines, Engine, Observer, Observers
from leadslip.counters import Counters
from leadslip.errors import OperatorError
from leadslip.logs import Log, open_log
from leadslip.metrics import Metrics
from leadslip.net.board import BoardClient
from leadslip.net.clients import Clients
from leadslip.net.connections import listen_shared, stop_shared
from leadslip.net.servers import Servers
from leadslip.operators import Answer, Endpoint, Endpoints, OperatorRequest
from leadslip.parts.part import Part
from leadslip.readiness import Readiness
from leadslip.sent_ids import SentIds, open_shared

MIN_DRAIN_MS = 900.0  # minimum time between SIGTERM and exit, as new requests may still arrive
# How long the proxy listens after SIGTERM: clients that no other process serves may still connect for up to 400 ms.
LISTEN_AFTER_SIGTERM_MS = 500.0
COUNTS_LOG_INTERVAL_MS = 10_000.0
FLUSH_TIMEOUT_MS = 120.0  # for callers to read the last answers before the exit
FLUSH_POLL_MS = 10.0
# Descriptors other than connections of callers and servers: standard streams, the reactor's own, listeners and the
# spare descriptors of Twisted's accept, polls of the notice board (up to three, unanswered), operators'
# connections, and files read on a reload.
OTHER_DESCRIPTORS = 24


class ListenError(OperatorError):
    """The proxy can't listen on a configured address."""

    code = "run.listen"
    action = "Free the address or configure another; check that it belongs to this machine."


class SystemClock:
    """Wall clock in Unix milliseconds; used for decisions, all deadlines and comparison with a server's `boot_ms`."""

    def now_ms(self) -> float:
        return time.time() * 1000.0


def log_twisted_errors() -> None:
    """Write errors caught by Twisted to stderr; otherwise exceptions in callbacks would go unnoticed."""
    errors_only = logger.LogLevelFilterPredicate(defaultLogLevel=logger.LogLevel.error)
    observer = logger.FilteringLogObserver(logger.textFileLogObserver(sys.stderr), [errors_only])
    logger.globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)


def combine_observers(observers: list[Observer]) -> Observer | None:
    """Combine observers into one; returns None for an empty list, so that the engine skips notifications."""
    return observers[0] if len(observers) == 1 else Observers(*observers) if observers else None


@dataclass(frozen=True, slots=True)
class Descriptors:
    """Maximum numbers of connections by kind, which divide the file descriptor limit so that none starves another."""

    callers: int  # inbound connections; callers use about a third of all descriptors
    overflow: int  # further inbound connections, accepted only to refuse requests, so that callers retry
    servers: int  # connections to setup servers; at this number each server gets only the one that it needs

    @classmethod
    def from_config(cls, conf: config.Config) -> Descriptors:
        """Divide the configured limit, or that of the system if lower."""
        limit = min(conf.max_descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        overflow = limit // 16
        callers = limit * 5 // 8 - overflow
        return cls(callers, overflow, limit - callers - overflow - OTHER_DESCRIPTORS)


@dataclass(frozen=True, slots=True)
class LoadedConfig:
    """The complete configuration of one proxy; the settings of a disabled part are None."""

    conf: config.Config
    parts: dict[str, object]

    @classmethod
    def load(cls, conf: config.Config) -> LoadedConfig:
        """Read and check the files of all parts."""
        return cls(conf, parts.read_settings(conf))


class Node:
    """Builds the components of one proxy and controls their lifecycle."""

    def __init__(self, loaded: LoadedConfig, log: Log) -> None:
        self.loaded, self.log, self.reactor = loaded, log, reactor
        conf = loaded.conf
        self.conf, self.metrics, self.clock = conf, Metrics(), SystemClock()
        self.readiness = Readiness()
        self.listening_port = None  # where clients connect; None until the start
        self.deadlines = Deadlines(self.clock, reactor)
        self.parts: dict[str, Part] = {}
        observers_by_engine: dict[str, list[Observer]] = {"sip": [], "dns": []}
        for name, part_conf in loaded.parts.items():
            if part_conf is not None:
                part = self.parts[name] = parts.part_class(name)(self, part_conf)
                part.add_observers(observers_by_engine)
        self.observers = {
            name: combine_observers(observers) for name, observers in observers_by_engine.items()
        }
        descriptors = Descriptors.from_config(conf)
        self.servers = Servers(
            reactor,
            self.metrics,
            self.clock.now_ms,
            conf.connect_timeout_ms,
            self.on_unknown_end,
            self.deadlines,
            descriptors.servers,
        )
        self.counters = Counters()
        self.engine = self.servers.engine = Engine(
            conf.settings,
            conf.seed,
            self.clock,
            self.deadlines,
            self.servers,
            self.metrics,
            log,
            conf.max_open_requests,
            self.observers["sip"],
            counters=self.counters,
            sent_ids=self.open_sent_ids(),
        )
        self.counters.add_gauge("pool_size", self.servers.listed_count)
        self.counters.add_gauge("pool_ejected", self.servers.unreachable_count)
        for part in self.parts.values():
            for name, read_value in part.gauges().items():
                self.counters.add_gauge(name, read_value)
        self.engines = [self.engine]
        self.rebuild_filters()
        self.clients = Clients(
            self.engine, self.metrics, descriptors.callers, self.readiness, descriptors.overflow
        )
        self.board = BoardClient(
            reactor,
            self.deadlines,
            self.metrics,
            conf.board,
            conf.last_event_id,
            self.apply_notice,
            conf.connect_timeout_ms / 1000.0,
        )

    def open_sent_ids(self) -> SentIds:
        """Return the ids of sent requests: in $TMPDIR, which the processes of an upgrade share, else in memory."""
        folder, (host, port) = os.environ.get("TMPDIR"), self.conf.listen
        if (
            not folder or not port
        ):  # with a port of its own choice no other process serves this proxy's callers
            return SentIds()
        try:
            return SentIds(open_shared(Path(folder), f"leadslip-sent-{host}-{port}"))
        except OSError as error:
            self.log("sent_ids.not_shared", level="warning", reason=str(error))
            return SentIds()

    def rebuild_filters(self) -> None:
        """Rebuild the filter chain from the configuration; open requests keep the filters that admitted them."""
        self.engine.chain.replace([filter_ for part in self.parts.values() for filter_ in part.filters()])

    def start(self) -> None:
        """Start serving; the notices in the configuration are applied before the first poll of the notice board."""
        # Installed before listening: once the load balancer can reach the proxy, SIGTERM must drain it, not end it.
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(self.drain))
        for notice in self.conf.known_notices:
            self.apply_notice(notice)
        host, _ = self.conf.listen
        self.listening_port = listen_shared(reactor, self.conf.listen, self.clients, backlog=512)
        port = self.listening_port.getHost().port
        if self.conf.ops is not None:
            from leadslip.net.ops import Site

            site = Site(self.deadlines, self.metrics, self.endpoints())
            ops_host, ops_port = self.conf.ops
            ops_port = reactor.listenTCP(ops_port, site, backlog=64, interface=ops_host).getHost().port
            self.log("ops.serves", address=f"{ops_host}:{ops_port}")
        self.servers.check_connections()
        self.board.poll()
        for part in self.parts.values():
            part.start()
        self.log_counters()
        gc.collect()
        gc.freeze()
        self.readiness.listening = True
        self.log("serves", name=self.conf.name, address=f"{host}:{port}")

    def apply_notice(self, notice: config.Notice) -> None:
        """Apply a server list update: first to the connections, as the engine may send to new servers at once."""
        self.servers.apply_list_update(notice.update, notice.addresses)
        self.engine.update_servers(notice.update)

    def endpoints(self) -> Endpoints:
        """Return the endpoints at the operators' address: those of the proxy and of its parts."""

        def ready(request: OperatorRequest) -> Answer:
            return Answer(200, b"ready\n") if self.readiness.ready() else Answer(503, b"not ready\n")

        def take_out(request: OperatorRequest) -> Answer:
            self.take_out_of_service()
            return Answer(200, b"out of service\n")

        def put_back(request: OperatorRequest) -> Answer:
            self.return_to_service()
            return Answer(200, b"in service\n")

        endpoints: Endpoints = {
            b"ready": Endpoint({b"GET": ready, b"HEAD": ready}),
            b"counters": Endpoint({b"GET": lambda request: Answer(200, self.counters.to_text())}),
            b"out-of-service": Endpoint({b"PUT": take_out, b"POST": take_out}),
            b"in-service": Endpoint({b"PUT": put_back, b"POST": put_back}),
        }
        for part in self.parts.values():
            endpoints |= part.endpoints()
        return endpoints

    def take_out_of_service(self) -> None:
        """Drain client connections on an operator's request; the process keeps running."""
        if self.readiness.take_out_of_service(self.clock.now_ms()):
            self.log("out_of_service")
            self.clients.drain.begin()
            self.notify_service_state()

    def return_to_service(self) -> None:
        """Accept clients again on an operator's request."""
        if self.readiness.return_to_service():
            self.log("in_service")
            self.notify_service_state()

    def notify_service_state(self) -> None:
        """Notify the parts of the proxy's service state."""
        service_state = self.readiness.service_state()
        for part in self.parts.values():
            part.service_state_changed(service_state)

    def on_unknown_end(self, call: bytes, cut: bool) -> None:
        """A server ended a call unknown here, such as one set up before a restart: notify its caller."""
        self.metrics.add("servers.unknown_ends")
        self.clients.releases.release(call.hex(), cut)
        for part in self.parts.values():
            part.on_unknown_call_ended(call.hex())

    def log_counters(self, _: object = None) -> None:
        """Log the counts of the metrics, and schedule the next log line."""
        counts = sorted(self.metrics.counts.items())
        self.log("counts", **{name.replace(" ", "_"): count for name, count in counts})
        self.deadlines.call_at(self.clock.now_ms() + COUNTS_LOG_INTERVAL_MS, self.log_counters)

    def reload(self) -> None:
        """SIGHUP: apply the whole new configuration, or reject it and log the reason."""
        if self.engine.stopped:
            return  # the process is shutting down
        try:
            conf = config.reload(self.conf)
            loaded = LoadedConfig.load(conf)
            running = parts.restart_settings(self.loaded.parts)
            for key, fixed_settings in parts.restart_settings(loaded.parts).items():
                if fixed_settings != running[key]:
                    raise config.FixedError(f"{key} can't change without a restart")
            if (conf.settings, conf.max_open_requests) != (self.conf.settings, self.conf.max_open_requests):
                # Before anything else is changed, as the Controller may reject the settings.
                self.engine.apply_settings(conf.settings, conf.max_open_requests)
        except OperatorError as error:
            self.counters.config_rejected += 1
            self.metrics.add("reloads.rejected")
            self.log("reload.refused", level="error", **error.fields())
            return
        old, self.conf, self.loaded = self.conf, conf, loaded
        for name, part in self.parts.items():
            part.settings_reloaded(loaded.parts[name])
        self.rebuild_filters()
        self.counters.config_applied += 1
        self.metrics.add("reloads")
        self.servers.connect_timeout_s = conf.connect_timeout_ms / 1000.0
        descriptors = Descriptors.from_config(conf)
        self.clients.inbound.max_connections, self.clients.inbound.overflow = (
            descriptors.callers,
            descriptors.overflow,
        )
        self.servers.max_connections = descriptors.servers
        for notice in conf.known_notices:
            if notice.rev > self.board.last_event_id:
                self.board.last_event_id = notice.rev
                self.apply_notice(notice)
        if conf.board != old.board:
            self.board.change_address(conf.board)
        self.log("reload.taken")

    def drain(self) -> None:
        """SIGTERM: stop accepting connections, answer the open requests and drain client connections."""
        if not self.readiness.begin_shutdown(self.clock.now_ms(), self.conf.settings.longest_deadline_ms()):
            return
        if self.listening_port is not None:
            self.deadlines.call_at(
                self.clock.now_ms() + LISTEN_AFTER_SIGTERM_MS, lambda _: stop_shared(self.listening_port)
            )
        self.log("draining")
        self.notify_service_state()
        self.clients.drain.begin()
        self.exit_when_drained()

    def exit_when_drained(self, _: object = None) -> None:
        """Exit once no call depends on this process, or shortly before SIGKILL; otherwise check again later."""
        now_ms = self.clock.now_ms()
        longest_deadline_ms = self.conf.settings.longest_deadline_ms()
        exit_by_ms = self.readiness.answer_by_ms(longest_deadline_ms)
        # The end of an established call can be reported only on a connection from a caller. Once none is left, the
        # servers report it to their other clients, such as a new process beside this one.
        pending = any(engine.open_requests for engine in self.engines) or (
            self.engine.established_requests and self.clients.connections
        )
        if self.readiness.exit_is_near(now_ms, longest_deadline_ms):
            # Prevents the exit from dropping connections during a set-up: each is closed once no answer is pending,
            # so that callers resend a set-up that crosses the close.
            for connection in self.clients.connections:
                connection.close_despite_calls = True
        if now_ms >= exit_by_ms or (
            now_ms >= self.readiness.shutdown_since_ms + MIN_DRAIN_MS and not pending
        ):
            self.begin_exit()
            return
        self.deadlines.call_at(now_ms + 50.0, self.exit_when_drained)

    def begin_exit(self) -> None:
        """Shut down in order: stop sending set-ups, answer all requests, flush the answers, close connections.

        Prevents open requests from being left unanswered at SIGKILL, and new ones from being accepted while the last
        answers are being sent.
        """
        self.board.stop()
        for engine in self.engines:
            engine.shut_down()
        for part in self.parts.values():
            part.close()
        self.log_counters()
        self.stop_when_flushed(self.clock.now_ms() + FLUSH_TIMEOUT_MS)

    def stop_when_flushed(self, exit_by_ms: float) -> None:
        """Stop the reactor once all answers are flushed and all client connections closed, or at `exit_by_ms`."""
        now_ms = self.clock.now_ms()
        if now_ms < exit_by_ms and not self.clients.close_connections():
            self.deadlines.call_at(now_ms + FLUSH_POLL_MS, self.stop_when_flushed, exit_by_ms)
            return
        # The delay lets the cancellations of attempts in progress be sent to the servers before the exit.
        reactor.callLater(FLUSH_POLL_MS / 1000.0, reactor.stop)


def main() -> int:
    """Run until shut down by SIGTERM; returns 2 for an invalid configuration or an address that cannot be used."""
    node = None
    # A SIGTERM before the proxy listens exits with status 0, as a later one does.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    # Installed before the configuration is read: SIGHUP without a handler would end the process. A SIGHUP that comes
    # before the reactor runs is handled once it does.
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(lambda: node.reload()))
    try:
        loaded = LoadedConfig.load(config.load())
        log_twisted_errors()
        logs = loaded.parts["logs"]
        node = Node(loaded, open_log(logs.format, logs.level, loaded.conf.name))
    except OperatorError as error:
        print(f"leadslip: {error.line()}", file=sys.stderr)
        return 2
    failures = []

    def start() -> None:
        try:
            node.start()
        except net_error.CannotListenError as error:
            failures.append(ListenError(str(error)).line())
            reactor.stop()
        except OperatorError as error:
            failures.append(error.line())
            reactor.stop()

    reactor.callWhenRunning(start)
    reactor.run()
    if failures:
        print(f"leadslip: {failures[0]}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
