"""Seeded trials of a few proxies under mixed troubles, with every rule judged: python -m tests.soak --seeds 1-50.

A plan drawn from the seed says which troubles begin when. The judge reads only the records of callers, servers, notice
boards and operators, and the exit of each process. Times are seconds from the start of a trial.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from leadslip.drill.run import reserve_network
from tests.soak_peers import (
    Board,
    Caller,
    CallerConnection,
    RefusedPeer,
    RequestRecord,
    SetUpRecord,
    SetupServer,
)
from tests.standins import ROOT, notice, settings

DURATION_S = 16.0
SLACK_S = 0.05  # by which the protocol extends every limit
DRAIN_LIMIT_S, RECENT_REQUEST_S = 4.0, 2.0  # for connections after out-of-service
BACK_IN_SERVICE_S, READY_S = 2.0, 10.0
LATE_ANSWER_S = 0.5  # after a request's time; then it is lost
RELEASE_LIMIT_S = 1.0
STOP_SENDING_S = 1.0  # to a server that drains or is gone
TOLD_LIMIT_S = 6.0  # for news of the board once it can be reached
CALLER_GONE_S = 0.1
KILL_DELAY_S, MAX_DEADLINE_S = 0.7, 3.0
LATE_S = 0.03  # the trial's own loop was late if it woke up later than this
BESIDE_S = (
    0.5  # a finding this close to a late moment is not relied on: the plan is played again, and both are told
)
MAX_PRINTED = 6  # findings of one trial
SIP_PORT, OPS_PORT = 5060, 9090
REFUSED_PEERS_PER_S, QUIET_CALLERS_PER_S = 120.0, 10.0
REFUSED_PEER_LIMIT_S = 3.0  # for a peer that is no caller to be refused, after it has connected


@dataclass(frozen=True)
class Trouble:
    """One trouble: its kind, when it begins and for how long, and what it befalls (a proxy's or a server's number)."""

    kind: str
    at_s: float
    lasts_s: float
    target: int


@dataclass(frozen=True)
class Plan:
    """What a seed stands for."""

    seed: int
    proxies: int
    deadline_s: float
    guard_s: float
    attempts: int
    answer_s: float
    call_s: float
    rate: float  # requests per second, over all proxies
    connections: int  # from callers to each proxy
    troubles: tuple[Trouble, ...]


SERVERS = 3
KINDS = ("out", "term", "hup", "hang", "replace", "reset", "board silent", "board refuses", "crowd", "stop")


def draw_plan(seed: int) -> Plan:
    """Draws a plan: one drain and one restart at least, and five more troubles that overlap them."""
    rng = Random(seed)
    proxies = rng.randint(3, 5)
    troubles = []
    for kind in ("out", "term", *rng.choices(KINDS, k=6)):
        lasts_s = 5.0 if kind == "out" else 0.3 if kind == "stop" else rng.uniform(0.5, 3.0)
        target = rng.randrange(SERVERS if kind in ("hang", "replace", "reset") else proxies)
        troubles.append(Trouble(kind, rng.uniform(0.5, 9.0), lasts_s, target))
    # Drawn apart, so that the plans of the seeds keep what they had before this kind was added.
    slow = Random(f"board slow {seed}")
    if slow.random() < 0.5:
        lasts_s = slow.uniform(4.0, 7.0)
        troubles.append(Trouble("board slow", slow.uniform(0.5, 6.0), lasts_s, slow.randrange(proxies)))
    refused = Random(f"refused peers {seed}")
    if refused.random() < 0.5:
        lasts_s = refused.uniform(5.0, 8.0)
        troubles.append(
            Trouble("refused peers", refused.uniform(0.5, 4.0), lasts_s, refused.randrange(proxies))
        )
    return Plan(
        seed,
        proxies,
        rng.choice((0.8, 1.2, 1.6, 3.0, 9.0)),
        rng.choice((0.1, 0.3, 0.5)),
        rng.randint(2, 6),
        rng.choice((0.02, 0.1, 0.2)),
        rng.choice((0.5, 1.5, 4.0)),
        rng.choice((40.0, 80.0, 120.0)),
        rng.randint(1, 5),
        tuple(sorted(troubles, key=lambda trouble: trouble.at_s)),
    )


@dataclass(frozen=True)
class Finding:
    """A broken rule: when, at which proxy, and for which call, if any."""

    rule: str
    at_s: float
    proxy: str
    detail: str


@dataclass
class Run:
    """One process of the program, from its start to its exit."""

    started_s: float
    ready_s: float = 0.0
    term_s: float = 0.0
    ended_s: float = 0.0
    status: int | None = None


@dataclass
class Proxy:
    """One proxy: its address, its processes in turn, and what was seen of its readiness."""

    name: str
    ip: str
    board: Board
    folder: Path
    board_index: int = 0
    ready: bool = False
    process: asyncio.subprocess.Process | None = None
    runs: list[Run] = field(default_factory=list)
    out_s: float = 0.0  # since when it is out of service; 0: it is not
    busy: bool = False  # a signal's trouble is being played

    def up_throughout(self, from_s: float, to_s: float) -> bool:
        return any(
            run.ready_s and run.ready_s <= from_s and not (run.term_s and run.term_s < to_s)
            for run in self.runs
        )


class Trial:
    """Plays one plan and judges it."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder, self.rng = plan, folder, Random(plan.seed + 1)
        self.findings: list[Finding] = []
        self.set_ups: list[SetUpRecord] = []
        self.requests: dict[str, RequestRecord] = {}
        self.events: list[dict] = []
        self.published_s: dict[int, float] = {}
        self.states: dict[str, str] = {}  # of each server uid, as published last
        self.uid_of_server = [f"s{i}" for i in range(SERVERS)]
        self.late_s: list[float] = []
        self.refused_peers: list[RefusedPeer] = []

    def found(self, rule: str, proxy: str, detail: str, at_s: float | None = None) -> None:
        self.findings.append(Finding(rule, round(at_s or time.monotonic() - self.start_s, 3), proxy, detail))

    async def play(self) -> list[Finding]:
        plan, self.start_s = self.plan, time.monotonic()
        prefix, reservation = reserve_network()
        try:
            self.servers = [
                SetupServer(f"s{i}", self.rng, plan.answer_s, plan.call_s, self.set_ups)
                for i in range(SERVERS)
            ]
            for server in self.servers:
                await server.start(f"{prefix}.2")
                self.states[server.name] = "active"
            self.proxies = []
            for i in range(plan.proxies):
                board = Board(self.events)
                await board.start(f"{prefix}.3")
                folder = self.folder / f"n{i}"
                folder.mkdir(parents=True)
                self.proxies.append(Proxy(f"n{i}", f"{prefix}.{10 + i}", board, folder))
            await asyncio.gather(*(self.start_process(proxy) for proxy in self.proxies))
            await self.play_troubles()
        finally:
            for proxy in self.proxies:
                if proxy.process is not None and proxy.process.returncode is None:
                    proxy.process.kill()
                    await proxy.process.wait()
            reservation.close()
        self.judge()
        return self.findings

    async def play_troubles(self) -> None:
        plan, self.start_s = self.plan, time.monotonic()
        self.caller = Caller(self.rng, self.requests, plan.rate, plan.deadline_s)
        background = [
            asyncio.create_task(task)
            for task in (
                self.caller.run(),
                self.watch_lateness(),
                *(self.watch(proxy) for proxy in self.proxies),
            )
        ]
        troubles = [asyncio.create_task(self.play_trouble(trouble)) for trouble in plan.troubles]
        await asyncio.sleep(DURATION_S)
        await asyncio.gather(*troubles)
        background[0].cancel()
        await asyncio.gather(*(self.terminate(proxy) for proxy in self.proxies))
        for task in background:
            task.cancel()
        self.end_s = time.monotonic()

    # Processes.

    def configure(self, proxy: Proxy) -> None:
        """Writes the configuration of a proxy, with all that its board has published so far."""
        plan, rev = self.plan, len(self.events) + 1
        targets = [
            (uid, self.servers[int(uid[1])].address, state)
            for uid, state in self.states.items()
            if state != "left"
        ]
        service = {"gain": 1.0, "late_worth": 0.2, "aim_ms": 500.0, "deadline_ms": plan.deadline_s * 1000.0}
        configuration = {
            "name": proxy.name,
            "listen": f"{proxy.ip}:{SIP_PORT}",
            "ops": f"{proxy.ip}:{OPS_PORT}",
            "seed": f"{plan.seed:x}",
            "board": proxy.board.addresses[proxy.board_index],
            "known": {"rev": rev, "notices": [notice(rev, *targets, snapshot=True)]},
            "limits": {"sockets": 256},
            "settings": settings(
                balancers=plan.proxies,
                services=[{"name": "plain"} | service],
                limits={"most_tries": plan.attempts, "cancel": True, "retry_after": True},
                obligations=settings()["obligations"] | {"stop_sending_within_ms": STOP_SENDING_S * 1000.0},
                extra={"guard_ms": plan.guard_s * 1000.0, "allowed_pools": [[0, 1, 2]]},
            ),
        }
        (proxy.folder / "new.json").write_text(json.dumps(configuration))
        (proxy.folder / "new.json").replace(proxy.folder / "config.json")

    async def start_process(self, proxy: Proxy) -> None:
        self.configure(proxy)
        (proxy.folder / "logs.toml").write_text('level = "debug"\n')
        environment = os.environ | {
            "NODE_CONFIG": str(proxy.folder / "config.json"),
            "LEADSLIP_LOGS": str(proxy.folder / "logs.toml"),
        }
        run = Run(time.monotonic())
        proxy.runs.append(run)
        with open(proxy.folder / "log", "ab") as log:
            proxy.process = await asyncio.create_subprocess_exec(
                sys.executable, "-O", "-m", "leadslip", cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        while not await self.ask(proxy, "GET", "ready"):
            if time.monotonic() - run.started_s > READY_S:
                self.found("ready", proxy.name, f"not ready {READY_S:.0f} s after its start")
                break
            await asyncio.sleep(0.05)
        run.ready_s = time.monotonic()

    async def ask(self, proxy: Proxy, method: str, call: str) -> bool:
        """Makes one call at the operators' address; returns whether the answer is 2xx."""
        try:
            reader, writer = await asyncio.open_connection(proxy.ip, OPS_PORT)
            writer.write(f"{method} /control/{call} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            status = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 2" in status[:11]
        except (OSError, TimeoutError):
            return False

    async def watch(self, proxy: Proxy) -> None:
        """Asks for readiness ten times a second, as the front does, and keeps connections to a ready proxy."""
        own: list[CallerConnection] = []
        while True:
            proxy.ready = await self.ask(proxy, "GET", "ready")
            own = [
                connection
                for connection in self.caller.connections
                if connection.proxy == proxy.name and not connection.is_quiet
            ]
            if proxy.ready and len(own) < self.plan.connections:
                await self.caller.connect(proxy.name, (proxy.ip, SIP_PORT))
            await asyncio.sleep(0.1)

    async def watch_lateness(self) -> None:
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(0.01)
            if time.monotonic() - before_s > 0.01 + LATE_S:
                self.late_s.append(time.monotonic() - self.start_s)

    # Troubles.

    async def play_trouble(self, trouble: Trouble) -> None:
        await asyncio.sleep(trouble.at_s)
        until_s = time.monotonic() + trouble.lasts_s
        if trouble.kind in ("hang", "replace", "reset"):
            await self.play_server_trouble(trouble, until_s)
        elif trouble.kind == "refused peers":
            proxy = self.proxies[trouble.target]
            await asyncio.gather(
                self.open_refused_peers(proxy, until_s), self.open_quiet_callers(proxy, until_s)
            )
        elif trouble.kind == "crowd":
            self.caller.rate *= 4.0
            await asyncio.sleep(trouble.lasts_s)
            self.caller.rate /= 4.0
        else:
            await self.play_proxy_trouble(trouble, self.proxies[trouble.target], until_s)

    async def open_refused_peers(self, proxy: Proxy, until_s: float) -> None:
        """Opens connections of peers that ask once for a class that does not exist, and stay connected."""
        while time.monotonic() < until_s:
            if proxy.ready:
                peer = RefusedPeer(proxy.name, (proxy.ip, SIP_PORT), f"{self.rng.getrandbits(64):016x}")
                self.refused_peers.append(peer)
                self.caller.keep(peer.play())
            await asyncio.sleep(1.0 / REFUSED_PEERS_PER_S)

    async def open_quiet_callers(self, proxy: Proxy, until_s: float) -> None:
        """Opens connections of callers that set up one call and then have nothing to send."""
        while time.monotonic() < until_s:
            if proxy.ready:
                await self.caller.connect(proxy.name, (proxy.ip, SIP_PORT), is_quiet=True)
            await asyncio.sleep(1.0 / QUIET_CALLERS_PER_S)

    async def play_server_trouble(self, trouble: Trouble, until_s: float) -> None:
        server = self.servers[trouble.target]
        if trouble.kind == "hang":
            server.hangs_until_s = until_s
        elif trouble.kind == "reset":
            server.reset_connections()
        else:
            uid = self.uid_of_server[trouble.target]
            if self.states[uid] != "active":
                return
            self.publish(uid, server, "leaving")
            await asyncio.sleep(2.0)
            self.publish(uid, server, "left")
            server.reset_connections()
            await asyncio.sleep(0.5)
            self.uid_of_server[trouble.target] = uid + "x"
            self.publish(uid + "x", server, "active")

    def publish(self, uid: str, server: SetupServer, state: str) -> None:
        self.states[uid] = state
        server.name = uid if state == "active" else server.name
        rev = len(self.events) + 2
        self.events.append(notice(rev, (uid, server.address, state)))
        self.published_s[rev] = time.monotonic()

    async def play_proxy_trouble(self, trouble: Trouble, proxy: Proxy, until_s: float) -> None:
        if trouble.kind == "board silent":
            proxy.board.silent_until_s = until_s
        elif trouble.kind == "board refuses":
            proxy.board.refuses_until_s = until_s
        elif trouble.kind == "board slow":
            proxy.board.slow_until_s = until_s
            proxy.board.abort_polls()
        elif proxy.busy:
            return
        elif trouble.kind == "hup":
            for _ in range(3):
                await self.send_reload(proxy)
                await asyncio.sleep(0.2)
        elif trouble.kind == "stop":
            await self.stall(proxy, trouble.lasts_s)
        else:
            proxy.busy = True
            if trouble.kind == "out":
                await self.drain(proxy, trouble.lasts_s)
            else:
                await self.terminate(proxy)
                await self.start_process(proxy)
            proxy.busy = False

    async def send_reload(self, proxy: Proxy) -> None:
        if proxy.process is not None and proxy.process.returncode is None and proxy.runs[-1].ready_s:
            proxy.board_index = 1 - proxy.board_index
            self.configure(proxy)
            proxy.process.send_signal(signal.SIGHUP)
            for rev in self.published_s:  # the configuration tells what has been published so far
                proxy.board.written_s.setdefault(rev, time.monotonic())

    async def stall(self, proxy: Proxy, lasts_s: float) -> None:
        with contextlib.suppress(ProcessLookupError):
            proxy.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(lasts_s)
            proxy.process.send_signal(signal.SIGCONT)

    async def drain(self, proxy: Proxy, lasts_s: float) -> None:
        if not await self.ask(proxy, "PUT", "out-of-service"):
            self.found("operators", proxy.name, "out-of-service was not answered")
            return
        proxy.out_s = time.monotonic()
        await asyncio.sleep(DRAIN_LIMIT_S + SLACK_S)
        await self.judge_drain(proxy)
        await asyncio.sleep(max(0.0, proxy.out_s + lasts_s - time.monotonic()))
        await self.ask(proxy, "PUT", "in-service")
        proxy.out_s, back_s = 0.0, time.monotonic()
        while not await self.ask(proxy, "GET", "ready"):
            if time.monotonic() - back_s > BACK_IN_SERVICE_S:
                self.found("in service", proxy.name, f"not ready {BACK_IN_SERVICE_S:.0f} s after in-service")
                return
            await asyncio.sleep(0.05)

    async def judge_drain(self, proxy: Proxy) -> None:
        """Judges each connection of a drained proxy; one that is free or answered within the slack is kept."""
        now_s = time.monotonic()
        held = [
            connection
            for connection in self.caller.connections
            if connection.proxy == proxy.name and connection.held_in_drain(now_s, RECENT_REQUEST_S)
        ]
        if await self.ask(proxy, "GET", "ready"):
            self.found("drain: ready", proxy.name, "yes 4 s after out-of-service")
        await asyncio.sleep(max(0.0, now_s + SLACK_S - time.monotonic()))
        for connection in held:
            if not connection.closed_s and (reason := connection.held_in_drain(now_s, RECENT_REQUEST_S)):
                self.found("drain: connection", proxy.name, reason)

    async def terminate(self, proxy: Proxy) -> None:
        """Sends SIGTERM, and SIGKILL at the earliest time that the protocol allows."""
        run, process = proxy.runs[-1], proxy.process
        run.term_s = time.monotonic()
        process.send_signal(signal.SIGTERM)
        try:
            run.status = await asyncio.wait_for(
                process.wait(), min(self.plan.deadline_s, MAX_DEADLINE_S) + KILL_DELAY_S
            )
        except TimeoutError:
            process.kill()
            await process.wait()
            self.found("exit", proxy.name, "still running at the earliest SIGKILL")
            return
        finally:
            run.ended_s = time.monotonic()
        if run.status != 0:
            self.found("exit", proxy.name, f"exit status {run.status}")

    # The judge.

    def judge(self) -> None:
        for proxy in self.proxies:
            text = (proxy.folder / "log").read_text(errors="replace")
            for word in ("Traceback", "broken."):
                if word in text:
                    self.found("crash", proxy.name, f"{word} in the log", 0.001)
            if proxy.process.returncode not in (0, -signal.SIGKILL):
                self.found("crash", proxy.name, f"ended with {proxy.process.returncode}", 0.001)
        for request in self.requests.values():
            self.judge_request(request)
        by_call: dict[str, list[SetUpRecord]] = {}
        for set_up in self.set_ups:
            by_call.setdefault(set_up.call, []).append(set_up)
            self.judge_server_state(set_up)
        for set_ups in by_call.values():
            self.judge_set_ups(set_ups)
        for proxy in self.proxies:
            self.judge_news(proxy)
        for peer in self.refused_peers:
            self.judge_refused_peer(peer)

    def judge_request(self, request: RequestRecord) -> None:
        at_s, limit_s = request.sent_s - self.start_s, request.expires_s + SLACK_S + LATE_ANSWER_S
        if len(request.answers) > 1:
            self.found("two answers", request.proxy, request.call, at_s)
        elif request.answers and request.answers[0][0] - request.sent_s > limit_s:
            self.found("late answer", request.proxy, request.call, at_s)
        elif not request.answers and not request.cancelled_s:
            if request.closed_s and request.closed_s - request.sent_s >= SLACK_S:
                self.found("lost", request.proxy, f"{request.call}: connection ended without an answer", at_s)
            elif not request.closed_s and self.end_s - request.sent_s > limit_s:
                self.found("lost", request.proxy, f"{request.call}: no answer", at_s)

    def judge_set_ups(self, set_ups: list[SetUpRecord]) -> None:
        request = self.requests.get(set_ups[0].call)
        if request is None:
            self.found("unknown call", set_ups[0].proxy, set_ups[0].call)
            return
        for before, after in zip(set_ups, set_ups[1:], strict=False):
            at_s = after.received_s - self.start_s
            # An attempt is out until its end has been written, even if a reset then loses that answer.
            if not before.ended_s or after.received_s < before.ended_s - SLACK_S:
                self.found("two attempts at once", before.proxy, before.call, at_s)
            elif request.answers and after.received_s > request.answers[0][0] + SLACK_S:
                self.found("attempt after the answer", before.proxy, before.call, at_s)
            elif after.received_s < before.ended_s + self.plan.guard_s - SLACK_S:
                self.found("release wait", before.proxy, before.call, at_s)
        gone_s = request.cancelled_s or request.closed_s
        for set_up in set_ups:
            if gone_s and set_up.received_s > gone_s + CALLER_GONE_S + SLACK_S:
                self.found("caller gone", set_up.proxy, set_up.call, set_up.received_s - self.start_s)
        self.judge_release(set_ups[-1], request)

    def judge_release(self, set_up: SetUpRecord, request: RequestRecord) -> None:
        """A release that its server wrote is due in time, if a connection of any caller was open for it."""
        limit_s = set_up.released_s + RELEASE_LIMIT_S + SLACK_S
        proxy = next(proxy for proxy in self.proxies if proxy.name == set_up.proxy)
        was_answered = any(status == 200 for _, status in request.answers)
        if not set_up.is_release_written or not was_answered or limit_s > self.end_s or request.cancelled_s:
            return
        connected = any(
            connection.proxy == set_up.proxy and connection.is_open_throughout(set_up.released_s, limit_s)
            for connection in self.caller.all_connections
        )
        is_late = not request.released_s or min(request.released_s) > limit_s
        if is_late and connected and proxy.up_throughout(set_up.released_s, limit_s):
            self.found("release", set_up.proxy, set_up.call, set_up.released_s - self.start_s)

    def judge_refused_peer(self, peer: RefusedPeer) -> None:
        """A peer that is no caller is refused or closed in time, and is not served."""
        at_s, limit_s = peer.connected_s - self.start_s, peer.connected_s + REFUSED_PEER_LIMIT_S + SLACK_S
        proxy = next(proxy for proxy in self.proxies if proxy.name == peer.proxy)
        if peer.is_served:
            self.found("refused peer", peer.proxy, f"{peer.call} was served", at_s)
        if not peer.connected_s or limit_s > self.end_s:
            return
        is_late = not peer.answered_s or peer.answered_s > limit_s
        if is_late and proxy.up_throughout(peer.connected_s, limit_s):
            self.found("refused peer", peer.proxy, f"{peer.call} was not answered", at_s)

    def judge_server_state(self, set_up: SetUpRecord) -> None:
        """No set-up reaches a server later than its drain grace after the proxy was told."""
        proxy = next(proxy for proxy in self.proxies if proxy.name == set_up.proxy)
        told_s = 0.0
        for event in self.events:
            target = event["pool"]["targets"][0]
            written_s = proxy.board.written_s.get(event["rev"])
            if target["uid"] == set_up.server and written_s is not None:
                told_s = 0.0 if target["state"] == "active" else told_s or written_s
        if told_s and set_up.received_s > told_s + STOP_SENDING_S + SLACK_S:
            self.found("server drain", set_up.proxy, set_up.call, set_up.received_s - self.start_s)

    def judge_news(self, proxy: Proxy) -> None:
        """Each event is asked for by a process within the limit after it was published and could be had."""
        for rev, published_s in self.published_s.items():
            due_s = max(published_s, proxy.board.silent_until_s, proxy.board.refuses_until_s) + TOLD_LIMIT_S
            due_s += SLACK_S
            written_s = proxy.board.written_s.get(rev, self.end_s)
            if proxy.up_throughout(published_s, due_s) and due_s < min(written_s, self.end_s):
                self.found("news", proxy.name, f"event {rev} was not asked for", due_s - self.start_s)


def play(seed: int, folder: Path | None = None) -> dict:
    """Plays the trial of a seed; returns what was found, what was counted, and when the trial itself was late."""
    with contextlib.ExitStack() as stack:
        folder = folder or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        trial = Trial(draw_plan(seed), folder)
        findings = asyncio.run(trial.play())
    answers = Counter(status for request in trial.requests.values() for _, status in request.answers)
    return {
        "seed": seed,
        "findings": findings,
        "late_s": trial.late_s,
        "requests": len(trial.requests),
        "answers": dict(answers),
        "kinds": sorted({trouble.kind for trouble in trial.plan.troubles}),
    }


def is_beside_lateness(finding: Finding, result: dict) -> bool:
    """Returns whether the trial's own loop was late about when a finding was made."""
    return any(abs(late_s - finding.at_s) < BESIDE_S for late_s in result["late_s"])


def print_result(result: dict) -> None:
    print(
        f"seed {result['seed']}: {len(result['findings'])} findings, late {len(result['late_s'])} times, "
        f"{result['requests']} requests, answers {result['answers']}, {', '.join(result['kinds'])}"
    )
    for finding in result["findings"][:MAX_PRINTED]:
        print(f"    {finding}{' (the trial itself was late)' if is_beside_lateness(finding, result) else ''}")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="first-last")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--keep", type=Path, help="folder for the logs of the proxies")
    options = parser.parse_args()
    first, last = map(int, options.seeds.split("-"))
    seeds = range(first, last + 1)
    folders = [options.keep / str(seed) if options.keep else None for seed in seeds]
    broken = 0
    with ProcessPoolExecutor(options.jobs) as pool:
        for result in pool.map(play, seeds, folders):
            print_result(result)
            if result["findings"] and all(is_beside_lateness(found, result) for found in result["findings"]):
                result = play(result["seed"])
                print_result(result)
            broken += bool(result["findings"])
    print(f"{broken} of {len(seeds)} trials with findings")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
