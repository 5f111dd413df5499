"""The one place where configuration is read, checked and given defaults; errors name the faulty key."""

from __future__ import annotations

import dataclasses
import ipaddress
import json
import math
import os
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from leadslip import interface as face
from leadslip.errors import OperatorError

Fields = dict[str, str]
Address = tuple[str, int]

REPEATS = {"retryable": face.Repeat.FREE, "dedup": face.Repeat.DEDUPED, "fragile": face.Repeat.ONCE}
REPORTED = {
    "idle": "free_lines",
    "circuits": "lines",
    "active": "active",
    "waiting": "queue",
    "cpu": "utilisation",
    "avg_ms": "wait_ms",
    "max_rate": "set_ups_per_s",
    "reduce": "hold_back",
    # The names on the sockets.
    "x0": "free_lines",
    "x1": "lines",
    "inflight": "active",
    "queue": "queue",
    "util": "utilisation",
    "latency_ms": "wait_ms",
    "qps": "set_ups_per_s",
    "eps": "hold_back",
}


class MalformedError(OperatorError):
    """A value of the configuration makes no sense; the text names its key."""

    code, status = "config.malformed", 400
    action = "Correct the value of the key named; a proxy that runs keeps the configuration it has."

    def within(self, path: str) -> MalformedError:
        """The same, of a key that stands below a path."""
        return type(self)(f"{path}{self}")


class MissingError(MalformedError):
    """A key that the configuration must have is not there."""

    code = "config.missing"
    action = "Add the key named."


class UnknownKeyError(MalformedError):
    """The configuration has a key that this version does not know."""

    code = "config.unknown-key"
    action = "Remove the key or correct its spelling; if it is of a newer version, upgrade first."


class BoundsError(MalformedError):
    """A figure of the configuration is out of its bounds."""

    code = "config.bounds"
    action = "Choose a figure within the bounds named."


class TakenError(MalformedError):
    """A name or an address is used twice in the configuration."""

    code = "config.taken"
    action = "Give one of the two another name or address."


class UnreadableError(MalformedError):
    """A file of the configuration can't be read."""

    code = "config.unreadable"
    action = "See that the file is there, may be read by the proxy's user, and is whole."


class FixedError(MalformedError):
    """A key of the configuration can't change while the proxy runs."""

    code = "config.fixed"
    action = "Put the old value back and reload, or restart the proxy with the new one."


class NeedsError(MalformedError):
    """A part of the configuration needs another that is off."""

    code = "config.needs"
    action = "Turn the part named on, or this one off."


def number(fields: Fields, key: str, default: float | None = None) -> float:
    """The number under a key; without a default the key must be there."""
    text = fields.get(key)
    if text is None:
        if default is None:
            raise MissingError(f"{key} is missing")
        return default
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise MalformedError(f"{key} is no number: {text}")
    return value


def whole(fields: Fields, key: str, default: int | None = None) -> int:
    """The whole number under a key."""
    value = number(fields, key, default)
    if value != int(value):
        raise MalformedError(f"{key} is no whole number: {fields[key]}")
    return int(fields[key]) if fields.get(key, "").lstrip("-").isdigit() else int(value)


def word(fields: Fields, key: str) -> str:
    """The text under a key, which must be there."""
    if not fields.get(key):
        raise MissingError(f"{key} is missing")
    return fields[key]


def flag(fields: Fields, key: str, default: bool = False) -> bool:
    """The truth under a key: 1, 0, true or false."""
    text = fields.get(key)
    if text is None:
        return default
    if text not in ("0", "1", "true", "false"):
        raise MalformedError(f"{key} is neither 1 nor 0: {text}")
    return text in ("1", "true")


def known(table: dict, value: object, key: str) -> object:
    """The meaning of a code word."""
    if value not in table:
        raise MalformedError(f"{key} is unknown: {value}")
    return table[value]


