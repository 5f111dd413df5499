"""A drill's scenario in the lab: the same schedule, faults, histories and checker, on the virtual clock."""

from __future__ import annotations

import dataclasses
import hashlib
import json

from leadslip.drill import check
from leadslip.drill.broken import Former
from leadslip.drill.scenario import Act, Scenario, draw_schedule, drifts, formers, names, scaled
from leadslip.fleet.history import follow
from leadslip.fleet.view.members import process_of
from leadslip.fleet.view.view import View
from leadslip.lab.fleet import Fleet, Host

PORT = 7946
SAMPLE_MS = 500.0


class Play:
    """One run of a scenario with so many members."""

    def __init__(self, scenario: Scenario, members: int, seed: int, acts: list[Act] | None = None) -> None:
        scenario = scaled(scenario, members)
        self.scenario, self.members, self.seed = scenario, members, seed
        self.names = names(members)
        self.acts = acts if acts is not None else draw_schedule(scenario, seed)
        self.formers, self.drifts = formers(scenario), drifts(scenario, seed)
        self.fleet = Fleet(seed)
        self.histories: dict[str, list[dict]] = {}
        self.faults: list[dict] = []
        self.traffic: list[tuple[float, float]] = []  # ms, bytes a member and second from then on
        self.starts: dict[str, int] = {}
        self.older: dict[str, Host] = {}

    def note(self, do: str, who: tuple[str, ...] = (), **more: object) -> None:
        now_ms = self.fleet.clock.now_ms
        self.faults.append({"unix_ms": now_ms, "mono_ms": now_ms, "do": do, "who": list(who)} | more)

    def start(self, name: str, beside: bool = False) -> None:
        """Start a member, with a history of its own."""
        fleet = self.fleet
        if beside and name in fleet.hosts:
            self.older[name] = fleet.hosts.pop(name)
            fleet.hosts[f"{name}'"] = self.older[name]
        own = self.starts[name] = self.starts.get(name, 0) + 1
        told = self.histories[f"{name}-{own}"] = []
        clock = fleet.clock

        def keep(record: dict) -> None:
            told.append({"unix_ms": clock.now_ms, "mono_ms": clock.now_ms} | record)

        self.note("started", (f"{name}-{own}",))
        seeds = tuple(f"{one}:{PORT}" for one in self.names[:3])
        address = f"{name}:{PORT}" if not beside else f"{name}:{PORT + own}"
        kind = Former if name in self.formers else View
        fleet.add(name, seeds, address, lambda view: follow(view, keep), kind, self.drifts[name])

    def sample(self, before: float) -> None:
        """Note the traffic, again and again."""
        clock = self.fleet.clock
        now = sum(self.fleet.traffic()[1:])
        self.traffic.append((clock.now_ms - SAMPLE_MS, max(0.0, now - before) * 1000.0 / SAMPLE_MS))
        clock.at(clock.now_ms + SAMPLE_MS, self.sample, now)

    def run(self) -> dict:
        """Play it; what the checker found, figures, traffic, and a digest of the whole run."""
        fleet = self.fleet
        for name in self.names:
            self.start(name)
            fleet.run(5.0)
        joined_ms = fleet.until(fleet.agreed, 60_000.0)
        self.note("agreed")
        began_ms, before = fleet.clock.now_ms, fleet.traffic()
        fleet.clock.at(began_ms + SAMPLE_MS, self.sample, sum(before[1:]))
        for act in self.acts:
            fleet.run(max(0.0, began_ms + act.at_s * 1000.0 - fleet.clock.now_ms))
            self.do(act)
        self.note("faults over")
        settled_ms = fleet.until(fleet.agreed, self.scenario.settle_s * 1000.0)
        self.note("settled" if settled_ms < float("inf") else "not settled")
        spent_s = (fleet.clock.now_ms - began_ms) / 1000.0
        breaches, figures = check.judge(self.histories, self.faults, [], self.scenario.settle_s)
        traffic = [(now - then) / spent_s for now, then in zip(fleet.traffic(), before, strict=True)]
        kept = json.dumps([self.histories, self.faults, traffic]).encode()
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
            "counts": dict(sorted(fleet.tally.counts.items())),
            "digest": hashlib.blake2b(kept, digest_size=8).hexdigest(),
            "breaches": [dataclasses.asdict(one) for one in breaches],
        }

    def do(self, act: Act) -> None:
        fleet = self.fleet
        if act.ways:
            for a, b in act.ways:
                way = f"{a}:{PORT}", f"{b}:{PORT}"
                if act.do.startswith("end "):
                    fleet.network.ways.take(way, act.do[4:])
                else:
                    fleet.network.ways.put(way, act.do, act.figures)
            self.note(act.do, ways=[list(way) for way in act.ways])
            return
        self.note(act.do, act.who)
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
                host.hop()
            elif act.do in ("descriptors", "end descriptors") and host is not None:
                host.full = act.do == "descriptors"
            elif act.do in ("out of service", "in service") and host is not None:
                host.view.change_facts(host.now_ms, {"service": act.do.split()[0]})
                host.flush()
            elif act.do == "end" and host is not None:
                fleet.leave(name)
            elif act.do == "end the older" and name in self.older:
                fleet.leave(f"{name}'")
            elif act.do in ("start", "start beside"):
                self.start(name, beside=act.do == "start beside")
        if act.do in ("go on", "start", "start beside"):
            self.note(f"{act.do}, done", act.who)


def wrong_removals(fleet: Fleet) -> int:
    """Processes that run and were declared dead by anybody."""
    return len({process_of(one[2]) for one in fleet.wrongly()})
