"""Runs a scenario: starts its processes, injects the scheduled faults, collects histories. asyncio; loopback only.

Each process has its own IP in 127/8 and a relay in front of its fleet address. At its end, or when it is interrupted,
a run stops every process that it started, and no others.
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
from leadslip.drill.changes import ChangeSubmitter
from leadslip.drill.clocks import Clocks
from leadslip.drill.relay import PORT, LinkFaults, Relay
from leadslip.drill.scenario import (
    Scenario,
    ScheduledAction,
    draw_drifts,
    draw_schedule,
    previous_version_names,
    process_names,
)
from leadslip.errors import OperatorError
from leadslip.site import demo_config

SIP_PORT, OPS_PORT = 5060, 7000
SHORT_CALL_S, LONG_CALL_S = 0.3, 120.0  # after which the toy server ends a call, without and with `replicas`
MAX_RELEASED = 40  # most calls of each process that are released through another one at the end
READY_TIMEOUT_S = 60.0  # for the processes to join the fleet; not judged by the checker
END_GRACE_S = 6.0  # after which a process that has not ended on SIGTERM is killed


def replicas_equal(statuses: dict[str, dict], copies: int = 2) -> bool:
    """Whether at least `copies` other processes, or all if they are fewer, hold an equal replica of each table."""
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
    """A fault-injection run could not be carried out, so that nothing can be said about the invariants."""

    code = "drill.not-held"
    action = (
        "Check that the machine is idle and that 127/8 is free; "
        "keep the run's folder (--keep) and read its logs."
    )


def reserve_network() -> tuple[str, socket.socket]:
    """Reserve a /24 of 127/8 against other runs on this machine; returns its prefix and the socket that reserves it."""
    for _ in range(1000):
        prefix = f"127.{64 + secrets.randbelow(128)}.{secrets.randbelow(256)}"
        reservation = socket.socket()
        try:
            reservation.bind((f"{prefix}.1", OPS_PORT))
            reservation.listen(1)
            return prefix, reservation
        except OSError:
            reservation.close()
    raise DrillError("none of 1000 random /24 networks of 127/8 was free")


async def start_toy_server(
    hold_s: float = 0.3,
) -> tuple[asyncio.subprocess.Process, Awaitable[tuple[int, int]]]:
    """Start a toy set-up server and notice board in a separate process; also returns an awaitable of their ports.

    The server ends a call after `hold_s`.
    """
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
    """The sorted names of the members that a view, as JSON, holds as live; a name occurs once per process."""
    return sorted(member["name"] for member in view["members"] if member["state"] in ("alive", "suspect"))


class Process:
    """The operating-system processes of the program under one name: one after another, or two during an upgrade."""

    def __init__(self, drill: Drill, name: str, index: int) -> None:
        self.drill, self.name = drill, name
        self.ip, self.relay_ip = f"{drill.prefix}.{10 + index}", f"{drill.prefix}.{120 + index}"
        self.start_count = 0
        self.running: list[asyncio.subprocess.Process] = []  # oldest first
        self.ops_ports: dict[int, int] = {}  # process id -> port of its operators' interface
        self.clocks: Clocks | None = None
        self.stall_cycle: asyncio.Task | None = None  # task that alternates SIGSTOP and SIGCONT
        # Process id -> its (soft, hard) limit on file descriptors before the fault.
        self.saved_limits: dict[int, tuple[int, int]] = {}

    async def start(self, beside: bool = False) -> asyncio.Task:
        """Start a process; the task returned waits until it has joined the fleet, ended or timed out.

        With `beside`, another one of the same name keeps running, as during an upgrade; the new one listens on another
        fleet port and is reached without a relay.
        """
        self.start_count += 1
        drill, start_name = self.drill, f"{self.name}-{self.start_count}"
        folder = drill.folder / start_name
        folder.mkdir()
        ops_port = OPS_PORT + self.start_count % 1000
        config = demo_config(drill.toy_ports[0], drill.toy_ports[1], 0)
        config |= {"name": self.name, "listen": f"{self.ip}:{SIP_PORT}", "ops": f"{self.ip}:{ops_port}"}
        config["limits"] = {"sockets": 256}
        (folder / "config.json").write_text(json.dumps(config))
        port = PORT + (self.start_count % 1000 if beside else 0)
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
        variant = drill.faulty_variant or (
            "former" if self.name in previous_version_names(drill.scenario) else ""
        )
        if variant:
            fleet["broken"] = variant
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
        if drill.manipulates_clocks:
            drift_ppm = draw_drifts(drill.scenario, drill.seed)[self.name]
            self.clocks = Clocks(str(folder / "clocks"), drift_ppm)
            program = ["leadslip.drill.clocks", self.clocks.path]
        with open(folder / "log", "wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *program, stdout=log, stderr=log, env=environment, cwd=folder
            )
        self.running.append(process)
        self.ops_ports[process.pid] = ops_port
        drill.record_fault("started", [start_name], pid=process.pid)
        history = drill.folder / f"{start_name}.jsonl"
        return drill.record_join(f"start{' beside' if beside else ''}, done", self.name, process, history)

    def agreement_environment(self, folder: Path) -> dict[str, str]:
        """Write the agreement settings, if there are voters, and return the environment variable that names the file.

        The voter's disk lies outside `folder`, as it is kept when the process is restarted.
        """
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
        """Send a request to the operators' interface of the newest process; returns status and body, or (0, b"")."""
        if not self.running:
            return 0, b""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ops_ports[self.running[-1].pid])
            head = b"%s /control/%s HTTP/1.1\r\nHost: drill\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % (method, path, len(body)) + body)
            answer = await asyncio.wait_for(reader.read(), 5.0)
            writer.close()
            return int(answer[9:12] or 0), answer.partition(b"\r\n\r\n")[2]
        except (OSError, TimeoutError):
            return 0, b""

    async def operator_request_body(self, method: bytes, path: bytes) -> bytes:
        """The body of the answer to an operator's request; empty without an answer."""
        return (await self.operator_request(method, path))[1]

    async def view(self) -> dict | None:
        """The newest process's view of the fleet; None without a complete answer."""
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
        """Lower the limit on file descriptors of the newest process so that it can hardly open more."""
        pid = self.running[-1].pid
        limit = max(int(number) for number in os.listdir(f"/proc/{pid}/fd")) + 1
        limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        self.saved_limits[pid] = limits
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, limits[1]))

    def restore_descriptors(self) -> None:
        """Restore the limits on file descriptors of the processes that still run."""
        for pid, limits in self.saved_limits.items():
            if pid in [process.pid for process in self.running]:
                resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
        self.saved_limits.clear()

    def signal(self, number: signal.Signals, index: int = -1) -> None:
        """Send a signal to a running process, by default the newest; ignored if there is none."""
        with contextlib.suppress(ProcessLookupError, IndexError):
            self.running[index].send_signal(number)

    async def end(self, index: int = -1, grace_s: float = END_GRACE_S) -> None:
        """End a running process, by default the newest, by SIGTERM, and by SIGKILL if that takes over `grace_s`."""
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
    """One run of a scenario, with its files in `folder`.

    By default the schedule is drawn from the seed. With `faulty_variant`, a key in faulty.py, all processes run that
    variant of the program.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        actions: list[ScheduledAction] | None = None,
        faulty_variant: str = "",
    ) -> None:
        self.scenario, self.seed, self.folder, self.faulty_variant = scenario, seed, folder, faulty_variant
        self.actions = draw_schedule(scenario, seed) if actions is None else actions
        self.manipulates_clocks = bool(scenario.drift_ppm) or any(
            action.do == "clock" for action in self.actions
        )
        self.processes: dict[str, Process] = {}
        self.faults: list[dict] = []
        self.link_faults = LinkFaults(seed)
        self.prefix, self.reservation = reserve_network()
        self.toy_ports: tuple[int, int] = (0, 0)
        # Tasks that wait for started processes to join, and for others to end.
        self.pending_tasks: set[asyncio.Task] = set()

    def record_fault(self, do: str, who: list[str] | tuple[str, ...] = (), **more: object) -> None:
        """Add an action to the fault record, with the Unix time and the monotonic time."""
        mono_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
        self.faults.append(
            {"unix_ms": time.time() * 1000.0, "mono_ms": mono_ms, "do": do, "who": list(who)} | more
        )

    async def run(self) -> dict:
        """Run the scenario, and write its records to the folder; returns whether views converged, and the call count.

        Raises DrillError if the processes do not form a fleet or its voters do not agree at the start.
        """
        scenario, folder = self.scenario, self.folder
        (folder / "fleet.key").write_text(secrets.token_hex(32) + "\n")
        (folder / "schedule.json").write_bytes(msgspec.json.encode({"seed": self.seed, "acts": self.actions}))
        toy, ports = await start_toy_server(LONG_CALL_S if scenario.replicas else SHORT_CALL_S)
        relays, callers, tasks = [], [], []
        change_submitter = None
        try:
            self.toy_ports = await ports
            for i, name in enumerate(process_names(scenario.processes)):
                self.processes[name] = Process(self, name, i)
            if scenario.voters:
                change_submitter = ChangeSubmitter(
                    list(self.processes), scenario.changes_per_s, self.seed, self.send_request
                )
            name_of = {process.ip: process.name for process in self.processes.values()}
            for process in self.processes.values():
                relay = Relay(self.link_faults, process.name, process.relay_ip, process.ip, name_of)
                await relay.start()
                relays.append(relay)
            self.pending_tasks |= set(
                await asyncio.gather(*(process.start() for process in self.processes.values()))
            )
            if not await self.wait_for_convergence(READY_TIMEOUT_S):
                raise DrillError(
                    f"the {scenario.processes} processes did not form one fleet within {READY_TIMEOUT_S:.0f} s"
                )
            self.record_fault("agreed")
            if change_submitter is not None and not await change_submitter.submit_fallback_rules(
                READY_TIMEOUT_S
            ):
                raise DrillError(
                    f"the {scenario.voters} voters did not agree on the first change within {READY_TIMEOUT_S:.0f} s"
                )
            rate = scenario.calls_per_s / scenario.processes
            callers = [
                Caller(process.name, (process.ip, SIP_PORT), rate, self.seed * 1000 + i, scenario.replicas)
                for i, process in enumerate(self.processes.values())
            ]
            tasks = [asyncio.create_task(caller.run()) for caller in callers]
            if change_submitter is not None:
                tasks.append(asyncio.create_task(change_submitter.run()))
            await self.run_schedule()
            self.record_fault("faults over")
            settled = await self.wait_for_convergence(scenario.settle_s)
            self.record_fault("settled" if settled else "not settled")
            for task in tasks:
                task.cancel()
            if change_submitter is not None:
                await self.collect_settings(change_submitter, scenario.settle_s)
            if scenario.replicas:
                await self.collect_replicas(callers, scenario.settle_s)
            # By then the last calls are answered or have expired.
            await asyncio.sleep(REQUEST_VALID_MS / 1000.0 + 0.2)
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

    async def collect_settings(self, change_submitter: ChangeSubmitter, timeout_s: float) -> None:
        """Write settings.json: the agreement status of the running processes, and the submitted changes.

        Waits until all processes apply the same agreed revision, but not longer than `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
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
        (self.folder / "settings.json").write_text(
            json.dumps({"held": statuses, "changes": change_submitter.changes})
        )

    async def collect_replicas(self, callers: list[Caller], timeout_s: float) -> None:
        """Write replicas.json: the replication status of the running processes, and the answers to releases.

        Waits until all tables are recovered and their replicas equal, but not longer than `timeout_s`. Then releases up
        to MAX_RELEASED established calls of each caller through another process than the one that set them up.
        """
        deadline = time.monotonic() + timeout_s
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
            next(
                process for process in alive[i % len(alive) :] + alive if process.name != caller.process_name
            )
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
        for action in self.actions:
            await asyncio.sleep(max(0.0, began_s + action.at_s - time.monotonic()))
            await self.execute(action)
        if self.pending_tasks:
            await asyncio.gather(*self.pending_tasks)

    async def execute(self, action: ScheduledAction) -> None:
        """Carry out one action of the schedule, and record it."""
        processes = [self.processes[name] for name in action.who]
        if action.ways:
            for path in action.ways:
                if action.do.startswith("end "):
                    self.link_faults.end(tuple(path), action.do[4:])
                else:
                    self.link_faults.begin(tuple(path), action.do, action.figures)
            self.record_fault(action.do, ways=[list(path) for path in action.ways])
            return
        self.record_fault(action.do, action.who)
        for process in processes:
            if action.do in ("start", "start beside"):
                self.pending_tasks.add(await process.start(beside=action.do == "start beside"))
            elif action.do == "kill":
                await process.kill()
            elif action.do in ("end", "end the older"):
                if len(process.running) > (action.do == "end the older"):
                    self.pending_tasks.add(asyncio.create_task(process.end(0)))
            elif process.running:
                await self.apply_to_running(process, action)
        if action.do == "go on":
            self.record_fault("go on, done", action.who)

    def record_join(
        self, do: str, name: str, process: asyncio.subprocess.Process, history: Path
    ) -> asyncio.Task:
        """Record when a started process has joined (its history has begun); the checker exempts calls until then."""

        async def wait() -> None:
            deadline = time.monotonic() + READY_TIMEOUT_S
            while process.returncode is None and time.monotonic() < deadline:
                if history.exists() and history.stat().st_size:
                    self.record_fault(do, [name])
                    return
                await asyncio.sleep(0.02)

        return asyncio.create_task(wait())

    async def apply_to_running(self, process: Process, action: ScheduledAction) -> None:
        """Begin or end a fault of a process under a name that has at least one running."""
        ms = action.figures.get("ms", 0.0)
        if action.do == "stop":
            process.signal(signal.SIGSTOP)
        elif action.do == "go on":
            process.signal(signal.SIGCONT)
        elif action.do == "busy":
            process.stall_cycle = asyncio.create_task(process.cycle_stalls(ms))
        elif action.do == "end busy" and process.stall_cycle is not None:
            process.stall_cycle.cancel()
        elif action.do in ("clock", "end clock") and process.clocks is not None:
            process.clocks.set_offset(ms / 1000.0)
        elif action.do == "descriptors":
            process.exhaust_descriptors()
        elif action.do == "end descriptors":
            process.restore_descriptors()
        elif action.do in ("out of service", "in service"):
            await process.operator_request_body(b"PUT", action.do.replace(" ", "-").encode())

    async def wait_for_convergence(self, timeout_s: float) -> bool:
        """Wait until all running processes report the same view with just these as live; False after `timeout_s`."""
        deadline = time.monotonic() + timeout_s
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
