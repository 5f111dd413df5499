"""One signalling proxy: wiring, signals, exit."""

from __future__ import annotations

import gc
import signal
import sys
import time
from dataclasses import dataclass

from twisted import logger
from twisted.internet import error as net_error
from twisted.internet import reactor

from leadslip import config
from leadslip.checks import Tally
from leadslip.core import Deadlines, Engine, Watcher, Watchers
from leadslip.counters import Counters
from leadslip.logs import Log, open_log
from leadslip.net import enum
from leadslip.net.board import Board
from leadslip.net.clients import Clients
from leadslip.net.links import listen_shared, stop_shared
from leadslip.net.servers import Servers
from leadslip.readiness import Readiness

DRAIN_MS = 900.0  # new work may still come for so long after SIGTERM
LISTEN_AFTER_END_MS = (
    500.0  # new connections may come for 0.4 s after SIGTERM where nobody shares the address
)
LONGEST_COUNTED_MS = 3000.0  # SIGKILL may follow after the longest deadline, counted as this at the most ...
KILLED_AFTER_MS = 700.0  # ... and so much more
MARGIN_MS = 200.0  # to be out before it
LAST_SWEEP_MS = 400.0  # before the exit, every connection is closed once it owes no answer
TALLY_EVERY_MS = 10_000.0


class SystemClock:
    """Unix milliseconds: the rules, `boot_ms` and all deadlines go by this clock."""

    def now_ms(self) -> float:
        return time.time() * 1000.0


def show_errors() -> None:
    """Let what Twisted catches be read; else an error in a callback would pass unseen."""
    loud = logger.LogLevelFilterPredicate(defaultLogLevel=logger.LogLevel.error)
    observer = logger.FilteringLogObserver(logger.textFileLogObserver(sys.stderr), [loud])
    logger.globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)


def watcher_of(held: list[Watcher]) -> Watcher | None:
    """Several watchers as one; none where there is none, which costs an engine nothing."""
    return held[0] if len(held) == 1 else Watchers(*held) if held else None


def most_links(conf: config.Config) -> int:
    """Connections taken from callers, who hold a third of the descriptors; the rest are for servers."""
    return conf.sockets * 5 // 8


@dataclass(frozen=True, slots=True)
class Wanted:
    """All that the files of one proxy ask for; what is turned off is None."""

    conf: config.Config
    enum: config.EnumConfig | None
    otlp: config.OtlpConfig | None
    logs: config.LogsConfig
    store: config.StoreConfig | None
    trunks: config.TrunksConfig | None

    @classmethod
    def load(cls, conf: config.Config) -> Wanted:
        """Read every file but the first, checked."""
        store = config.load_store()
        trunks = config.load_trunks(conf, store is not None)
        return cls(conf, config.load_enum(), config.load_otlp(), config.load_logs(), store, trunks)

    def fixed(self) -> tuple[tuple[str, object], ...]:
        """What can't change without a restart."""
        measure = self.trunks and (self.trunks.measure, self.trunks.interval_s)
        told = (self.enum, self.otlp, self.logs, self.store, measure)
        return tuple(zip(("enum", "otlp", "logs", "store", "trunks.measure"), told, strict=True))


