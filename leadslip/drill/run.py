"""Runs a scenario: starts its processes, injects the scheduled faults, collects histories. asyncio; loopback only.

Each process has its own IP in 127/8 and a relay in front of its fleet address. The run ends every process that it
started, also when it is interrupted, and no others.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import secrets
import signal
import socket
import sys
import time
from collections.abc import Awaitable
from pathlib import Path

import msgspec

from leadslip.drill.callers import REQUEST_VALID_MS, Caller, release_calls
from leadslip.drill.changes import Changer
from leadslip.drill.clocks import Clocks
from leadslip.drill.relay import PORT, LinkFaults, Relay
from leadslip.drill.scenario import (
    Scenario,
    ScheduledAction,
    draw_drifts,
    draw_schedule,
    names,
    previous_version_names,
)
from leadslip.errors import OperatorError
from leadslip.site import configuration

SIP_PORT, OPS_PORT = 5060, 7000
SHORT_CALL_S, LONG_CALL_S = 0.3, 120.0  # duration of a call at the toy server, unless it is released
MAX_RELEASED = 40  # calls of each process to release at the end
READY_S = 60.0  # time-out for the processes to come up; no invariant depends on it
END_GRACE_S = 6.0  # a process that has not ended this long after SIGTERM is killed


def replicas_equal(statuses: dict[str, dict], copies: int = 2) -> bool:
    """Whether `copies` other processes hold each table as its owner does."""
    return all(
        sum(
            (replica["owner"], replica["run"], replica["digest"])
            == (name, status["run"], status["own"]["digest"])
            for other_status in statuses.values()
            for replica in other_status["held"]
        )
        >= min(copies, len(statuses) - 1)
        for name, status in statuses.items()
    )


class DrillError(OperatorError):
    """The fault-injection run itself could not be carried out, regardless of how the program behaves."""

    code = "drill.not-held"
    action = (
        "Check that the machine is idle and that 127/8 is free; "
        "keep the run's folder (--keep) and read its logs."
    )


def reserve_network() -> tuple[str, socket.socket]:
    """Reserve a /24 of loopback among the runs on this machine; returns its prefix and the socket that holds it."""
    for _ in range(1000):
        prefix = f"127.{64 + secrets.randbelow(128)}.{secrets.randbelow(256)}"
        reservation = socket.socket()
        try:
            reservation.bind((f"{prefix}.1", OPS_PORT))
            reservation.listen(1)
            return prefix, reservation
        except OSError:
            reservation.close()
    raise DrillError("no free network on loopback")


async def start_toy_server(
    hold_s: float = 0.3,
) -> tuple[asyncio.subprocess.Process, Awaitable[tuple[int, int]]]:
    """Start a toy server and notice board in a separate process; also returns an awaitable of their ports."""
    toy = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        f"from leadslip.cli.toy import serve; serve(hold_s={hold_s})",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )

    async def ports() -> tuple[int, int]:
        server, board = (await toy.stdout.readline()).split()
        return int(server), int(board)

    return toy, ports()


def live_names(view: dict) -> list[str]:
    """The names of the members that a view holds as live."""
    return sorted(member["name"] for member in view["members"] if member["state"] in ("alive", "suspect"))


class Process:
    """The processes of the program that run under one name, one after another or side by side in an upgrade."""

    def __init__(self, drill: Drill, name: str, number: int) -> None:
        self.drill, self.name = drill, name
        self.ip, self.relay_ip = f"{drill.prefix}.{10 + number}", f"{drill.prefix}.{120 + number}"
        self.starts = 0
        self.running: list[asyncio.subprocess.Process] = []  # oldest first
        self.ops: dict[int, int] = {}  # process id -> port of its operators' interface
        self.clocks: Clocks | None = None
        self.stall_cycle: asyncio.Task | None = None  # alternates SIGSTOP and SIGCONT
        self.saved_limits: dict[int, tuple[int, int]] = {}  # process id -> its former limits on descriptors

    async def start(self, beside: bool = False) -> asyncio.Task:
        """Start a process, `beside` a running one as an upgrade does; the task waits until it has joined or ended."""
        self.starts += 1
        drill, start_name = self.drill, f"{self.name}-{self.starts}"
        folder = drill.folder / start_name
        folder.mkdir()
        ops = OPS_PORT + self.starts % 1000
        config = configuration(drill.toy_ports[0], drill.toy_ports[1], 0)
        config |= {"name": self.name, "listen": f"{self.ip}:{SIP_PORT}", "ops": f"{self.ip}:{ops}"}
        config["limits"] = {"sockets": 256}
        (folder / "config.json").write_text(json.dumps(config))
        port = PORT + (self.starts % 1000 if beside else 0)
        advertise = f"{self.ip}:{port}" if beside else f"{self.relay_ip}:{PORT}"
        fleet = {
            "enabled": True,
            "listen": f"{self.ip}:{port}",
            "advertise": advertise,
            "seeds": [f"{peer.relay_ip}:{PORT}" for peer in list(drill.processes.values())[:3]],
            "key_file": str(drill.folder / "fleet.key"),
            "zone": f"zone{int(self.ip.rsplit('.', 1)[1]) % 3}",
            "history": str(drill.folder / f"{start_name}.jsonl"),
        }
        faulty_variant = drill.broken or (
            "former" if self.name in previous_version_names(drill.scenario) else ""
        )
        if faulty_variant:
            fleet["broken"] = faulty_variant
        text = "".join(f"{key} = {json.dumps(value)}\n" for key, value in fleet.items())
        (folder / "fleet.toml").write_text(text)
        environment = {
            key: value for key, value in os.environ.items() if not key.startswith(("LEADSLIP", "NODE"))
        }
        environment |= self.agreement_environment(folder)
        if drill.scenario.replicas:
            (folder / "replicas.toml").write_text("enabled = true\n")
            environment["LEADSLIP_REPLICAS"] = str(folder / "replicas.toml")
        environment |= {
            "NODE_CONFIG": str(folder / "config.json"),
            "LEADSLIP_FLEET": str(folder / "fleet.toml"),
        }
        program = ["leadslip"]
        if drill.sets_clocks:
            drift_ppm = draw_drifts(drill.scenario, drill.seed)[self.name]
            self.clocks = Clocks(str(folder / "clocks"), drift_ppm)
            program = ["leadslip.drill.clocks", self.clocks.path]
        with open(folder / "log", "wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *program, stdout=log, stderr=log, env=environment, cwd=folder
            )
        self.running.append(process)
        self.ops[process.pid] = ops
        drill.record_fault("started", [start_name], pid=process.pid)
        history = drill.folder / f"{start_name}.jsonl"
        return drill.watch_join(f"start{' beside' if beside else ''}, done", self.name, process, history)

    def agreement_environment(self, folder: Path) -> dict[str, str]:
        """Write the agreement settings, if there are voters, and return their environment. Disks outlive processes."""
        scenario = self.drill.scenario
        if not scenario.voters:
            return {}
        settings = {
            "enabled": True,
            "voters": list(self.drill.processes)[: scenario.voters],
            "disk": str(self.drill.folder / f"{self.name}.db"),
            "in_force_ms": scenario.in_force_ms,
        }
        (folder / "agreement.toml").write_text(
            "".join(f"{k} = {json.dumps(v)}\n" for k, v in settings.items())
        )
        return {"LEADSLIP_AGREEMENT": str(folder / "agreement.toml")}

    async def operator_request(self, method: bytes, path: bytes, body: bytes = b"") -> tuple[int, bytes]:
        """Send an operator's request to the newest process; returns status and body, (0, b"") without an answer."""
        if not self.running:
            return 0, b""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ops[self.running[-1].pid])
            head = b"%s /control/%s HTTP/1.1\r\nHost: drill\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % (method, path, len(body)) + body)
            answer = await asyncio.wait_for(reader.read(), 5.0)
            writer.close()
            return int(answer[9:12] or 0), answer.partition(b"\r\n\r\n")[2]
        except (OSError, TimeoutError):
            return 0, b""

    async def operator_request_body(self, method: bytes, path: bytes) -> bytes:
        """The body of the answer to an operator's request."""
        return (await self.operator_request(method, path))[1]

    async def view(self) -> dict | None:
        """The fleet as the newest process reports it; None without an answer."""
        try:
            return json.loads(await self.operator_request_body(b"GET", b"fleet"))
        except ValueError:
            return None

    async def cycle_stalls(self, ms: float) -> None:
        """Simulate a busy process: alternate stops of `ms` with running for as long, until cancelled."""
        try:
            while True:
                self.signal(signal.SIGSTOP)
                await asyncio.sleep(ms / 1000.0)
                self.signal(signal.SIGCONT)
                await asyncio.sleep(ms / 1000.0)
        finally:
            self.signal(signal.SIGCONT)

    def exhaust_descriptors(self) -> None:
        """Lower the limit on descriptors of the newest process so that it can open no more."""
        pid = self.running[-1].pid
        limit = max(int(number) for number in os.listdir(f"/proc/{pid}/fd")) + 1
        limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        self.saved_limits[pid] = limits
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, limits[1]))

    def restore_descriptors(self) -> None:
        """Restore the limits on descriptors."""
        for pid, limits in self.saved_limits.items():
            if pid in [process.pid for process in self.running]:
                resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
        self.saved_limits.clear()

    def signal(self, number: signal.Signals, index: int = -1) -> None:
        """Send a signal to a process; ignored if there is none."""
        with contextlib.suppress(ProcessLookupError, IndexError):
            self.running[index].send_signal(number)

    async def end(self, index: int = -1, grace_s: float = END_GRACE_S) -> None:
        """End a process by SIGTERM, and by SIGKILL if it has not ended within the grace time."""
        if not self.running:
            return
        process = self.running.pop(index)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
            process.terminate()
        try:
            await asyncio.wait_for(process.wait(), grace_s)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def kill(self) -> None:
        """Kill all processes of this name and wait until they have ended."""
        while self.running:
            process = self.running.pop()
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


