"""Configuration reload: permitted changes, invalid files, and open requests, to which the earlier limits apply.

These are tests of config.reload and Engine.apply_settings, which the proxy calls at SIGHUP; test_program reloads a
running proxy.
"""

import copy
import json

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from leadslip import config, interface
from leadslip.controller import _Call
from leadslip.core import Request
from tests.helpers import PLAIN, URGENT
from tests.standins import notice, settings
from tests.test_core import EngineFixture

CONFIGURATION = {
    "name": "n0",
    "listen": "127.0.0.1:3868",
    "ops": "127.0.0.1:3869",
    "seed": "5eed",
    "board": "127.0.0.1:4222",
    "known": {"rev": 1, "notices": [notice(1, ("s0", "127.0.0.1:9", "active"), snapshot=True)]},
    "settings": settings(),
    "limits": {"sockets": 256},
}


def reload(tmp_path, text: str, running: config.Config) -> config.Config:
    """Return the configuration reloaded from a file with this text, with `running` as the current one."""
    (tmp_path / "config.json").write_text(text)
    return config.reload(running, {"NODE_CONFIG": str(tmp_path / "config.json")})


@pytest.fixture
def running(tmp_path):
    """The configuration of the running proxy."""
    (tmp_path / "config.json").write_text(json.dumps(CONFIGURATION))
    return config.load({"NODE_CONFIG": str(tmp_path / "config.json")})


def changed(**settings_changes: object) -> dict:
    """Return the configuration with changed settings."""
    configuration = copy.deepcopy(CONFIGURATION)
    configuration["settings"] |= settings_changes
    return configuration


def without(path: str) -> dict:
    """Return the configuration without the key at a path such as settings.services.1.late_worth."""
    configuration = copy.deepcopy(CONFIGURATION)
    *parents, last = path.split(".")
    node = configuration
    for key in parents:
        node = node[int(key)] if isinstance(node, list) else node[key]
    del node[last]
    return configuration


def test_a_reload_may_add_and_remove_classes_change_their_repetition_and_lower_the_attempt_limit(
    tmp_path, running
):
    added = {"name": "fresh", "gain": 2.0, "late_worth": 0.1, "aim_ms": 500.0, "deadline_ms": 2000.0}
    services = [CONFIGURATION["settings"]["services"][1] | {"idempotency": "fragile"}, added]
    configuration = changed(services=services, limits=CONFIGURATION["settings"]["limits"] | {"most_tries": 2})
    configuration["settings"]["extra"] = configuration["settings"]["extra"] | {"allowed_pools": [[0], [0]]}
    reloaded = reload(tmp_path, json.dumps(configuration), running)
    assert [call_class.name for call_class in reloaded.settings.classes] == [URGENT, "fresh"]
    assert (
        reloaded.settings.classes[0].repeat is interface.Repeat.ONCE and reloaded.settings.max_attempts == 2
    )


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("", "NODE_CONFIG can't be read"),
        (json.dumps(CONFIGURATION)[:-40], "NODE_CONFIG can't be read"),  # truncated
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
def test_an_empty_truncated_or_incomplete_file_is_rejected_with_the_key_in_the_error(
    tmp_path, running, text, key
):
    with pytest.raises(config.MalformedError, match=key):
        reload(tmp_path, text, running)


@pytest.mark.parametrize("deadline", [-5, 0, "soon", None])
def test_a_deadline_that_is_not_a_positive_number_is_rejected(tmp_path, running, deadline):
    services = copy.deepcopy(CONFIGURATION["settings"]["services"])
    services[0]["deadline_ms"] = deadline
    with pytest.raises(config.MalformedError, match="settings.services.0.deadline_ms"):
        reload(tmp_path, json.dumps(changed(services=services)), running)


@pytest.mark.parametrize("attempts", [0, -1, 2.5, "many", None])
def test_an_attempt_limit_that_is_not_a_positive_integer_is_rejected(tmp_path, running, attempts):
    limits = CONFIGURATION["settings"]["limits"] | {"most_tries": attempts}
    with pytest.raises(config.MalformedError, match="settings.limits.most_tries"):
        reload(tmp_path, json.dumps(changed(limits=limits)), running)


def test_a_new_class_must_have_every_key_of_the_running_classes(tmp_path, running):
    incomplete = {"name": "fresh", "gain": 2.0, "aim_ms": 500.0, "deadline_ms": 2000.0}
    services = [*CONFIGURATION["settings"]["services"], incomplete]
    extra = CONFIGURATION["settings"]["extra"] | {"allowed_pools": [[0], [0], [0]]}
    with pytest.raises(config.MalformedError, match="settings.services.2.late_worth is missing"):
        reload(tmp_path, json.dumps(changed(services=services, extra=extra)), running)