def settings_of(conf: Fields) -> face.Settings:
    """The start message's settings in the library's words."""
    classes = []
    for i in range(whole(conf, "services.count")):
        at = f"services.{i}."
        pools = conf.get(f"extra.allowed_pools.{i}")
        classes.append(
            face.CallClass(
                name=word(conf, at + "name"),
                worth=number(conf, at + "gain"),
                late_worth=number(conf, at + "late_worth", 0.0),
                aim_ms=number(conf, at + "aim_ms"),
                deadline_ms=number(conf, at + "deadline_ms"),
                repeat=known(REPEATS, conf.get(at + "idempotency", "retryable"), at + "idempotency"),
                allowed_pools=None if pools is None else tuple(pool_numbers(pools, i)),
            )
        )
    tenants = tuple(
        face.Tenant(word(conf, f"customers.{i}.name"), number(conf, f"customers.{i}.quota_rps"))
        for i in range(whole(conf, "customers.count", 0))
    )
    return face.Settings(
        gateways=whole(conf, "balancers"),
        index=whole(conf, "index"),
        classes=tuple(classes),
        tenants=tenants,
        over_share_worth=number(conf, "over_share_worth", 1.0),
        max_attempts=whole(conf, "limits.most_tries"),
        may_withdraw=flag(conf, "limits.cancel"),
        may_probe=flag(conf, "limits.may_probe"),
        may_tell_peers=flag(conf, "limits.peers"),
        callers_obey_pause=flag(conf, "limits.retry_after"),
        max_pause_ms=number(conf, "limits.max_retry_after_ms", 0.0),
        drain_grace_ms=number(conf, "obligations.stop_sending_within_ms", 0.0),
        cold_fraction=number(conf, "obligations.cold_from"),
        warm_after_ms=number(conf, "obligations.warm_after_ms"),
        push_multiple=number(conf, "obligations.tip_multiple"),
        push_window_ms=number(conf, "obligations.tip_after_ms"),
        release_wait_ms=number(conf, "extra.guard_ms", 0.0),
        resend_ms=number(conf, "extra.resend_ms", 0.0),
        tick_ms=number(conf, "tick_ms", 1.0),
        list_on_request=conf.get("membership_mode") == "on_request",
        own_number=whole(conf, "extra.here", -1),
    )


def pool_numbers(text: str, i: int) -> Iterable[int]:
    """The pools that class i may go to."""
    for part in text.split(","):
        if part:
            yield whole({f"extra.allowed_pools.{i}": part}, f"extra.allowed_pools.{i}")


def load_of(text: str | None, names: list[str]) -> face.Load | None:
    """A load report; figures of -1 are untold, figures of unknown names are skipped."""
    if not text:
        return None
    told = {}
    for name, part in zip(names, text.split(","), strict=False):
        value = number({"stats": part}, "stats")
        if name in REPORTED and value >= 0:
            told[REPORTED[name]] = value
    return face.Load(**told)


def load_named(text: str) -> face.Load:
    """A load report on the sockets, such as x0:12;x1:40: figures of -1 are untold, unknown names skipped."""
    told = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        if name in REPORTED:
            figure = number({name: value}, name)
            if figure >= 0:
                told[REPORTED[name]] = figure
    return face.Load(**told)


# The files of a real signalling proxy, and what the notice board sends in the same form.

STATES = {
    "active": face.ServerState.READY,
    "leaving": face.ServerState.DRAINING,
    "left": face.ServerState.GONE,
}


POSITIVE = (
    "balancers",
    "limits.most_tries",
    "limits.dial_timeout_ms",
    "limits.most_held",
    "obligations.cold_from",
    "obligations.tip_multiple",
    "tick_ms",
)


@dataclass(frozen=True, slots=True)
class Notice:
    """One event of the notice board: list news, and where each server listens."""

    rev: int
    news: face.ListNews
    addresses: dict[str, Address]


@dataclass(frozen=True, slots=True)
class Config:
    """All that a signalling proxy is told at its start."""

    name: str
    listen: Address
    ops: Address | None  # the operators' address; None: there is none
    seed: int
    sockets: int
    board: Address
    last_event: int
    notices: tuple[Notice, ...]
    settings: face.Settings
    dial_timeout_ms: float
    most_held: int
    keys: frozenset[str] = frozenset()  # the keys of the file as written, but for events and classes
    class_shapes: tuple[frozenset[str], ...] = ()  # the keys of each class of the file


