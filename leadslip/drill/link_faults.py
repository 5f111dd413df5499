"""Faults of the network path between two members, applied by relays or by the simulated network. Pure: no I/O.

Kinds: cut (blocked), loss, late (delayed), twice (duplicated), disorder (reordered), spoil (one bit flipped), hole
(datagrams over 300 bytes are dropped), mute (TCP stays open but passes no data).
"""

from __future__ import annotations

from random import Random

HOLE_MAX_BYTES = 300  # the largest datagram that passes a path with a hole


class LinkFaults:
    """The faults in effect on each path: (sender, receiver) -> kind -> figures."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.active: dict[tuple[str, str], dict[str, dict[str, float]]] = {}
        self.passed_count = self.dropped_count = 0

    def put(self, path: tuple[str, str], kind: str, figures: dict[str, float]) -> None:
        """Begin a fault on a path."""
        self.active.setdefault(path, {})[kind] = figures

    def remove(self, path: tuple[str, str], kind: str) -> None:
        """End a fault on a path."""
        kinds = self.active.get(path, {})
        kinds.pop(kind, None)
        if not kinds:
            self.active.pop(path, None)

    def datagram(self, path: tuple[str, str], data: bytes) -> list[tuple[float, bytes]]:
        """The copies of a datagram to deliver, each with its delay in seconds; none if it is dropped."""
        kinds = self.active.get(path)
        if not kinds:
            self.passed_count += 1
            return [(0.0, data)]
        rng, late_s = self.rng, 0.0
        if "cut" in kinds or ("hole" in kinds and len(data) > HOLE_MAX_BYTES):
            self.dropped_count += 1
            return []
        if "loss" in kinds and rng.random() < kinds["loss"]["share"]:
            self.dropped_count += 1
            return []
        if "late" in kinds:
            late_s = kinds["late"]["ms"] / 1000.0
        if "disorder" in kinds:
            late_s += rng.random() * kinds["disorder"]["ms"] / 1000.0
        if "spoil" in kinds and rng.random() < kinds["spoil"]["share"]:
            index = rng.randrange(len(data))
            data = data[:index] + bytes((data[index] ^ (1 << rng.randrange(8)),)) + data[index + 1 :]
        copies = [(late_s, data)]
        if "twice" in kinds and rng.random() < kinds["twice"]["share"]:
            copies.append((late_s + rng.random() * 0.5, data))
        return copies

    def stream(self, path: tuple[str, str]) -> tuple[bool, bool, float]:
        """Whether a connection's path is cut, whether it is mute, and its delay in seconds."""
        kinds = self.active.get(path, {})
        late_s = kinds.get("late", {}).get("ms", 0.0) / 1000.0
        return "cut" in kinds, "mute" in kinds, late_s