# Guards against review/7: a valid file was refused for want of a key that pages let be absent, and the moved notice
# board was lost with it.
@pytest.mark.parametrize("new_class", [True, False])
def test_a_file_may_lack_the_keys_that_are_optional(tmp_path, running, new_class):
    complete = changed(costs={"fleet": 0.01, "waste": 0.02})
    for service in complete["settings"]["services"]:
        service["aim_stretch"] = 2.0
    running = reload(tmp_path, json.dumps(complete), running)
    without_optional = copy.deepcopy(complete)
    without_optional["board"] = "127.0.0.1:4223"
    del without_optional["settings"]["costs"]["fleet"]
    services = without_optional["settings"]["services"]
    if new_class:
        services.append(services[0] | {"name": "fresh"})
        del services[2]["aim_stretch"]
        without_optional["settings"]["extra"]["allowed_pools"].append([0])
    else:
        del services[1]["aim_stretch"]
    assert reload(tmp_path, json.dumps(without_optional), running).board == ("127.0.0.1", 4223)
    del without_optional["settings"]["costs"]["waste"]
    with pytest.raises(config.MissingError, match="settings.costs.waste"):
        reload(tmp_path, json.dumps(without_optional), running)


def test_a_class_must_keep_the_keys_that_other_classes_do_not_have(tmp_path, running):
    """Guards against the default of a key, such as calls that may be repeated, for a class that had another value."""
    services = copy.deepcopy(CONFIGURATION["settings"]["services"])
    services[1]["idempotency"] = "fragile"
    running = reload(tmp_path, json.dumps(changed(services=services)), running)
    with pytest.raises(
        config.MissingError, match="settings.services.1.idempotency is missing for class urgent"
    ):
        reload(tmp_path, json.dumps(CONFIGURATION), running)


@pytest.mark.parametrize("key", ["allowed_pools", "channels_needed", "mean_hold_ms"])
@pytest.mark.parametrize("at_start", [True, False])
def test_a_list_of_the_classes_must_have_one_entry_for_each(tmp_path, running, key, at_start):
    """Guards against a class without an entry, for which every server was allowed (review/3)."""
    entries = {"allowed_pools": [[0, 1], [0]], "channels_needed": [1, 2], "mean_hold_ms": [900.0, 700.0]}
    complete = changed(extra=CONFIGURATION["settings"]["extra"] | entries)
    running = reload(tmp_path, json.dumps(complete), running)

    def read(changed_entries):
        document = copy.deepcopy(complete)
        document["settings"]["extra"][key] = changed_entries
        if at_start:
            return config.parse_config(document)
        return reload(tmp_path, json.dumps(document), running)

    read(list(reversed(entries[key])))
    for incomplete in (entries[key][:1], [entries[key][0], None], [entries[key][0], []], [], {}):
        with pytest.raises(
            config.MalformedError, match=rf"settings.extra.{key}\b.*(class urgent|for each|of class plain)"
        ):
            read(incomplete)
    with pytest.raises(config.MalformedError, match=f"settings.extra.{key} has 3 entries for 2 classes"):
        read([*entries[key], entries[key][0]])


def key_paths(document: object, path: tuple = ()) -> list[tuple]:
    """Return the paths of all keys of a JSON document, such as ("settings", "services", 0, "gain")."""
    if isinstance(document, dict):
        return [
            found
            for key, value in document.items()
            for found in ((*path, key), *key_paths(value, (*path, key)))
        ]
    if isinstance(document, list):
        return [found for i, value in enumerate(document) for found in key_paths(value, (*path, i))]
    return []


@st.composite
def configurations(draw) -> dict:
    """A complete configuration of one to four classes and servers, with keys that only some sites have."""
    configuration = copy.deepcopy(CONFIGURATION)
    names = draw(st.lists(st.sampled_from("abcdef"), min_size=1, max_size=4, unique=True))
    more_keys = draw(st.sets(st.sampled_from(("idempotency", "key_scope", "window_ms", "stream"))))
    values = {"idempotency": "retryable", "key_scope": "all", "window_ms": 5000.0, "stream": True}
    plain = configuration["settings"]["services"][0] | {key: values[key] for key in more_keys}
    configuration["settings"]["services"] = [plain | {"name": name} for name in names]
    lists = {"allowed_pools": [0, 1], "channels_needed": 1, "mean_hold_ms": 9000.0}
    for key in draw(st.sets(st.sampled_from(sorted(lists)))) | {"allowed_pools"}:
        configuration["settings"]["extra"][key] = [lists[key] for _ in names]
    servers = [(f"s{i}", f"127.0.0.1:{9 + i}", "active") for i in range(draw(st.integers(1, 4)))]
    configuration["known"]["notices"] = [notice(1, *servers, snapshot=True)]
    return configuration