def flatten(value: object, path: str = "") -> Fields:
    """Nested JSON settings as the simulator's start message has them: path=value pairs, all text."""
    if isinstance(value, Mapping):
        pairs: Fields = {}
        for key, inner in value.items():
            pairs |= flatten(inner, f"{path}.{key}" if path else str(key))
        return pairs
    if isinstance(value, list):
        if any(isinstance(item, Mapping | list) for item in value):
            pairs = {f"{path}.count": str(len(value))}
            for i, item in enumerate(value):
                pairs |= flatten(item, f"{path}.{i}")
            return pairs
        return {path: ",".join(_plain(item) for item in value)}
    return {} if value is None else {path: _plain(value)}


def _plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def member(where: Mapping, key: str, kind: type | tuple[type, ...], path: str = "") -> object:
    """A member of a JSON object, which must be there and of the kind."""
    name = f"{path}.{key}" if path else key
    if key not in where:
        raise MissingError(f"{name} is missing")
    value = where[key]
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise MalformedError(f"{name} makes no sense: {json.dumps(value)[:80]}")
    return value


def address_of(text: object, key: str) -> Address:
    """An IP address and a port; names are not resolved, since there may be no DNS."""
    host, _, port = str(text).rpartition(":")
    try:
        host = str(ipaddress.ip_address(host.strip("[]")))
    except ValueError:
        host = ""
    if not host or not (port.isascii() and port.isdigit() and int(port) < 65536):
        raise MalformedError(f"{key} is no address:port: {str(text)[:80]}")
    return host, int(port)


def notice_of(event: object, path: str) -> Notice:
    """One event of the notice board; `boot_ms` is Unix time, as is the clock of the core."""
    if not isinstance(event, Mapping):
        raise MalformedError(f"{path} is no object")
    rev = int(member(event, "rev", int, path))
    pool = member(event, "pool", Mapping, path)
    entries, addresses = [], {}
    for i, target in enumerate(member(pool, "targets", list, f"{path}.pool")):
        at = f"{path}.pool.targets.{i}"
        if not isinstance(target, Mapping):
            raise MalformedError(f"{at} is no object")
        uid = str(member(target, "uid", str, at))
        state = known(STATES, member(target, "state", str, at), f"{at}.state")
        addresses[uid] = address_of(member(target, "endpoint", str, at), f"{at}.endpoint")
        number_ = target.get("pod_group", -1)
        since = target.get("boot_ms", 0)
        fields = {"pod_group": str(number_), "boot_ms": str(since)}
        entries.append(face.ListEntry(uid, whole(fields, "pod_group"), state, number(fields, "boot_ms")))
    kind = face.NewsKind.WHOLE if pool.get("all") is True else face.NewsKind.CHANGES
    return Notice(rev, face.ListNews(kind, tuple(entries)), addresses)


def config_of(told: object) -> Config:
    """The checked configuration of a signalling proxy."""
    if not isinstance(told, Mapping):
        raise MalformedError("the configuration is no object")
    flat = flatten(member(told, "settings", Mapping))
    flat.setdefault("services.count", "0")
    try:
        settings = settings_of(flat)
        if whole(flat, "services.count") < 1:
            raise MalformedError("services is empty")
        for key in POSITIVE + tuple(f"services.{i}.deadline_ms" for i in range(len(settings.classes))):
            if key in flat and not number(flat, key) > 0:
                raise BoundsError(f"{key} must be above 0: {flat[key]}")
        if settings.cold_fraction > 1:
            raise BoundsError(f"obligations.cold_from must not be above 1: {settings.cold_fraction}")
        dial_timeout_ms = number(flat, "limits.dial_timeout_ms", 500.0)
        most_held = whole(flat, "limits.most_held", 20_000)
    except MalformedError as fault:
        raise fault.within("settings.") from fault
    told_first = member(told, "known", Mapping)
    notices = [
        notice_of(event, f"known.notices.{i}")
        for i, event in enumerate(member(told_first, "notices", list, "known"))
    ]
    try:
        seed = int(str(member(told, "seed", (str, int))), 16)
    except ValueError as fault:
        raise MalformedError("seed is no hex number") from fault
    limits = told.get("limits", {})
    if not isinstance(limits, Mapping):
        raise MalformedError("limits is no object")
    sockets = limits.get("sockets", 1024)
    if not isinstance(sockets, int) or sockets < 16:
        raise MalformedError(f"limits.sockets makes no sense: {sockets!r}")
    return Config(
        name=str(told.get("name", "")),
        listen=address_of(member(told, "listen", str), "listen"),
        ops=None if told.get("ops") is None else address_of(told["ops"], "ops"),
        seed=seed,
        sockets=sockets,
        board=address_of(member(told, "board", str), "board"),
        last_event=int(member(told_first, "rev", int, "known")),
        notices=tuple(notices),
        settings=settings,
        dial_timeout_ms=dial_timeout_ms,
        most_held=most_held,
    )


