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
    previous_version_names,
    process_names,
    scaled,
)
from leadslip.fleet.history import record_view
from leadslip.fleet.view.members import process_of
from leadslip.fleet.view.view import View
from leadslip.lab.fleet import Fleet, Host

PORT = 7946
SAMPLE_INTERVAL_MS = 500.0  # between two samples of the traffic


class Simulation:
    """One simulated run of a scenario, scaled to a number of members."""

    def __init__(
        self, scenario: Scenario, members: int, seed: int, actions: list[ScheduledAction] | None = None
    ) -> None:
        scenario = scaled(scenario, members)
        self.scenario, self.members, self.seed = scenario, members, seed
        self.names = process_names(members)
        self.actions = actions if actions is not None else draw_schedule(scenario, seed)
        self.previous_version_names, self.drifts_ppm = (
            previous_version_names(scenario),
            draw_drifts(scenario, seed),
        )
        self.fleet = Fleet(seed)
        self.histories: dict[str, list[dict]] = {}
        self.faults: list[dict] = []
        self.traffic: list[tuple[float, float]] = []  # start of the sample in ms, bytes per member and second
        self.starts: dict[str, int] = {}  # name -> number of its starts
        self.older_hosts: dict[str, Host] = {}  # name -> its older process, during an upgrade

    def record_fault(self, do: str, who: tuple[str, ...] = (), **more: object) -> None:
        """Add an action to the fault record, as leadslip/drill/run.py does."""
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
        view_class = PreviousVersion if name in self.previous_version_names else View
        fleet.add(
            name,
            seeds,
            address,
            lambda view: record_view(view, append_record),
            view_class,
            self.drifts_ppm[name],
        )

    def sample_traffic(self, bytes_before: float) -> None:
        """Record the traffic since the last sample, and schedule the next one.

        `bytes_before` is the mean of bytes sent per member up to the last sample.
        """
        clock = self.fleet.clock
        bytes_now = sum(self.fleet.traffic()[1:])
        self.traffic.append(
            (
                clock.now_ms - SAMPLE_INTERVAL_MS,
                max(0.0, bytes_now - bytes_before) * 1000.0 / SAMPLE_INTERVAL_MS,
            )
        )
        clock.call_at(clock.now_ms + SAMPLE_INTERVAL_MS, self.sample_traffic, bytes_now)

    def run(self) -> dict:
        """Run the schedule; returns the checker's verdict, figures, traffic and a digest of the run."""
        fleet = self.fleet
        for name in self.names:
            self.start(name)
            fleet.run(5.0)
        joined_ms = fleet.run_until(fleet.converged, 60_000.0)
        self.record_fault("agreed")
        began_ms, traffic_before = fleet.clock.now_ms, fleet.traffic()
        fleet.clock.call_at(began_ms + SAMPLE_INTERVAL_MS, self.sample_traffic, sum(traffic_before[1:]))
        for action in self.actions:
            fleet.run(max(0.0, began_ms + action.at_s * 1000.0 - fleet.clock.now_ms))
            self.execute(action)
        self.record_fault("faults over")
        settled_ms = fleet.run_until(fleet.converged, self.scenario.settle_s * 1000.0)
        self.record_fault("settled" if settled_ms < float("inf") else "not settled")
        duration_s = (fleet.clock.now_ms - began_ms) / 1000.0
        breaches, figures = check.check_views_and_answers(
            self.histories, self.faults, [], self.scenario.settle_s
        )
        traffic = [
            (later - earlier) / duration_s
            for later, earlier in zip(fleet.traffic(), traffic_before, strict=True)
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

    def execute(self, action: ScheduledAction) -> None:
        """Carry out one action of the schedule."""
        fleet = self.fleet
        if action.ways:
            for a, b in action.ways:
                path = f"{a}:{PORT}", f"{b}:{PORT}"
                if action.do.startswith("end "):
                    fleet.network.link_faults.end(path, action.do[4:])
                else:
                    fleet.network.link_faults.begin(path, action.do, action.figures)
            self.record_fault(action.do, ways=[list(path) for path in action.ways])
            return
        self.record_fault(action.do, action.who)
        for name in action.who:
            host = fleet.hosts.get(name)
            if action.do == "kill" and host is not None:
                fleet.kill(name)
            elif action.do == "stop" and host is not None:
                host.stall(float("inf"))
            elif action.do == "go on" and host is not None:
                host.resume()
            elif action.do in ("busy", "end busy") and host is not None:
                host.busy_ms = action.figures.get("ms", 0.0)
                host.cycle_stalls()
            elif action.do in ("descriptors", "end descriptors") and host is not None:
                host.out_of_descriptors = action.do == "descriptors"
            elif action.do in ("out of service", "in service") and host is not None:
                host.view.set_metadata(host.now_ms, {"service": action.do.split()[0]})
                host.flush()
            elif action.do == "end" and host is not None:
                fleet.leave(name)
            elif action.do == "end the older" and name in self.older_hosts:
                fleet.leave(f"{name}'")
            elif action.do in ("start", "start beside"):
                self.start(name, beside=action.do == "start beside")
        if action.do in ("go on", "start", "start beside"):
            self.record_fault(f"{action.do}, done", action.who)


def count_falsely_removed(fleet: Fleet) -> int:
    """The number of running processes that some member has removed from its view."""
    return len({process_of(removal[2]) for removal in fleet.false_removals()})
