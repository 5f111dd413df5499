"""Retuning at SIGHUP: what a revision may change, what makes it broken, and open requests keeping their rules."""

import copy
import json

import pytest

from leadslip import config
from leadslip import interface as face
from leadslip.choice import _Call
from leadslip.core import Request
from tests.helpers import PLAIN, URGENT
from tests.standins import notice, settings
from tests.test_core import World

FILE = {
    "name": "n0",
    "listen": "127.0.0.1:3868",
    "ops": "127.0.0.1:3869",
    "seed": "5eed",
    "board": "127.0.0.1:4222",
    "known": {"rev": 1, "notices": [notice(1, ("s0", "127.0.0.1:9", "active"), whole=True)]},
    "settings": settings(),
    "limits": {"sockets": 256},
}


def revision(tmp_path, text: str, running: config.Config) -> config.Config:
    (tmp_path / "config.json").write_text(text)
    return config.reload(running, {"NODE_CONFIG": str(tmp_path / "config.json")})


@pytest.fixture
def running(tmp_path):
    (tmp_path / "config.json").write_text(json.dumps(FILE))
    return config.load({"NODE_CONFIG": str(tmp_path / "config.json")})


def changed(**settings_changes: object) -> dict:
    told = copy.deepcopy(FILE)
    told["settings"] |= settings_changes
    return told


def without(path: str) -> dict:
    told = copy.deepcopy(FILE)
    *within, last = path.split(".")
    where = told
    for part in within:
        where = where[int(part)] if isinstance(where, list) else where[part]
    del where[last]
    return told


def test_a_revision_may_add_and_drop_classes_change_effects_and_lower_attempts(tmp_path, running):
    fresh = {"name": "fresh", "gain": 2.0, "late_worth": 0.1, "aim_ms": 500.0, "deadline_ms": 2000.0}
    services = [FILE["settings"]["services"][1] | {"idempotency": "fragile"}, fresh]
    told = changed(services=services, limits=FILE["settings"]["limits"] | {"most_tries": 2})
    told["settings"]["extra"] = told["settings"]["extra"] | {"allowed_pools": [[0], [0]]}
    conf = revision(tmp_path, json.dumps(told), running)
    assert [kind.name for kind in conf.settings.classes] == [URGENT, "fresh"]
    assert conf.settings.classes[0].repeat is face.Repeat.ONCE and conf.settings.max_attempts == 2


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("", "NODE_CONFIG can't be read"),
        (json.dumps(FILE)[:-40], "NODE_CONFIG can't be read"),
        (json.dumps([1, 2]), "the configuration is no object"),
        (json.dumps(without("settings")), "settings is missing"),
        (json.dumps(without("board")), "board is missing"),
        (json.dumps(without("listen")), "listen is missing"),
        (json.dumps(without("settings.extra.guard_ms")), "settings.extra.guard_ms is missing"),
        (json.dumps(without("settings.limits.cancel")), "settings.limits.cancel is missing"),
        (json.dumps(without("settings.services.1.late_worth")), "settings.services.1.late_worth is missing"),
        (
            json.dumps(without("settings.services.0.deadline_ms")),
            "settings.services.0.deadline_ms is missing",
        ),
        (json.dumps(without("limits")), "limits.sockets is missing"),
    ],
    ids=lambda value: (
        value.split(" is")[0].split(" can't")[0] if isinstance(value, str) and len(value) < 80 else ""
    ),
)
def test_an_empty_cut_or_incomplete_file_is_refused_by_its_key(tmp_path, running, text, key):
    with pytest.raises(config.MalformedError, match=key):
        revision(tmp_path, text, running)


@pytest.mark.parametrize("deadline", [-5, 0, "soon", None])
def test_a_deadline_that_is_not_a_positive_number_is_refused(tmp_path, running, deadline):
    services = copy.deepcopy(FILE["settings"]["services"])
    services[0]["deadline_ms"] = deadline
    with pytest.raises(config.MalformedError, match="settings.services.0.deadline_ms"):
        revision(tmp_path, json.dumps(changed(services=services)), running)


