"""Simulates a fault-injection scenario: the schedule, histories and checker of leadslip/drill, on a virtual clock."""

from __future__ import annotations

import dataclasses
import hashlib
import json

from leadslip.drill import check
from leadslip.drill.faulty import PreviousVersion
from leadslip.drill.scenario import (
    Scenario,
    ScheduledAction,
    draw_drifts,
    draw_schedule,
    names,
    previous_version_names,
    scaled,
)
from leadslip.fleet.history import record_view
from leadslip.fleet.view.members import process_of
from leadslip.fleet.view.view import View
from leadslip.lab.fleet import Fleet, Host

PORT = 7946
SAMPLE_MS = 500.0  # between two samples of the traffic


class Simulation:
    """One simulated run of a scenario, scaled to a number of members."""

    def __init__(
        self, scenario: Scenario, members: int, seed: int, acts: list[ScheduledAction] | None = None
    ) -> None:
        scenario = scaled(scenario, members)
        self.scenario, self.members, self.seed = scenario, members, seed
        self.names = names(members)
        self.acts = acts if acts is not None else draw_schedule(scenario, seed)
        self.previous_version_names, self.drifts_ppm = (
            previous_version_names(scenario),
            draw_drifts(scenario, seed),
        )
        self.fleet = Fleet(seed)
        self.histories: dict[str, list[dict]] = {}
        self.faults: list[dict] = []
        self.traffic: list[tuple[float, float]] = []  # start of the sample in ms, bytes per member and second
        self.starts: dict[str, int] = {}
        self.older_hosts: dict[str, Host] = {}  # name -> process that a newer one runs beside

    def record_fault(self, do: str, who: tuple[str, ...] = (), **more: object) -> None:
        """Add to the fault record, as leadslip/drill/run.py does."""
        now_ms = self.fleet.clock.now_ms
        self.faults.append({"unix_ms": now_ms, "mono_ms": now_ms, "do": do, "who": list(who)} | more)

    def start(self, name: str, beside: bool = False) -> None:
        """Start a member with its own history; `beside` keeps the older process running, as during an upgrade."""
        fleet = self.fleet
        if beside and name in fleet.hosts:
            self.older_hosts[name] = fleet.hosts.pop(name)
            fleet.hosts[f"{name}'"] = self.older_hosts[name]
        start_number = self.starts[name] = self.starts.get(name, 0) + 1
        history = self.histories[f"{name}-{start_number}"] = []
        clock = fleet.clock

        def append_record(record: dict) -> None:
            history.append({"unix_ms": clock.now_ms, "mono_ms": clock.now_ms} | record)

        self.record_fault("started", (f"{name}-{start_number}",))
        seeds = tuple(f"{seed_name}:{PORT}" for seed_name in self.names[:3])
        address = f"{name}:{PORT}" if not beside else f"{name}:{PORT + start_number}"
        kind = PreviousVersion if name in self.previous_version_names else View
        fleet.add(
            name, seeds, address, lambda view: record_view(view, append_record), kind, self.drifts_ppm[name]
        )

    def sample_traffic(self, bytes_before: float) -> None:
        """Record the traffic since the last sample, when `bytes_before` were sent, and schedule the next one."""
        clock = self.fleet.clock
        bytes_now = sum(self.fleet.traffic()[1:])
        self.traffic.append(
            (clock.now_ms - SAMPLE_MS, max(0.0, bytes_now - bytes_before) * 1000.0 / SAMPLE_MS)
        )
        clock.call_at(clock.now_ms + SAMPLE_MS, self.sample_traffic, bytes_now)

    def run(self) -> dict:
        """Run the schedule; returns the checker's verdict, figures, traffic and a digest of the run."""
        fleet = self.fleet
        for name in self.names:
            self.start(name)
            fleet.run(5.0)
        joined_ms = fleet.until(fleet.converged, 60_000.0)
        self.record_fault("agreed")
        began_ms, before = fleet.clock.now_ms, fleet.traffic()
        fleet.clock.call_at(began_ms + SAMPLE_MS, self.sample_traffic, sum(before[1:]))
        for act in self.acts:
            fleet.run(max(0.0, began_ms + act.at_s * 1000.0 - fleet.clock.now_ms))
            self.execute(act)
        self.record_fault("faults over")
        settled_ms = fleet.until(fleet.converged, self.scenario.settle_s * 1000.0)
        self.record_fault("settled" if settled_ms < float("inf") else "not settled")
        duration_s = (fleet.clock.now_ms - began_ms) / 1000.0
        breaches, figures = check.check_views_and_answers(
            self.histories, self.faults, [], self.scenario.settle_s
        )
        traffic = [
            (later - earlier) / duration_s for later, earlier in zip(fleet.traffic(), before, strict=True)
        ]
        recorded_run = json.dumps([self.histories, self.faults, traffic]).encode()
        return {
            "title": self.scenario.title,
            "members": self.members,
            "seed": self.seed,
            "held": not breaches,
            "joined_ms": joined_ms,
            "figures": figures,
            "datagrams_per_s": traffic[0],
            "bytes_per_s": traffic[1],
            "streamed_bytes_per_s": traffic[2],
            "counts": dict(sorted(fleet.metrics.counts.items())),
            "digest": hashlib.blake2b(recorded_run, digest_size=8).hexdigest(),
            "breaches": [dataclasses.asdict(breach) for breach in breaches],
        }

    def execute(self, act: ScheduledAction) -> None:
        """Carry out one action of the schedule."""
        fleet = self.fleet
        if act.ways:
            for a, b in act.ways:
                path = f"{a}:{PORT}", f"{b}:{PORT}"
                if act.do.startswith("end "):
                    fleet.network.link_faults.end(path, act.do[4:])
                else:
                    fleet.network.link_faults.begin(path, act.do, act.figures)
            self.record_fault(act.do, ways=[list(path) for path in act.ways])
            return
        self.record_fault(act.do, act.who)
        for name in act.who:
            host = fleet.hosts.get(name)
            if act.do == "kill" and host is not None:
                fleet.kill(name)
            elif act.do == "stop" and host is not None:
                host.stall(float("inf"))
            elif act.do == "go on" and host is not None:
                host.resume()
            elif act.do in ("busy", "end busy") and host is not None:
                host.busy_ms = act.figures.get("ms", 0.0)
                host.cycle_stalls()
            elif act.do in ("descriptors", "end descriptors") and host is not None:
                host.out_of_descriptors = act.do == "descriptors"
            elif act.do in ("out of service", "in service") and host is not None:
                host.view.change_facts(host.now_ms, {"service": act.do.split()[0]})
                host.flush()
            elif act.do == "end" and host is not None:
                fleet.leave(name)
            elif act.do == "end the older" and name in self.older_hosts:
                fleet.leave(f"{name}'")
            elif act.do in ("start", "start beside"):
                self.start(name, beside=act.do == "start beside")
        if act.do in ("go on", "start", "start beside"):
            self.record_fault(f"{act.do}, done", act.who)


def wrong_removals(fleet: Fleet) -> int:
    """The number of running processes that some member has removed."""
    return len({process_of(removal[2]) for removal in fleet.false_removals()})