class Drill:
    """One run of a scenario."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        acts: list[ScheduledAction] | None = None,
        broken: str = "",
    ) -> None:
        self.scenario, self.seed, self.folder, self.broken = scenario, seed, folder, broken
        self.acts = draw_schedule(scenario, seed) if acts is None else acts
        self.sets_clocks = bool(scenario.drift_ppm) or any(act.do == "clock" for act in self.acts)
        self.processes: dict[str, Process] = {}
        self.faults: list[dict] = []
        self.link_faults = LinkFaults(seed)
        self.prefix, self.reservation = reserve_network()
        self.toy_ports: tuple[int, int] = (0, 0)
        self.pending: set[asyncio.Task] = set()  # starts and ends still in progress

    def record_fault(self, do: str, who: list[str] | tuple[str, ...] = (), **more: object) -> None:
        """Add to the fault record, with the times of both clocks."""
        mono_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
        self.faults.append(
            {"unix_ms": time.time() * 1000.0, "mono_ms": mono_ms, "do": do, "who": list(who)} | more
        )

    async def run(self) -> dict:
        """Run the scenario, writing its records to the folder; returns whether views converged, and the call count."""
        scenario, folder = self.scenario, self.folder
        (folder / "fleet.key").write_text(secrets.token_hex(32) + "\n")
        (folder / "schedule.json").write_bytes(msgspec.json.encode({"seed": self.seed, "acts": self.acts}))
        toy, ports = await start_toy_server(LONG_CALL_S if scenario.replicas else SHORT_CALL_S)
        relays, callers, tasks = [], [], []
        changer = None
        try:
            self.toy_ports = await ports
            for i, name in enumerate(names(scenario.processes)):
                self.processes[name] = Process(self, name, i)
            if scenario.voters:
                changer = Changer(list(self.processes), scenario.changes_per_s, self.seed, self.send_request)
            name_of = {process.ip: process.name for process in self.processes.values()}
            for process in self.processes.values():
                relay = Relay(self.link_faults, process.name, process.relay_ip, process.ip, name_of)
                await relay.start()
                relays.append(relay)
            self.pending |= set(
                await asyncio.gather(*(process.start() for process in self.processes.values()))
            )
            if not await self.converged(READY_S):
                raise DrillError(f"the processes did not form one fleet within {READY_S:.0f} s")
            self.record_fault("agreed")
            if changer is not None and not await changer.agree_first(READY_S):
                raise DrillError(f"the voters did not agree on the first change within {READY_S:.0f} s")
            rate = scenario.calls_per_s / scenario.processes
            callers = [
                Caller(process.name, (process.ip, SIP_PORT), rate, self.seed * 1000 + i, scenario.replicas)
                for i, process in enumerate(self.processes.values())
            ]
            tasks = [asyncio.create_task(caller.run()) for caller in callers]
            if changer is not None:
                tasks.append(asyncio.create_task(changer.run()))
            await self.run_schedule()
            self.record_fault("faults over")
            settled = await self.converged(scenario.settle_s)
            self.record_fault("settled" if settled else "not settled")
            for task in tasks:
                task.cancel()
            if changer is not None:
                await self.read_settings(changer, scenario.settle_s)
            if scenario.replicas:
                await self.read_replicas(callers, scenario.settle_s)
            await asyncio.sleep(REQUEST_VALID_MS / 1000.0 + 0.2)  # the last calls have been answered by then
        finally:
            tasks += [
                process.stall_cycle for process in self.processes.values() if process.stall_cycle is not None
            ]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*(process.kill() for process in self.processes.values()))
            for relay in relays:
                await relay.stop()
            with contextlib.suppress(ProcessLookupError):
                toy.kill()
            await toy.wait()
            self.reservation.close()
            calls = [call for caller in callers for call in caller.calls.values()]
            (folder / "faults.json").write_text(json.dumps(self.faults))
            (folder / "calls.json").write_text(json.dumps(calls))
        return {"settled": settled, "calls": len(calls)}

    async def send_request(self, name: str, method: bytes, path: bytes, body: bytes) -> tuple[int, bytes]:
        """Send an operator's request to a process by name."""
        return await self.processes[name].operator_request(method, path, body)

    async def read_settings(self, changer: Changer, most_s: float) -> None:
        """Write the settings that the running processes report, once they apply one agreed revision or time is up."""
        deadline = time.monotonic() + most_s
        while True:
            alive = [process for process in self.processes.values() if process.running]
            statuses = {}
            for process in alive:
                with contextlib.suppress(ValueError):
                    statuses[process.name] = json.loads(
                        await process.operator_request_body(b"GET", b"settings")
                    )
            revisions = {(status["revision"], status["in_force"]) for status in statuses.values()}
            settled = (
                len(revisions) == 1 and len(statuses) == len(alive) and next(iter(revisions))[1] == "agreed"
            )
            if settled or time.monotonic() > deadline:
                break
            await asyncio.sleep(0.1)
        (self.folder / "settings.json").write_text(json.dumps({"held": statuses, "changes": changer.changes}))

    async def read_replicas(self, callers: list[Caller], most_s: float) -> None:
        """Write the reported replicas, once equal or after the wait, and the answers to releases at other processes."""
        deadline = time.monotonic() + most_s
        while True:
            alive = [process for process in self.processes.values() if process.running]
            statuses = {}
            for process in alive:
                with contextlib.suppress(ValueError):
                    statuses[process.name] = json.loads(
                        await process.operator_request_body(b"GET", b"replicas")
                    )
            recovered = len(statuses) == len(alive) and not any(
                status["behind"] for status in statuses.values()
            )
            if (recovered and replicas_equal(statuses)) or time.monotonic() > deadline:
                break
            await asyncio.sleep(0.2)
        other_processes = [
            next(process for process in alive[i % len(alive) :] + alive if process.name != caller.name)
            for i, caller in enumerate(callers, 1)
        ]
        calls_to_release = [
            [
                call
                for call in caller.calls.values()
                if [code for _, code in call["answers"]] == [200] and call.get("released") in (None, 200)
            ][-MAX_RELEASED:]
            for caller in callers
        ]
        releases = [
            release_calls((other_process.ip, SIP_PORT), [call["id"] for call in calls])
            for other_process, calls in zip(other_processes, calls_to_release, strict=True)
        ]
        tried = [
            call | {"through": other_process.name, "told": code}
            for other_process, calls, codes in zip(
                other_processes, calls_to_release, await asyncio.gather(*releases), strict=True
            )
            for call, code in zip(calls, codes, strict=True)
        ]
        (self.folder / "replicas.json").write_text(json.dumps({"told": statuses, "tried": tried}))

    async def run_schedule(self) -> None:
        """Carry out each action of the schedule at its time."""
        began_s = time.monotonic()
        for act in self.acts:
            await asyncio.sleep(max(0.0, began_s + act.at_s - time.monotonic()))
            await self.execute(act)
        if self.pending:
            await asyncio.gather(*self.pending)

    async def execute(self, act: ScheduledAction) -> None:
        """Carry out one action of the schedule, and record it."""
        processes = [self.processes[name] for name in act.who]
        if act.ways:
            for path in act.ways:
                if act.do.startswith("end "):
                    self.link_faults.remove(tuple(path), act.do[4:])
                else:
                    self.link_faults.put(tuple(path), act.do, act.figures)
            self.record_fault(act.do, ways=[list(path) for path in act.ways])
            return
        self.record_fault(act.do, act.who)
        for process in processes:
            if act.do in ("start", "start beside"):
                self.pending.add(await process.start(beside=act.do == "start beside"))
            elif act.do == "kill":
                await process.kill()
            elif act.do in ("end", "end the older"):
                if len(process.running) > (act.do == "end the older"):
                    self.pending.add(asyncio.create_task(process.end(0)))
            elif process.running:
                await self.apply_to_running(process, act)
        if act.do == "go on":
            self.record_fault("go on, done", act.who)

    def watch_join(
        self, do: str, name: str, process: asyncio.subprocess.Process, history: Path
    ) -> asyncio.Task:
        """Record when a started process has joined, so that the machine's start-up time is not judged."""

        async def wait() -> None:
            deadline = time.monotonic() + READY_S
            while process.returncode is None and time.monotonic() < deadline:
                if history.exists() and history.stat().st_size:
                    self.record_fault(do, [name])
                    return
                await asyncio.sleep(0.02)

        return asyncio.create_task(wait())

    async def apply_to_running(self, process: Process, act: ScheduledAction) -> None:
        """Begin or end a fault of a running process."""
        ms = act.figures.get("ms", 0.0)
        if act.do == "stop":
            process.signal(signal.SIGSTOP)
        elif act.do == "go on":
            process.signal(signal.SIGCONT)
        elif act.do == "busy":
            process.stall_cycle = asyncio.create_task(process.cycle_stalls(ms))
        elif act.do == "end busy" and process.stall_cycle is not None:
            process.stall_cycle.cancel()
        elif act.do in ("clock", "end clock") and process.clocks is not None:
            process.clocks.set_offset(ms / 1000.0)
        elif act.do == "descriptors":
            process.exhaust_descriptors()
        elif act.do == "end descriptors":
            process.restore_descriptors()
        elif act.do in ("out of service", "in service"):
            await process.operator_request_body(b"PUT", act.do.replace(" ", "-").encode())

    async def converged(self, most_s: float) -> bool:
        """Whether, within `most_s`, all running processes report one view that lists exactly the running processes."""
        deadline = time.monotonic() + most_s
        while True:
            alive = [process for process in self.processes.values() if process.running]
            views = await asyncio.gather(*(process.view() for process in alive))
            if all(views):
                running = sorted(process.name for process in alive for _ in process.running)
                same_digest = len({view["digest"] for view in views}) == 1
                if same_digest and all(live_names(view) == running for view in views):
                    return True
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.05)
