"""What is done to each way between two members: in the drill by relays, in the lab by its network. No I/O.

cut, loss, late, twice, disorder, spoil, hole (datagrams over 300 bytes never pass), mute (TCP stays open and silent).
"""

from __future__ import annotations

from random import Random

HOLE = 300  # bytes of a datagram that passes a hole


class Ways:
    """The state of each way: (sender, hearer) -> what is done to it, with figures."""

    def __init__(self, seed: int) -> None:
        self.draw = Random(seed)
        self.held: dict[tuple[str, str], dict[str, dict[str, float]]] = {}
        self.passed = self.stopped = 0

    def put(self, way: tuple[str, str], kind: str, figures: dict[str, float]) -> None:
        self.held.setdefault(way, {})[kind] = figures

    def take(self, way: tuple[str, str], kind: str) -> None:
        kinds = self.held.get(way, {})
        kinds.pop(kind, None)
        if not kinds:
            self.held.pop(way, None)

    def datagram(self, way: tuple[str, str], data: bytes) -> list[tuple[float, bytes]]:
        """What becomes of a datagram: copies, each with seconds to wait."""
        kinds = self.held.get(way)
        if not kinds:
            self.passed += 1
            return [(0.0, data)]
        draw, late_s = self.draw, 0.0
        if "cut" in kinds or ("hole" in kinds and len(data) > HOLE):
            self.stopped += 1
            return []
        if "loss" in kinds and draw.random() < kinds["loss"]["share"]:
            self.stopped += 1
            return []
        if "late" in kinds:
            late_s = kinds["late"]["ms"] / 1000.0
        if "disorder" in kinds:
            late_s += draw.random() * kinds["disorder"]["ms"] / 1000.0
        if "spoil" in kinds and draw.random() < kinds["spoil"]["share"]:
            at = draw.randrange(len(data))
            data = data[:at] + bytes((data[at] ^ (1 << draw.randrange(8)),)) + data[at + 1 :]
        copies = [(late_s, data)]
        if "twice" in kinds and draw.random() < kinds["twice"]["share"]:
            copies.append((late_s + draw.random() * 0.5, data))
        return copies

    def stream(self, way: tuple[str, str]) -> tuple[bool, bool, float]:
        """Whether a stream's way is cut, or mute, and how late it is in seconds."""
        kinds = self.held.get(way, {})
        late_s = kinds.get("late", {}).get("ms", 0.0) / 1000.0
        return "cut" in kinds, "mute" in kinds, late_s
