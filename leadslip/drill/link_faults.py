"""Faults of the network path between two members, applied by relays or by the simulated network. Pure: no I/O.

Kinds, with their parameters: cut (blocked), loss (`share` of datagrams dropped), late (delayed by `ms`), twice (`share`
duplicated), disorder (reordered by a random delay up to `ms`), spoil (one bit flipped in a `share`), hole (datagrams
over 300 bytes are dropped), mute (TCP stays open but passes no data). Connections are affected by cut, late and mute
only.
"""

from __future__ import annotations

from random import Random

HOLE_MAX_BYTES = 300  # the largest datagram that passes a path with a hole


class LinkFaults:
    """The faults in effect on each path: (sender, receiver) -> kind -> parameters."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.faults_by_path: dict[tuple[str, str], dict[str, dict[str, float]]] = {}
        self.passed_count = self.dropped_count = 0

    def begin(self, path: tuple[str, str], kind: str, parameters: dict[str, float]) -> None:
        """Begin a fault on a path, or replace the parameters of one of the same kind."""
        self.faults_by_path.setdefault(path, {})[kind] = parameters

    def end(self, path: tuple[str, str], kind: str) -> None:
        """End a fault on a path."""
        kinds = self.faults_by_path.get(path, {})
        kinds.pop(kind, None)
        if not kinds:
            self.faults_by_path.pop(path, None)

    def copies_to_deliver(self, path: tuple[str, str], data: bytes) -> list[tuple[float, bytes]]:
        """The copies of a datagram to deliver, each with its delay in seconds; none if it is dropped."""
        kinds = self.faults_by_path.get(path)
        if not kinds:
            self.passed_count += 1
            return [(0.0, data)]
        rng, delay_s = self.rng, 0.0
        if "cut" in kinds or ("hole" in kinds and len(data) > HOLE_MAX_BYTES):
            self.dropped_count += 1
            return []
        if "loss" in kinds and rng.random() < kinds["loss"]["share"]:
            self.dropped_count += 1
            return []
        if "late" in kinds:
            delay_s = kinds["late"]["ms"] / 1000.0
        if "disorder" in kinds:
            delay_s += rng.random() * kinds["disorder"]["ms"] / 1000.0
        if "spoil" in kinds and rng.random() < kinds["spoil"]["share"]:
            index = rng.randrange(len(data))
            data = data[:index] + bytes((data[index] ^ (1 << rng.randrange(8)),)) + data[index + 1 :]
        copies = [(delay_s, data)]
        if "twice" in kinds and rng.random() < kinds["twice"]["share"]:
            copies.append((delay_s + rng.random() * 0.5, data))
        return copies

    def connection_faults(self, path: tuple[str, str]) -> tuple[bool, bool, float]:
        """Faults of a connection in one direction: whether it is cut, whether it is mute, its delay in seconds."""
        kinds = self.faults_by_path.get(path, {})
        delay_s = kinds.get("late", {}).get("ms", 0.0) / 1000.0
        return "cut" in kinds, "mute" in kinds, delay_s
