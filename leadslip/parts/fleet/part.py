"""This proxy as a member of its fleet."""

from __future__ import annotations

from collections.abc import Callable

from leadslip import __version__
from leadslip.core import Watcher
from leadslip.net.peers import Peers
from leadslip.operators import Answer, Asked, Calls, Verbs, as_json
from leadslip.parts.fleet.settings import FleetConfig
from leadslip.parts.part import Part


class Fleet(Part):
    """This proxy as a member."""

    def figures(self) -> dict[str, Callable[[], int]]:
        return {"fleet_members": lambda: len(self.peers.view.table) if self.peers.view is not None else 0}

    def calls(self) -> Calls:
        return {b"fleet": Verbs({b"GET": self.told})}

    def watch(self, watches: dict[str, list[Watcher]]) -> None:
        # Made before any timer is set: it puts the reactor's timers on a clock that does not jump.
        node = self.node
        self.peers = Peers(node.reactor, self.conf, node.conf.name or "proxy", node.tally, node.log)

    def all_facts(self) -> dict[str, str | int]:
        """What this member spreads of itself, and what its other parts do."""
        node = self.node
        told = {"capacity": node.conf.most_held, "service": node.readiness.service(), "version": __version__}
        for part in node.parts.values():
            told |= part.facts()
        return told

    def start(self) -> None:
        self.peers.start(self.all_facts)

    def service(self, told: str) -> None:
        self.peers.tell_facts()

    def retuned(self, conf: FleetConfig) -> None:
        """Keys may be replaced while the fleet runs."""
        super().retuned(conf)
        self.peers.rekey(conf.keys)

    def close(self) -> None:
        self.peers.stop()

    def told(self, asked: Asked) -> Answer:
        """The view, for operators."""
        return as_json({}, 503) if self.peers.view is None else as_json(view_of(self.peers))


def view_of(peers: Peers) -> dict:
    """The view as `GET /control/fleet` tells it; ages in ms, runs and the digest in hex."""
    view, now_ms = peers.view, peers.clock.now_ms()
    members = sorted(view.table, key=lambda one: (one.name, one.run))
    vouched_ms = view.vouched(now_ms)
    return {
        "self": {"name": view.me.name, "run": f"{view.run:016x}", "address": view.me.address},
        "zone": view.me.zone,
        "members": [
            {
                "name": one.name,
                "run": f"{one.run:016x}",
                "address": one.address,
                "zone": one.zone,
                "state": one.state.name.lower(),
                "incarnation": one.incarnation,
                "since_ms": round(now_ms - one.since_ms),
                "way": "round" if view.cut_off(one.run) else "straight",
                "facts": one.facts,
            }
            for one in members
        ],
        "digest": f"{view.digest():016x}",
        "health": view.health.score,
        "vouched_ms": None if vouched_ms == float("inf") else round(vouched_ms),
    }


PART = Fleet
