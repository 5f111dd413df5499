"""Connects this proxy to its fleet: transport, published metadata and the operators' view of the members."""

from __future__ import annotations

from collections.abc import Callable

from leadslip import __version__
from leadslip.core import Watcher
from leadslip.net.peers import Peers
from leadslip.operators import Answer, Asked, Calls, Verbs, as_json
from leadslip.parts.fleet.settings import FleetConfig
from leadslip.parts.part import Part


class Fleet(Part):
    """Runs the membership protocol in this proxy."""

    def figures(self) -> dict[str, Callable[[], int]]:
        return {"fleet_members": lambda: len(self.peers.view.table) if self.peers.view is not None else 0}

    def calls(self) -> Calls:
        return {b"fleet": Verbs({b"GET": self.get_view})}

    def watch(self, watches: dict[str, list[Watcher]]) -> None:
        # Created before any timer is set: it switches the reactor's timers to a monotonic clock.
        node = self.node
        self.peers = Peers(node.reactor, self.conf, node.conf.name or "proxy", node.tally, node.log)

    def metadata(self) -> dict[str, str | int]:
        """Returns the metadata that this member publishes, including that of its other parts."""
        node = self.node
        metadata = {
            "capacity": node.conf.most_held,
            "service": node.readiness.service(),
            "version": __version__,
        }
        for part in node.parts.values():
            metadata |= part.facts()
        return metadata

    def start(self) -> None:
        self.peers.start(self.metadata)

    def service(self, state: str) -> None:
        self.peers.tell_facts()

    def retuned(self, conf: FleetConfig) -> None:
        """Applies reloaded settings; only the keys may change while the fleet runs."""
        super().retuned(conf)
        self.peers.rekey(conf.keys)

    def close(self) -> None:
        self.peers.stop()

    def get_view(self, request: Asked) -> Answer:
        """Answers `GET /control/fleet`; status 503 before the view exists."""
        return as_json({}, 503) if self.peers.view is None else as_json(view_as_json(self.peers))


def view_as_json(peers: Peers) -> dict:
    """Returns the view as `GET /control/fleet` reports it; ages in ms, runs and the digest in hex."""
    view, now_ms = peers.view, peers.clock.now_ms()
    members = sorted(view.table, key=lambda member: (member.name, member.run))
    confirmed_age_ms = view.confirmed_age_ms(now_ms)
    return {
        "self": {"name": view.me.name, "run": f"{view.run:016x}", "address": view.me.address},
        "zone": view.me.zone,
        "members": [
            {
                "name": member.name,
                "run": f"{member.run:016x}",
                "address": member.address,
                "zone": member.zone,
                "state": member.state.name.lower(),
                "incarnation": member.incarnation,
                "since_ms": round(now_ms - member.since_ms),
                "way": "round" if view.is_relayed_only(member.run) else "straight",
                "facts": member.facts,
            }
            for member in members
        ],
        "digest": f"{view.digest():016x}",
        "health": view.health.score,
        "vouched_ms": None if confirmed_age_ms == float("inf") else round(confirmed_age_ms),
    }


PART = Fleet
