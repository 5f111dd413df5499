"""Connects this proxy to its fleet: transport, published metadata and the operators' view of the members."""

from __future__ import annotations

from collections.abc import Callable

from leadslip import __version__
from leadslip.core import Observer
from leadslip.net.peers import Peers
from leadslip.operators import Answer, Endpoint, Endpoints, OperatorRequest, as_json
from leadslip.parts.fleet.settings import FleetConfig
from leadslip.parts.part import Part


class Fleet(Part):
    """Runs the membership protocol in this proxy."""

    def gauges(self) -> dict[str, Callable[[], int]]:
        return {"fleet_members": lambda: len(self.peers.view.table) if self.peers.view is not None else 0}

    def endpoints(self) -> Endpoints:
        return {b"fleet": Endpoint({b"GET": self.get_view})}

    def add_observers(self, observers: dict[str, list[Observer]]) -> None:
        # Created here, before any timer is set, as it switches the reactor's timers to a monotonic clock.
        node = self.node
        self.peers = Peers(node.reactor, self.conf, node.conf.name or "proxy", node.metrics, node.log)

    def metadata(self) -> dict[str, str | int]:
        """Returns the metadata that this member publishes, including that of its other parts."""
        node = self.node
        metadata = {
            "capacity": node.conf.max_open_requests,
            "service": node.readiness.service_state(),
            "version": __version__,
        }
        for part in node.parts.values():
            metadata |= part.member_metadata()
        return metadata

    def start(self) -> None:
        self.peers.start(self.metadata)

    def service_state_changed(self, state: str) -> None:
        self.peers.publish_metadata()

    def settings_reloaded(self, conf: FleetConfig) -> None:
        """Applies reloaded settings; only the keys may change while the fleet runs."""
        super().settings_reloaded(conf)
        self.peers.replace_keys(conf.keys)

    def close(self) -> None:
        self.peers.stop()

    def get_view(self, request: OperatorRequest) -> Answer:
        """Answers `GET /control/fleet`; status 503 until this proxy has started to join the fleet."""
        return as_json({}, 503) if self.peers.view is None else as_json(view_as_json(self.peers))


def view_as_json(peers: Peers) -> dict:
    """Returns the view as `GET /control/fleet` reports it, with runs and the digest in hex.

    `since_ms` is for how long a member has been in its state, and `way` is round if it answers through relays only.
    `vouched_ms` is the age of the latest ping that a member answered with this proxy as live in its view, else null.
    """
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
                "facts": member.metadata,
            }
            for member in members
        ],
        "digest": f"{view.digest():016x}",
        "health": view.health.score,
        "vouched_ms": None if confirmed_age_ms == float("inf") else round(confirmed_age_ms),
    }


PART = Fleet
