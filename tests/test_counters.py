"""The request counters of the engine, compared with the requests offered and the answers given."""

import random

from leadslip import interface
from leadslip.core import Request
from leadslip.counters import Counters
from tests.helpers import PLAIN, URGENT
from tests.test_core import EngineFixture


def counter_values(world: EngineFixture) -> dict[str, int]:
    return world.engine.counters.values()


def test_each_answer_counts_once_in_its_class_and_active_counts_open_requests():
    world = EngineFixture()
    rng = random.Random(7)
    classes, expected, active_seen, cancelled = {}, {}, [], set()
    for i in range(400):
        call_class = rng.choice((PLAIN, URGENT))
        request = Request(f"{i:016x}", call_class, world.now_ms() + rng.choice((300.0, 3000.0)), world, b"c")
        classes[request.id] = call_class
        before = len(world.sent)
        world.engine.offer(request)
        for attempt in world.sent[before:]:
            if rng.random() < 0.9:
                world.engine.on_set_up_written(attempt)
                expected[(call_class, "tries")] = expected.get((call_class, "tries"), 0) + 1
        draw = rng.random()
        attempt = request.attempt
        if attempt is not None and draw < 0.5:
            world.engine.on_established(attempt, b"sdp")
        elif attempt is not None and draw < 0.6:
            world.engine.on_attempt_ended(attempt, interface.Outcome.ERROR)
        elif attempt is not None and draw < 0.7:
            world.engine.cancel(request)  # the caller left: no answer is counted
            cancelled.add(request.id)
        world.wait(rng.choice((0, 5, 50)))
        for established in list(world.engine.established_requests.values()):
            if rng.random() < 0.1:
                world.engine.on_attempt_ended(established.attempt, interface.Outcome.SERVED)
        active = len(active_requests(world, classes, cancelled))
        assert counter_values(world)["proxy.active"] == active
        active_seen.append(active)
    world.wait(4000)
    answers = {"established": "ok", "refused": "shed", "failed": "errors"}
    for answer, id_, *_ in world.recorded:
        if answer in answers:
            key = (classes[id_], answers[answer])
            expected[key] = expected.get(key, 0) + 1
    values = counter_values(world)
    for call_class in (PLAIN, URGENT):
        for counter in ("ok", "shed", "errors", "tries"):
            assert values[f"proxy.responses.{call_class}.{counter}"] == expected.get((call_class, counter), 0)
    for counter in ("ok", "shed", "errors", "tries"):  # each was counted often enough for the comparison
        assert sum(expected.get((call_class, counter), 0) for call_class in (PLAIN, URGENT)) > 10
    assert max(active_seen) > 10


def active_requests(world: EngineFixture, offered: dict, cancelled: set) -> set:
    """Ids of the requests without a final answer or with an established call, as recorded by the downstream side."""
    active = set(offered) - cancelled
    for answer, id_, *_ in world.recorded:
        if answer in ("refused", "failed", "call_ended"):
            active.discard(id_)
    return active


def test_a_duplicate_id_counts_as_an_error_and_an_unknown_class_is_not_counted():
    world = EngineFixture()
    first = Request("a" * 16, PLAIN, world.now_ms() + 2000.0, world)
    world.engine.offer(first)
    world.engine.offer(Request("a" * 16, PLAIN, world.now_ms() + 2000.0, world))
    world.engine.offer(Request("b" * 16, "no such class", world.now_ms() + 2000.0, world))
    values = counter_values(world)
    assert values[f"proxy.responses.{PLAIN}.errors"] == 1
    assert not [name for name in values if "no such class" in name]
    assert ("refused", "b" * 16) in world.recorded


def test_classes_added_at_a_reload_are_counted_and_removed_ones_keep_their_counters():
    world = EngineFixture()
    world.engine.offer(Request("a" * 16, PLAIN, world.now_ms() + 2000.0, world))
    world.engine.on_established(world.sent[0], b"sdp")
    settings = world.engine.settings
    added = interface.CallClass("fresh", 2.0, 0.2, 1500.0, 9000.0)
    world.engine.apply_settings(
        interface.Settings(**{**_fields(settings), "classes": (added,)}), world.engine.max_open_requests
    )
    values = counter_values(world)
    assert values[f"proxy.responses.{PLAIN}.ok"] == 1 and values["proxy.responses.fresh.ok"] == 0


def _fields(settings: interface.Settings) -> dict:
    return {name: getattr(settings, name) for name in settings.__dataclass_fields__}


def test_the_text_has_one_sorted_line_for_each_counter_and_gauge():
    counters = Counters(["b", "a"])
    counters.add_gauge("active", lambda: 14)
    counters.count_answer("a", "ok")
    counters.config_rejected += 1
    lines = counters.to_text().decode().splitlines()
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