class Node:
    """The parts of one proxy and their life."""

    def __init__(self, wanted: Wanted, log: Log) -> None:
        self.wanted, self.log = wanted, log
        conf, otlp_conf = wanted.conf, wanted.otlp
        self.conf, self.tally, self.clock = conf, Tally(), SystemClock()
        self.readiness = Readiness()
        self.port = None
        self.deadlines = Deadlines(self.clock, reactor)
        self.exporter = None
        if otlp_conf is not None:
            # Imported only where wanted: the library costs some MB of the platform's memory.
            from leadslip.net.otlp import Exporter, Watch

            self.exporter = Exporter(reactor, otlp_conf, conf.name, self.deadlines, self.tally)
            watches = [[Watch(self.exporter, "sip", "INVITE")], [Watch(self.exporter, "dns", "NAPTR")]]
        else:
            watches = [[], []]
        self.keeper = None
        if wanted.store is not None:
            from leadslip.keeper import Keeper

            self.keeper = Keeper(reactor, wanted.store, self.deadlines, self.tally, log)
            if wanted.trunks is not None and wanted.trunks.measure:
                self.keeper.measure(wanted.trunks, watches)
        self.watches = [watcher_of(held) for held in watches]
        self.servers = Servers(
            reactor, self.tally, self.clock.now_ms, conf.dial_timeout_ms, self.unknown_end, self.deadlines
        )
        self.figures = Counters()
        self.engine = self.servers.engine = Engine(
            conf.settings,
            conf.seed,
            self.clock,
            self.deadlines,
            self.servers,
            self.tally,
            log,
            conf.most_held,
            self.watches[0],
            counters=self.figures,
        )
        self.figures.watch("pool_size", self.servers.listed_count)
        self.figures.watch("pool_ejected", self.servers.avoided)
        self.engines = [self.engine]
        self.reservation = None
        self.filter()
        self.clients = Clients(self.engine, self.tally, most_links(conf), self.readiness)
        self.board = Board(
            reactor,
            self.deadlines,
            self.tally,
            conf.board,
            conf.last_event,
            self.told,
            conf.dial_timeout_ms / 1000.0,
        )

    def filter(self) -> None:
        """Build the chain of filters that the configuration asks for; what is open keeps its own."""
        filters = []
        if self.wanted.trunks is not None and any(group.reserve for group in self.wanted.trunks.groups):
            from leadslip.trunks.reservation import Reservation

            self.reservation = Reservation(self.wanted.trunks.groups, self.reservation)
            filters.append(self.reservation)
        self.engine.chain.replace(filters)

    def start(self) -> None:
        """Begin to serve; what is known already comes before anything is polled."""
        # Before listening: a SIGTERM that comes once the front can reach us must drain, not end.
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(self.drain))
        for notice in self.conf.notices:
            self.told(notice)
        host, _ = self.conf.listen
        self.port = listen_shared(reactor, self.conf.listen, self.clients, backlog=512)
        port = self.port.getHost().port
        if self.conf.ops is not None:
            from leadslip.net.ops import Site

            site = Site(self.deadlines, self.tally, self.readiness.ready, self.counters, self.out, self.back)
            ops_host, ops_port = self.conf.ops
            ops_port = reactor.listenTCP(ops_port, site, backlog=64, interface=ops_host).getHost().port
            self.log("ops.serves", address=f"{ops_host}:{ops_port}")
        self.servers.look()
        self.board.poll()
        if self.exporter is not None:
            self.exporter.start()
        if self.keeper is not None:
            self.keeper.start()
        if self.wanted.enum is not None:
            seed, enum_conf = self.conf.seed, self.wanted.enum
            engine = enum.start(
                reactor, enum_conf, seed, self.deadlines, self.tally, self.log, self.watches[1]
            )
            self.engines.append(engine)
        self.report()
        gc.collect()
        gc.freeze()
        self.readiness.listening = True
        self.log("serves", name=self.conf.name, address=f"{host}:{port}")

    def told(self, notice: config.Notice) -> None:
        """News of the list: the far side first, so that the engine can send where it has heard of."""
        self.servers.listed(notice.news, notice.addresses)
        self.engine.news(notice.news)

    def counters(self) -> bytes:
        """The figures for operators."""
        return self.figures.text()

    def out(self) -> None:
        """Operators send clients away; the process goes on."""
        if self.readiness.out_of_service(self.clock.now_ms()):
            self.log("out_of_service")
            self.clients.send_away()

    def back(self) -> None:
        """Operators take clients again."""
        if self.readiness.in_service():
            self.log("in_service")

    def unknown_end(self, call: bytes, cut: bool) -> None:
        """A server ends a call never held here: it stands since before a restart, and its caller is told."""
        self.tally.add("servers.unknown_ends")
        self.clients.release(call.hex(), cut)

    def report(self, _: object = None) -> None:
        """Log the counters now and then."""
        told = sorted(self.tally.counts.items())
        self.log("counts", **{name.replace(" ", "_"): count for name, count in told})
        self.deadlines.at(self.clock.now_ms() + TALLY_EVERY_MS, self.report)

    def reload(self) -> None:
        """SIGHUP: take all configuration anew, or none of it and say why."""
        try:
            conf = config.reload(self.conf)
            wanted = Wanted.load(conf)
            for (key, now), (_, then) in zip(wanted.fixed(), self.wanted.fixed(), strict=True):
                if now != then:
                    raise config.MalformedError(f"{key} can't change without a restart")
            if (conf.settings, conf.most_held) != (self.conf.settings, self.conf.most_held):
                self.engine.adopt(conf.settings, conf.most_held)  # first, as the Controller may refuse them
        except (config.MalformedError, ValueError) as fault:
            self.figures.config_rejected += 1
            self.tally.add("reloads.rejected")
            self.log("reload.refused", level="error", fault=str(fault))
            return
        old, self.conf, self.wanted = self.conf, conf, wanted
        self.filter()
        self.figures.config_applied += 1
        self.tally.add("reloads")
        self.servers.dial_timeout_s = conf.dial_timeout_ms / 1000.0
        self.clients.accepted.most = most_links(conf)
        for notice in conf.notices:
            if notice.rev > self.board.last:
                self.board.last = notice.rev
                self.told(notice)
        if conf.board != old.board:
            self.board.move(conf.board)
        self.log("reload.taken")

    def drain(self) -> None:
        """SIGTERM: no more connections are taken here; what is held is answered, and clients are sent away."""
        if not self.readiness.end(self.clock.now_ms()):
            return
        if self.port is not None:
            self.deadlines.at(self.clock.now_ms() + LISTEN_AFTER_END_MS, lambda _: stop_shared(self.port))
        self.log("draining")
        self.clients.send_away()
        self.drained()

    def drained(self, _: object = None) -> None:
        """Exit once all is settled, or shortly before the kill."""
        now_ms = self.clock.now_ms()
        longest_ms = max(kind.deadline_ms for kind in self.conf.settings.classes)
        ending_ms = self.readiness.ending_ms
        last_ms = ending_ms + min(longest_ms, LONGEST_COUNTED_MS) + KILLED_AFTER_MS - MARGIN_MS
        # What stands can be told only on a connection from callers; once none is left, the servers tell its end
        # to whoever else they serve, a new process beside this one among them.
        held = any(engine.open for engine in self.engines) or (self.engine.standing and self.clients.links)
        if now_ms >= last_ms - LAST_SWEEP_MS:
            # Guards against connections that the exit would end under a set-up: each is closed once it is free,
            # so that what crosses the close is sent again by its caller.
            for link in self.clients.links:
                link.still_used = True
        if now_ms >= last_ms or (now_ms >= ending_ms + DRAIN_MS and not held):
            self.board.stop()
            for engine in self.engines:
                engine.settle()  # guards against what is still open being found unanswered by the kill
            if self.exporter is not None:
                self.exporter.flush()
            if self.keeper is not None:
                self.keeper.close()
            self.report()
            reactor.callLater(0.05, reactor.stop)  # what is written gets out first
            return
        self.deadlines.at(now_ms + 50.0, self.drained)


def main() -> int:
    """Run until a SIGTERM has been served; 2 when the configuration makes no sense."""
    node = None
    # Hooked first, as a SIGHUP not yet hooked ends the process; one that comes early waits for the reactor.
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(lambda: node.reload()))
    try:
        wanted = Wanted.load(config.load())
    except config.MalformedError as fault:
        print(f"leadslip: {fault}", file=sys.stderr)
        return 2
    show_errors()
    node = Node(wanted, open_log(wanted.logs.format, wanted.logs.level, wanted.conf.name))
    failed = []

    def start() -> None:
        try:
            node.start()
        except net_error.CannotListenError as fault:
            failed.append(str(fault))
            reactor.stop()

    reactor.callWhenRunning(start)
    reactor.run()
    if failed:
        print(f"leadslip: listen: {failed[0]}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
