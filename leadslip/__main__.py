"""One signalling proxy: wiring, signals, exit."""

from __future__ import annotations

import gc
import resource
import signal
import sys
import time
from dataclasses import dataclass

from twisted import logger
from twisted.internet import error as net_error
from twisted.internet import reactor

from leadslip import config, parts
from leadslip.checks import Tally
from leadslip.core import Deadlines, Engine, Watcher, Watchers
from leadslip.counters import Counters
from leadslip.errors import OperatorError
from leadslip.logs import Log, open_log
from leadslip.net.board import Board
from leadslip.net.clients import Clients
from leadslip.net.links import listen_shared, stop_shared
from leadslip.net.servers import Servers
from leadslip.operators import Answer, Asked, Calls, Verbs
from leadslip.parts.part import Part
from leadslip.readiness import Readiness

DRAIN_MS = 900.0  # new work may still come for so long after SIGTERM
LISTEN_AFTER_END_MS = (
    500.0  # new connections may come for 0.4 s after SIGTERM where nobody shares the address
)
LAST_SWEEP_MS = 400.0  # before the exit, every connection is closed once it owes no answer
TALLY_EVERY_MS = 10_000.0
FLUSH_MS = 120.0  # at the end, for so long callers may take to read the last answers
FLUSH_LOOK_MS = 10.0  # between two looks whether they have
# Descriptors beside connections of callers and servers: standard streams, the reactor's own, listeners and their
# reserve, polls of two boards, calls at the operators' address, files read anew.
OTHER_DESCRIPTORS = 24


class ListenError(OperatorError):
    """An address of the configuration can't be listened at."""

    code = "run.listen"
    action = "Free the address or name another; see that it is one of this machine's."


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


