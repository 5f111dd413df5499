"""The fleet: proxies that know one another (fleet/, net/peers.py). Off on the platform, where they share nothing."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from leadslip import __version__
from leadslip.config import Address, MalformedError, address_of, figures_of, member, turned_on
from leadslip.core import Watcher
from leadslip.parts import Answer, Around, Calls, Part

KEYS = {"most_members": (1024, 1, 4096)}  # key -> (default, least, most)
NAME_MOST = 64


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """Where this member listens and is reached, whom it asks first, and what its fleet's messages are signed with."""

    listen: Address
    advertise: Address
    seeds: tuple[Address, ...]
    keys: tuple[bytes, ...]  # the first signs, all are taken
    zone: str
    most_members: int
    history: str = ""  # where a drill wants it written what this member saw and did
    broken: str = ""  # a fault that a drill of a debug build asks for


def settings(told: Mapping, around: Around) -> FleetConfig | None:
    """The checked settings of the fleet; None where they turn it off."""
    if not turned_on(
        told, "fleet", ("listen", "advertise", "seeds", "key_file", "zone", "history", "broken", *KEYS)
    ):
        return None
    listen = address_of(member(told, "listen", str, "fleet"), "fleet.listen")
    advertise = address_of(told.get("advertise", told["listen"]), "fleet.advertise")
    listed = member(told, "seeds", list, "fleet") if "seeds" in told else []
    seeds = tuple(address_of(text, f"fleet.seeds.{i}") for i, text in enumerate(listed))
    zone = told.get("zone", "")
    if not isinstance(zone, str) or len(zone) > NAME_MOST:
        raise MalformedError(f"fleet.zone is no name: {zone!r}")
    path = member(told, "key_file", str, "fleet")
    keys = keys_of(path) if around.running else ()
    history, broken = str(told.get("history", "")), str(told.get("broken", ""))
    if broken and not __debug__:
        raise MalformedError("fleet.broken is for drills of debug builds")
    figures = figures_of(told, "fleet", KEYS)
    return FleetConfig(listen, advertise, seeds, keys, zone, **figures, history=history, broken=broken)


def keys_of(path: str) -> tuple[bytes, ...]:
    """The keys in a file, one a line in hex of 16 to 64 bytes; lines that begin with # are passed over."""
    try:
        with open(path, encoding="ascii") as file:
            lines = [line.strip() for line in file]
        keys = tuple(bytes.fromhex(line) for line in lines if line and not line.startswith("#"))
    except (OSError, ValueError) as fault:
        raise MalformedError(f"fleet.key_file can't be read: {fault}") from fault
    if not keys or any(not 16 <= len(key) <= 64 for key in keys):
        raise MalformedError("fleet.key_file holds no key of 16 to 64 bytes on a line")
    if len({key[:64] for key in keys}) < len(keys):
        raise MalformedError("fleet.key_file names a key twice")
    return keys


class Fleet(Part):
    """This proxy as a member."""

    name, variable, lasting = "fleet", "LEADSLIP_FLEET", "fleet"
    settings = staticmethod(settings)

    @staticmethod
    def fixed(conf: FleetConfig) -> object:
        return conf.listen, conf.advertise, conf.seeds, conf.zone, conf.most_members

    @staticmethod
    def taken(conf: FleetConfig) -> tuple[tuple[str, object], ...]:
        return (("fleet.listen", conf.listen),)

    def figures(self) -> dict[str, Callable[[], int]]:
        return {"fleet_members": lambda: len(self.peers.view.table) if self.peers.view is not None else 0}

    def calls(self) -> Calls:
        return {b"fleet": {b"GET": self.told}}

    def watch(self, watches: dict[str, list[Watcher]]) -> None:
        from leadslip.net.peers import Peers

        # Made before any timer is set: it puts the reactor's timers on a clock that does not jump.
        node = self.node
        self.peers = Peers(node.reactor, self.conf, node.conf.name or "proxy", node.tally, node.log)

    def facts(self) -> dict[str, str | int]:
        """What this member spreads of itself."""
        node = self.node
        return {"capacity": node.conf.most_held, "service": node.readiness.service(), "version": __version__}

    def start(self) -> None:
        self.peers.start(self.facts())

    def service(self, told: str) -> None:
        self.peers.tell(self.facts())

    def retuned(self, conf: FleetConfig) -> None:
        """Keys may be replaced while the fleet runs."""
        super().retuned(conf)
        self.peers.rekey(conf.keys)

    def close(self) -> None:
        self.peers.stop()

    def told(self) -> Answer:
        """The view, for operators."""
        if self.peers.view is None:
            return Answer(503, b"{}\n", b"application/json")
        return Answer(200, json.dumps(view_of(self.peers)).encode() + b"\n", b"application/json")


def view_of(peers: object) -> dict:
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