@pytest.mark.parametrize("attempts", [0, -1, 2.5, "many", None])
def test_attempts_that_are_not_a_positive_number_are_refused(tmp_path, running, attempts):
    limits = FILE["settings"]["limits"] | {"most_tries": attempts}
    with pytest.raises(config.MalformedError, match="settings.limits.most_tries"):
        revision(tmp_path, json.dumps(changed(limits=limits)), running)


def test_a_new_class_must_hold_what_every_running_class_holds(tmp_path, running):
    lacking = {"name": "fresh", "gain": 2.0, "aim_ms": 500.0, "deadline_ms": 2000.0}
    services = [*FILE["settings"]["services"], lacking]
    with pytest.raises(config.MalformedError, match="settings.services.2.late_worth is missing"):
        revision(tmp_path, json.dumps(changed(services=services)), running)


def test_an_open_request_keeps_its_attempts_when_a_revision_lowers_them_and_new_ones_take_the_new():
    world = World(servers=4)
    old = Request("a" * 16, PLAIN, world.now_ms() + 5000.0, world)
    old.destination = 0
    world.engine.offer(old)
    fewer = face.Settings(**{**_fields(world.engine.settings), "max_attempts": 1})
    world.engine.adopt(fewer, world.engine.most_held)
    for _ in range(3):
        world.engine.ended(old.attempt, face.Outcome.ERROR)
        world.wait(1)
    assert [attempt.request.id for attempt in world.sent] == ["a" * 16] * 4  # four, as allowed when it came
    new = Request("b" * 16, PLAIN, world.now_ms() + 5000.0, world)
    world.engine.offer(new)
    world.engine.ended(new.attempt, face.Outcome.ERROR)
    world.wait(1)
    assert [attempt.request.id for attempt in world.sent].count("b" * 16) == 1
    assert not [name for name in world.tally.counts if name.startswith("broken")]


def test_a_dropped_class_serves_its_open_requests_and_refuses_new_ones():
    world = World()
    old = Request("a" * 16, PLAIN, world.now_ms() + 5000.0, world)
    world.engine.offer(old)
    only_urgent = tuple(kind for kind in world.engine.settings.classes if kind.name == URGENT)
    world.engine.adopt(face.Settings(**{**_fields(world.engine.settings), "classes": only_urgent}), 20_000)
    world.engine.stood(old.attempt, b"sdp")
    world.engine.offer(Request("b" * 16, PLAIN, world.now_ms() + 5000.0, world))
    assert ("stands", "a" * 16, b"sdp") in world.told and ("refused", "b" * 16) in world.told


def test_settings_that_the_controller_refuses_change_nothing():
    world = World()
    before = world.engine.settings
    wrong = face.Settings(**{**_fields(before), "cold_fraction": 0.0})
    with pytest.raises(ValueError, match="cold_fraction"):
        world.engine.adopt(wrong, 5)
    assert world.engine.settings is before and world.engine.controller.settings is before
    assert world.engine.most_held != 5


def _fields(settings_: face.Settings) -> dict:
    return {name: getattr(settings_, name) for name in settings_.__dataclass_fields__}


def test_worths_that_a_revision_drops_do_not_weigh_on_those_that_stay():
    """Two hundred calls of a class that was worth much, and is no more: what is left is worth the mean again."""
    rich = face.CallClass("rich", 100.0, 0.2, 1500.0, 9000.0)
    world = World(classes=(rich, face.CallClass(PLAIN, 1.0, 0.2, 1500.0, 9000.0)))
    for i in range(200):
        world.engine.offer(Request(f"{i:016x}", "rich", world.now_ms() + 5000.0, world))
    controller = world.engine.controller
    plain = face.CallOffered("x", PLAIN, 0.0, 0)
    only = face.Settings(**{**_fields(world.engine.settings), "classes": (controller.classes[PLAIN],)})
    assert controller._window_scale(_Call(plain, controller.classes[PLAIN], 4)) == 0.5
    world.engine.adopt(only, 20_000)
    assert controller._window_scale(_Call(plain, controller.classes[PLAIN], 4)) == 1.0