@dataclass(frozen=True, slots=True)
class Descriptors:
    """How the descriptors that the process may hold are shared out, so that no use of them starves another."""

    callers: int  # connections taken from callers, who hold a third of all
    spare: int  # more of them, taken only to tell callers to come again
    servers: int  # connections to setup servers beyond which none is opened that can be done without

    @classmethod
    def of(cls, conf: config.Config) -> Descriptors:
        """By the limit told, or that of the system where it is lower."""
        most = min(conf.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        spare = most // 16
        callers = most * 5 // 8 - spare
        return cls(callers, spare, most - callers - spare - OTHER_DESCRIPTORS)


@dataclass(frozen=True, slots=True)
class Wanted:
    """All that the files of one proxy ask for; the settings of a part that is off are None."""

    conf: config.Config
    parts: dict[str, object]

    @classmethod
    def load(cls, conf: config.Config) -> Wanted:
        """Read every file but the first, checked."""
        return cls(conf, parts.read(conf))


class Node:
    """The parts of one proxy and their life."""

    def __init__(self, wanted: Wanted, log: Log) -> None:
        self.wanted, self.log, self.reactor = wanted, log, reactor
        conf = wanted.conf
        self.conf, self.tally, self.clock = conf, Tally(), SystemClock()
        self.readiness = Readiness()
        self.port = None
        self.deadlines = Deadlines(self.clock, reactor)
        self.parts: dict[str, Part] = {}
        watches: dict[str, list[Watcher]] = {"sip": [], "dns": []}
        for name, told in wanted.parts.items():
            if told is not None:
                part = self.parts[name] = parts.wiring(name)(self, told)
                part.watch(watches)
        self.watches = {name: watcher_of(held) for name, held in watches.items()}
        descriptors = Descriptors.of(conf)
        self.servers = Servers(
            reactor,
            self.tally,
            self.clock.now_ms,
            conf.dial_timeout_ms,
            self.unknown_end,
            self.deadlines,
            descriptors.servers,
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
            self.watches["sip"],
            counters=self.figures,
        )
        self.figures.watch("pool_size", self.servers.listed_count)
        self.figures.watch("pool_ejected", self.servers.avoided)
        for part in self.parts.values():
            for name, read in part.figures().items():
                self.figures.watch(name, read)
        self.engines = [self.engine]
        self.filter()
        self.clients = Clients(
            self.engine, self.tally, descriptors.callers, self.readiness, descriptors.spare
        )
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
        self.engine.chain.replace([held for part in self.parts.values() for held in part.filters()])

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

            site = Site(self.deadlines, self.tally, self.calls())
            ops_host, ops_port = self.conf.ops
            ops_port = reactor.listenTCP(ops_port, site, backlog=64, interface=ops_host).getHost().port
            self.log("ops.serves", address=f"{ops_host}:{ops_port}")
        self.servers.look()
        self.board.poll()
        for part in self.parts.values():
            part.start()
        self.report()
        gc.collect()
        gc.freeze()
        self.readiness.listening = True
        self.log("serves", name=self.conf.name, address=f"{host}:{port}")

    def told(self, notice: config.Notice) -> None:
        """News of the list: the far side first, so that the engine can send where it has heard of."""
        self.servers.listed(notice.news, notice.addresses)
        self.engine.news(notice.news)

    def calls(self) -> Calls:
        """What operators may call: the proxy's own calls, and those of its parts."""

        def ready(asked: Asked) -> Answer:
            return Answer(200, b"ready\n") if self.readiness.ready() else Answer(503, b"not ready\n")

        def out(asked: Asked) -> Answer:
            self.out()
            return Answer(200, b"out of service\n")

        def back(asked: Asked) -> Answer:
            self.back()
            return Answer(200, b"in service\n")

        told: Calls = {
            b"ready": Verbs({b"GET": ready, b"HEAD": ready}),
            b"counters": Verbs({b"GET": lambda asked: Answer(200, self.figures.text())}),
            b"out-of-service": Verbs({b"PUT": out, b"POST": out}),
            b"in-service": Verbs({b"PUT": back, b"POST": back}),
        }
        for part in self.parts.values():
            told |= part.calls()
        return told

    def out(self) -> None:
        """Operators send clients away; the process goes on."""
        if self.readiness.out_of_service(self.clock.now_ms()):
            self.log("out_of_service")
            self.clients.send_away()
            self.told_service()

    def back(self) -> None:
        """Operators take clients again."""
        if self.readiness.in_service():
            self.log("in_service")
            self.told_service()

    def told_service(self) -> None:
        """Tell the parts whether this proxy takes clients."""
        told = self.readiness.service()
        for part in self.parts.values():
            part.service(told)

    def unknown_end(self, call: bytes, cut: bool) -> None:
        """A server ends a call never held here: it stands since before a restart, and its caller is told."""
        self.tally.add("servers.unknown_ends")
        self.clients.release(call.hex(), cut)
        for part in self.parts.values():
            part.ended_elsewhere(call.hex())

    def report(self, _: object = None) -> None:
        """Log the counters now and then."""
        told = sorted(self.tally.counts.items())
        self.log("counts", **{name.replace(" ", "_"): count for name, count in told})
        self.deadlines.at(self.clock.now_ms() + TALLY_EVERY_MS, self.report)

    def reload(self) -> None:
        """SIGHUP: take all configuration anew, or none of it and say why."""
        if self.engine.settled:
            return  # the process ends: there is nothing left to which settings could apply
        try:
            conf = config.reload(self.conf)
            wanted = Wanted.load(conf)
            running = parts.fixed(self.wanted.parts)
            for key, lasting in parts.fixed(wanted.parts).items():
                if lasting != running[key]:
                    raise config.FixedError(f"{key} can't change without a restart")
            if (conf.settings, conf.most_held) != (self.conf.settings, self.conf.most_held):
                self.engine.adopt(conf.settings, conf.most_held)  # first, as the Controller may refuse them
        except OperatorError as fault:
            self.figures.config_rejected += 1
            self.tally.add("reloads.rejected")
            self.log("reload.refused", level="error", **fault.fields())
            return
        old, self.conf, self.wanted = self.conf, conf, wanted
        for name, part in self.parts.items():
            part.retuned(wanted.parts[name])
        self.filter()
        self.figures.config_applied += 1
        self.tally.add("reloads")
        self.servers.dial_timeout_s = conf.dial_timeout_ms / 1000.0
        descriptors = Descriptors.of(conf)
        self.clients.accepted.most, self.clients.accepted.spare = descriptors.callers, descriptors.spare
        self.servers.most_links = descriptors.servers
        for notice in conf.notices:
            if notice.rev > self.board.last:
                self.board.last = notice.rev
                self.told(notice)
        if conf.board != old.board:
            self.board.move(conf.board)
        self.log("reload.taken")

    def drain(self) -> None:
        """SIGTERM: no more connections are taken here; what is held is answered, and clients are sent away."""
        if not self.readiness.end(self.clock.now_ms(), self.longest()):
            return
        if self.port is not None:
            self.deadlines.at(self.clock.now_ms() + LISTEN_AFTER_END_MS, lambda _: stop_shared(self.port))
        self.log("draining")
        self.told_service()
        self.clients.send_away()
        self.drained()

    def drained(self, _: object = None) -> None:
        """Exit once all is settled, or shortly before the kill."""
        now_ms = self.clock.now_ms()
        ending_ms, last_ms = self.readiness.ending_ms, self.readiness.last_ms(self.longest())
        # What stands can be told only on a connection from callers; once none is left, the servers tell its end
        # to whoever else they serve, a new process beside this one among them.
        held = any(engine.open for engine in self.engines) or (self.engine.standing and self.clients.links)
        if now_ms >= last_ms - LAST_SWEEP_MS:
            # Guards against connections that the exit would end under a set-up: each is closed once it is free,
            # so that what crosses the close is sent again by its caller.
            for link in self.clients.links:
                link.still_used = True
        if now_ms >= last_ms or (now_ms >= ending_ms + DRAIN_MS and not held):
            self.leave()
            return
        self.deadlines.at(now_ms + 50.0, self.drained)

    def longest(self) -> float:
        """The longest deadline of a class, ms."""
        return max(kind.deadline_ms for kind in self.conf.settings.classes)

    def leave(self) -> None:
        """The end, in one order: nothing more is sent, all is answered, what is written gets out, connections close.

        Guards against what is still open being found unanswered by the kill, and against requests taken while the
        last answers are on their way.
        """
        self.board.stop()
        for engine in self.engines:
            engine.settle()
        for part in self.parts.values():
            part.close()
        self.report()
        self.flushed(self.clock.now_ms() + FLUSH_MS)

    def flushed(self, last_ms: float) -> None:
        """Stop once callers have all that was written for them, or at the last moment."""
        now_ms = self.clock.now_ms()
        if now_ms < last_ms and not self.clients.finish():
            self.deadlines.at(now_ms + FLUSH_LOOK_MS, self.flushed, last_ms)
            return
        reactor.callLater(FLUSH_LOOK_MS / 1000.0, reactor.stop)  # servers are told of what is given up first


def main() -> int:
    """Run until a SIGTERM has been served; 2 when the configuration makes no sense."""
    node = None
    # One that comes before anything is taken ends the program as one does that comes later.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    # Hooked first, as a SIGHUP not yet hooked ends the process; one that comes early waits for the reactor.
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(lambda: node.reload()))
    try:
        wanted = Wanted.load(config.load())
        show_errors()
        logs = wanted.parts["logs"]
        node = Node(wanted, open_log(logs.format, logs.level, wanted.conf.name))
    except OperatorError as fault:
        print(f"leadslip: {fault.line()}", file=sys.stderr)
        return 2
    failed = []

    def start() -> None:
        try:
            node.start()
        except net_error.CannotListenError as fault:
            failed.append(ListenError(str(fault)).line())
            reactor.stop()
        except OperatorError as fault:
            failed.append(fault.line())
            reactor.stop()

    reactor.callWhenRunning(start)
    reactor.run()
    if failed:
        print(f"leadslip: {failed[0]}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
