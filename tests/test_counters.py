"""The figures, counted where the engine decides, against the requests that were made."""

import random

from leadslip import interface as face
from leadslip.core import Request
from leadslip.counters import Counters
from tests.helpers import PLAIN, URGENT
from tests.test_core import World


def figures(world: World) -> dict[str, int]:
    return world.engine.counters.figures()


def test_each_answer_counts_once_in_its_class_and_active_follows_what_is_held():
    world = World()
    rng = random.Random(7)
    kinds, expected, active_seen, cancelled = {}, {}, [], set()
    for i in range(400):
        kind = rng.choice((PLAIN, URGENT))
        request = Request(f"{i:016x}", kind, world.now_ms() + rng.choice((300.0, 3000.0)), world, b"c")
        kinds[request.id] = kind
        before = len(world.sent)
        world.engine.offer(request)
        for attempt in world.sent[before:]:
            if rng.random() < 0.9:
                world.engine.written(attempt)
                expected[(kind, "tries")] = expected.get((kind, "tries"), 0) + 1
        fate = rng.random()
        attempt = request.attempt
        if attempt is not None and fate < 0.5:
            world.engine.stood(attempt, b"sdp")
        elif attempt is not None and fate < 0.6:
            world.engine.ended(attempt, face.Outcome.ERROR)
        elif attempt is not None and fate < 0.7:
            world.engine.cancel(request)  # the caller left: no answer is counted
            cancelled.add(request.id)
        world.wait(rng.choice((0, 5, 50)))
        for standing in list(world.engine.standing.values()):
            if rng.random() < 0.1:
                world.engine.ended(standing.attempt, face.Outcome.SERVED)
        held = len(held_by_what_was_told(world, kinds, cancelled))
        assert figures(world)["proxy.active"] == held
        active_seen.append(held)
    world.wait(4000)
    answers = {"stands": "ok", "refused": "shed", "failed": "errors"}
    for said, id_, *_ in world.told:
        if said in answers:
            key = (kinds[id_], answers[said])
            expected[key] = expected.get(key, 0) + 1
    told = figures(world)
    for kind in (PLAIN, URGENT):
        for outcome in ("ok", "shed", "errors", "tries"):
            assert told[f"proxy.responses.{kind}.{outcome}"] == expected.get((kind, outcome), 0)
    for outcome in ("ok", "shed", "errors", "tries"):  # every figure was put to the test
        assert sum(expected.get((kind, outcome), 0) for kind in (PLAIN, URGENT)) > 10
    assert max(active_seen) > 10


def held_by_what_was_told(world: World, offered: dict, cancelled: set) -> set:
    """Requests taken and not ended, from the front's side alone: no final answer yet, or a call not over."""
    held = set(offered) - cancelled
    for said, id_, *_ in world.told:
        if said in ("refused", "failed", "over"):
            held.discard(id_)
    return held


def test_a_doubled_id_is_an_error_and_an_unknown_class_is_counted_nowhere():
    world = World()
    first = Request("a" * 16, PLAIN, world.now_ms() + 2000.0, world)
    world.engine.offer(first)
    world.engine.offer(Request("a" * 16, PLAIN, world.now_ms() + 2000.0, world))
    world.engine.offer(Request("b" * 16, "no such class", world.now_ms() + 2000.0, world))
    told = figures(world)
    assert told[f"proxy.responses.{PLAIN}.errors"] == 1
    assert not [name for name in told if "no such class" in name]
    assert ("refused", "b" * 16) in world.told


def test_classes_added_at_a_reload_are_counted_and_dropped_ones_keep_their_figures():
    world = World()
    world.engine.offer(Request("a" * 16, PLAIN, world.now_ms() + 2000.0, world))
    world.engine.stood(world.sent[0], b"sdp")
    settings = world.engine.settings
    fresh = face.CallClass("fresh", 2.0, 0.2, 1500.0, 9000.0)
    world.engine.adopt(face.Settings(**{**_fields(settings), "classes": (fresh,)}), world.engine.most_held)
    told = figures(world)
    assert told[f"proxy.responses.{PLAIN}.ok"] == 1 and told["proxy.responses.fresh.ok"] == 0


def _fields(settings: face.Settings) -> dict:
    return {name: getattr(settings, name) for name in settings.__dataclass_fields__}


def test_the_text_is_one_sorted_line_a_figure_with_what_is_read_when_printed():
    counters = Counters(["b", "a"])
    counters.watch("active", lambda: 14)
    counters.answered("a", "ok")
    counters.config_rejected += 1
    lines = counters.text().decode().splitlines()
    assert lines[:4] == [
        f"proxy.responses.a.{name}" + ("=1" if name == "ok" else "=0")
        for name in ("ok", "shed", "errors", "tries")
    ]
    assert (
        "proxy.active=14" in lines
        and "proxy.config_rejected=1" in lines
        and "proxy.config_applied=0" in lines
    )
    assert all(line.count("=") == 1 for line in lines)