def turned_on(told: Mapping, path: str, keys: tuple[str, ...]) -> bool:
    """Whether a part's file turns it on; raises MalformedError for a key that it does not know."""
    for key in told:
        if key != "enabled" and key not in keys:
            raise UnknownKeyError(f"{path}.{key} is unknown")
    enabled = told.get("enabled", False)
    if not isinstance(enabled, bool):
        raise MalformedError(f"{path}.enabled is neither true nor false: {enabled!r}")
    return enabled


def figures_of(told: Mapping, path: str, keys: Mapping[str, tuple]) -> dict:
    """Figures within their bounds; whole where the default is."""
    figures = {}
    for key, (default, least, most) in keys.items():
        value = told.get(key, default)
        kinds = int if isinstance(default, int) else (int, float)
        if isinstance(value, bool) or not isinstance(value, kinds) or not least <= value <= most:
            raise BoundsError(f"{path}.{key} must lie between {least} and {most}: {value!r}")
        figures[key] = value
    return figures


def optional(environ: Mapping[str, str], variable: str, file_name: str) -> dict:
    """A file that an environment variable names, or the one under deploy/; nothing where there is none."""
    path = environ.get(variable)
    if path is None and not os.path.exists(file_name):
        return {}
    try:
        with open(path or file_name, "rb") as file:
            return tomllib.load(file)
    except (OSError, ValueError) as fault:
        raise UnreadableError(f"{variable if path else file_name} can't be read: {fault}") from fault


def read_json(path: str, key: str) -> object:
    """The JSON in a file; the key says where the path came from."""
    try:
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, ValueError) as fault:
        raise UnreadableError(f"{key} can't be read: {fault}") from fault


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration that the environment names; NODE_NAME, NODE_LISTEN and NODE_OPS fill gaps in the file."""
    path = environ.get("NODE_CONFIG")
    if not path:
        raise MissingError("NODE_CONFIG is missing")
    told = read_json(path, "NODE_CONFIG")
    if not isinstance(told, dict):
        return config_of(told)
    keys, class_shapes = shape_of(told)
    for key, variable in (("name", "NODE_NAME"), ("listen", "NODE_LISTEN"), ("ops", "NODE_OPS")):
        if variable in environ:
            told.setdefault(key, environ[variable])
    return dataclasses.replace(config_of(told), keys=keys, class_shapes=class_shapes)


PER_CLASS = ("settings.services.", "settings.extra.allowed_pools.")  # keys that go with the classes told


def shape_of(told: Mapping) -> tuple[frozenset[str], tuple[frozenset[str], ...]]:
    """The keys of a file as written: all but those of events and of classes; and the keys of each class."""
    flat = flatten({key: value for key, value in told.items() if key != "known"})
    keys = frozenset(key for key in flat if not key.startswith(PER_CLASS))
    settings = told.get("settings")
    services = settings.get("services") if isinstance(settings, Mapping) else None
    listed = services if isinstance(services, list) else ()
    return keys, tuple(frozenset(flatten(one)) if isinstance(one, Mapping) else frozenset() for one in listed)


def reload(running: Config, environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration read anew for a running proxy, which can't change where it listens, nor its name."""
    conf = load(environ)
    for key in ("name", "listen", "ops"):
        if getattr(conf, key) != getattr(running, key):
            raise FixedError(f"{key} can't change without a restart: {getattr(conf, key)!r}")
    # Guards against a file cut or garbled on its way: a default would change the running rules unseen.
    missing = sorted(running.keys - conf.keys)
    if missing:
        raise MissingError(f"{missing[0]} is missing: a revision holds every key of the running file")
    held = frozenset.intersection(*running.class_shapes) if running.class_shapes else frozenset()
    for i, shape in enumerate(conf.class_shapes):
        lacking = sorted(held - shape)
        if lacking:
            raise MissingError(f"settings.services.{i}.{lacking[0]} is missing: every running class holds it")
    return conf