@hypothesis_settings(
    derandomize=True,
    max_examples=40,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(configuration=configurations())
def test_a_file_that_lacks_any_key_of_the_running_one_is_rejected_with_the_key(
    tmp_path, running, configuration
):
    """Guards against keys that a new revision may leave out: those of classes, of lists, of the known servers."""
    running = reload(tmp_path, json.dumps(configuration), running)
    assert reload(tmp_path, json.dumps(configuration), running).settings == running.settings
    for *parents, last in key_paths(configuration):
        incomplete = copy.deepcopy(configuration)
        node = incomplete
        for key in parents:
            node = node[key]
        del node[last]
        path = ".".join(map(str, (*parents, last)))
        with pytest.raises(config.MalformedError) as caught:
            reload(tmp_path, json.dumps(incomplete), running)
        assert path in str(caught.value), f"{path}: {caught.value}"


def test_an_open_request_keeps_its_attempt_limit_when_a_reload_lowers_it_for_new_ones():
    world = EngineFixture(servers=4)
    old = Request("a" * 16, PLAIN, world.now_ms() + 5000.0, world)
    old.destination = 0
    world.engine.offer(old)
    fewer = interface.Settings(**{**settings_fields(world.engine.settings), "max_attempts": 1})
    world.engine.apply_settings(fewer, world.engine.max_open_requests)
    for _ in range(3):
        world.engine.on_attempt_ended(old.attempt, interface.Outcome.ERROR)
        world.wait(1)
    assert [attempt.request.id for attempt in world.sent] == [
        "a" * 16
    ] * 4  # the limit when the request was received
    new = Request("b" * 16, PLAIN, world.now_ms() + 5000.0, world)
    world.engine.offer(new)
    world.engine.on_attempt_ended(new.attempt, interface.Outcome.ERROR)
    world.wait(1)
    assert [attempt.request.id for attempt in world.sent].count("b" * 16) == 1
    assert not [name for name in world.metrics.counts if name.startswith("broken")]


def test_open_requests_of_a_removed_class_are_served_and_new_ones_refused():
    world = EngineFixture()
    old = Request("a" * 16, PLAIN, world.now_ms() + 5000.0, world)
    world.engine.offer(old)
    only_urgent = tuple(
        call_class for call_class in world.engine.settings.classes if call_class.name == URGENT
    )
    world.engine.apply_settings(
        interface.Settings(**{**settings_fields(world.engine.settings), "classes": only_urgent}), 20_000
    )
    world.engine.on_established(old.attempt, b"sdp")
    world.engine.offer(Request("b" * 16, PLAIN, world.now_ms() + 5000.0, world))
    assert ("established", "a" * 16, b"sdp") in world.recorded and ("refused", "b" * 16) in world.recorded


def test_settings_that_the_controller_rejects_change_nothing():
    world = EngineFixture()
    before = world.engine.settings
    invalid = interface.Settings(**{**settings_fields(before), "cold_fraction": 0.0})
    with pytest.raises(ValueError, match="cold_fraction"):
        world.engine.apply_settings(invalid, 5)
    assert world.engine.settings is before and world.engine.controller.settings is before
    assert world.engine.max_open_requests != 5


def settings_fields(settings_: interface.Settings) -> dict:
    return {name: getattr(settings_, name) for name in settings_.__dataclass_fields__}


def test_worths_of_removed_classes_do_not_affect_the_mean_worth():
    """Guards against counting the calls of a removed class, here of high worth, in the mean worth.

    The remaining class would then seem to be worth less than the mean, and its calls would get a smaller window.
    """
    rich = interface.CallClass("rich", 100.0, 0.2, 1500.0, 9000.0)
    world = EngineFixture(classes=(rich, interface.CallClass(PLAIN, 1.0, 0.2, 1500.0, 9000.0)))
    for i in range(200):
        world.engine.offer(Request(f"{i:016x}", "rich", world.now_ms() + 5000.0, world))
    controller = world.engine.controller
    plain = interface.CallOffered("x", PLAIN, 0.0, 0)
    only = interface.Settings(
        **{**settings_fields(world.engine.settings), "classes": (controller.classes[PLAIN],)}
    )
    assert controller._window_scale(_Call(plain, controller.classes[PLAIN], 4)) == 0.5
    world.engine.apply_settings(only, 20_000)
    assert controller._window_scale(_Call(plain, controller.classes[PLAIN], 4)) == 1.0
