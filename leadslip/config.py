"""Reads and validates the configuration and fills in its defaults; errors name the offending key."""

from __future__ import annotations

import dataclasses
import ipaddress
import json
import math
import os
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from leadslip import interface, revision
from leadslip.errors import OperatorError

Fields = dict[str, str]  # flat settings: dotted key -> value as text
Address = tuple[str, int]  # IP address, port

REPEAT_BY_IDEMPOTENCY = {  # value of a class's key `idempotency` -> rule for repeated set-ups
    "retryable": interface.Repeat.FREE,
    "dedup": interface.Repeat.DEDUPED,
    "fragile": interface.Repeat.ONCE,
}
LOAD_FIELDS = {  # name in a load report -> field of interface.Load
    # The names that the simulator sends.
    "idle": "free_lines",
    "circuits": "lines",
    "active": "active",
    "waiting": "queue",
    "cpu": "utilisation",
    "avg_ms": "wait_ms",
    "max_rate": "set_ups_per_s",
    "reduce": "hold_back",
    # The names that setup servers send.
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
    """A configuration value is invalid; the error message names its key."""

    code, status = "config.malformed", 400
    action = "Correct the value of the key named; a running proxy keeps its current configuration."

    def with_prefix(self, path: str) -> MalformedError:
        """A copy of the error with a path put before its key, such as `settings.`."""
        return type(self)(f"{path}{self}")


class MissingError(MalformedError):
    """A required configuration key is missing."""

    code = "config.missing"
    action = "Add the key named."


class UnknownKeyError(MalformedError):
    """A configuration key is unknown to this version."""

    code = "config.unknown-key"
    action = "Remove the key or correct its spelling; if a newer version introduced it, upgrade first."


class BoundsError(MalformedError):
    """A number in the configuration is outside its permitted range."""

    code = "config.bounds"
    action = "Choose a number within the range named."


class TakenError(MalformedError):
    """A name or an address is used more than once in the configuration."""

    code = "config.taken"
    action = "Use a different name or address for one of the two."


class UnreadableError(MalformedError):
    """A configuration file can't be read."""

    code = "config.unreadable"
    action = "Check that the file exists, that the proxy's user may read it, and that it is complete."


class FixedError(MalformedError):
    """A configuration key can't change while the proxy runs."""

    code = "config.fixed"
    action = "Restore the old value and reload, or restart the proxy with the new one."


class NeedsError(MalformedError):
    """An enabled part requires another part that is disabled."""

    code = "config.needs"
    action = "Enable the part named, or disable this one."


def number(fields: Fields, key: str, default: float | None = None) -> float:
    """The finite number under a key, which is required if there is no default."""
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
        raise MalformedError(f"{key} is no number: {text}; a finite number is required")
    return value


def integer(fields: Fields, key: str, default: int | None = None) -> int:
    """The integer under a key, which is required if there is no default."""
    value = number(fields, key, default)
    if value != int(value):
        raise MalformedError(f"{key} is no whole number: {fields[key]}")
    # Digits are parsed directly, as a float is exact only up to 2**53.
    return int(fields[key]) if fields.get(key, "").lstrip("-").isdigit() else int(value)


def required_text(fields: Fields, key: str) -> str:
    """The text under a required key; an empty text counts as missing."""
    if not fields.get(key):
        raise MissingError(f"{key} is missing")
    return fields[key]


def boolean(fields: Fields, key: str, default: bool = False) -> bool:
    """The boolean under a key: 1, 0, true or false."""
    text = fields.get(key)
    if text is None:
        return default
    if text not in ("0", "1", "true", "false"):
        raise MalformedError(f"{key} must be 1, 0, true or false: {text}")
    return text in ("1", "true")


def lookup_keyword(table: dict, value: object, key: str) -> object:
    """Looks up a keyword in a table; raises MalformedError for one that is not in it."""
    if value not in table:
        raise MalformedError(f"{key} is unknown: {value}; allowed are {', '.join(map(str, table))}")
    return table[value]


def parse_settings(conf: Fields) -> interface.Settings:
    """The Controller's settings from the flat settings of a configuration or of the simulator's start message."""
    classes = []
    for i in range(integer(conf, "services.count")):
        prefix = f"services.{i}."
        pools = conf.get(f"extra.allowed_pools.{i}")
        classes.append(
            interface.CallClass(
                name=required_text(conf, prefix + "name"),
                worth=number(conf, prefix + "gain"),
                late_worth=number(conf, prefix + "late_worth", 0.0),
                aim_ms=number(conf, prefix + "aim_ms"),
                deadline_ms=number(conf, prefix + "deadline_ms"),
                repeat=lookup_keyword(
                    REPEAT_BY_IDEMPOTENCY,
                    conf.get(prefix + "idempotency", "retryable"),
                    prefix + "idempotency",
                ),
                allowed_pools=None if pools is None else tuple(pool_numbers(pools, i)),
            )
        )
    tenants = tuple(
        interface.Tenant(required_text(conf, f"customers.{i}.name"), number(conf, f"customers.{i}.quota_rps"))
        for i in range(integer(conf, "customers.count", 0))
    )
    return interface.Settings(
        gateways=integer(conf, "balancers"),
        index=integer(conf, "index"),
        classes=tuple(classes),
        tenants=tenants,
        over_share_worth=number(conf, "over_share_worth", 1.0),
        max_attempts=integer(conf, "limits.most_tries"),
        may_withdraw=boolean(conf, "limits.cancel"),
        may_probe=boolean(conf, "limits.may_probe"),
        may_tell_peers=boolean(conf, "limits.peers"),
        callers_obey_pause=boolean(conf, "limits.retry_after"),
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
        own_number=integer(conf, "extra.here", -1),
    )


def pool_numbers(text: str, i: int) -> Iterable[int]:
    """The numbers of the pools that class i may use, from a comma-separated list."""
    for item in text.split(","):
        if item:
            yield integer({f"extra.allowed_pools.{i}": item}, f"extra.allowed_pools.{i}")


def parse_load_values(text: str | None, names: list[str]) -> interface.Load | None:
    """A load report of comma-separated values, in the order of `names`; None if it is empty or missing.

    Negative values count as not reported; values under unknown names are skipped.
    """
    if not text:
        return None
    values = {}
    for name, item in zip(names, text.split(","), strict=False):
        value = number({"stats": item}, "stats")
        if name in LOAD_FIELDS and value >= 0:
            values[LOAD_FIELDS[name]] = value
    return interface.Load(**values)


def parse_load_report(text: str) -> interface.Load:
    """A load report as setup servers send it, such as x0:12;x1:40.

    Negative values count as not reported; values under unknown names are skipped.
    """
    values = {}
    for item in text.split(";"):
        name, _, value_text = item.partition(":")
        if name in LOAD_FIELDS:
            value = number({name: value_text}, name)
            if value >= 0:
                values[LOAD_FIELDS[name]] = value
    return interface.Load(**values)


# The configuration file of a signalling proxy. Its `known.notices` have the form of the notice board's events.

SERVER_STATES = {  # state of a server in a notice -> its state in the server list
    "active": interface.ServerState.READY,
    "leaving": interface.ServerState.DRAINING,
    "left": interface.ServerState.GONE,
}

PER_CLASS_LISTS = (  # keys of `settings.extra` whose lists have one entry for each class, in the order of `services`
    "allowed_pools",
    "channels_needed",
    "mean_hold_ms",
)

POSITIVE_KEYS = (  # keys of the settings whose values must be above 0
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
    """One event of the notice board: a server list update, and the address of each server in it."""

    rev: int  # revision number of the server list
    update: interface.ServerListUpdate
    addresses: dict[str, Address]  # by server id


@dataclass(frozen=True, slots=True)
class Config:
    """The validated configuration of a signalling proxy."""

    name: str
    listen: Address
    ops: Address | None  # the operators' address; None: no operators' endpoint
    seed: int  # random seed of the Controller
    max_descriptors: int  # maximum number of file descriptors, divided between callers and setup servers
    board: Address  # the notice board's address
    last_event_id: int  # id of the last event known at the start: the notice board is asked for later ones
    known_notices: tuple[Notice, ...]  # known at the start, applied before the notice board is asked
    settings: interface.Settings
    connect_timeout_ms: float  # time-out for connecting to a setup server or the notice board
    max_open_requests: int  # maximum number of open requests; further ones are refused
    document: Mapping = dataclasses.field(default_factory=dict)  # the file as it was written


def flatten(value: object, path: str = "") -> Fields:
    """Flattens nested JSON settings to dotted path -> text, the form of the simulator's start message."""
    if isinstance(value, Mapping):
        pairs: Fields = {}
        for key, child in value.items():
            pairs |= flatten(child, f"{path}.{key}" if path else str(key))
        return pairs
    if isinstance(value, list):
        if any(isinstance(item, Mapping | list) for item in value):
            pairs = {f"{path}.count": str(len(value))}
            for i, item in enumerate(value):
                pairs |= flatten(item, f"{path}.{i}")
            return pairs
        return {path: ",".join(_text(item) for item in value)}
    return {} if value is None else {path: _text(value)}


def _text(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def required_value(table: Mapping, key: str, types: type | tuple[type, ...], path: str = "") -> object:
    """The value of a required key of a JSON object; raises MalformedError if it is not of the type."""
    name = f"{path}.{key}" if path else key
    if key not in table:
        raise MissingError(f"{name} is missing")
    value = table[key]
    if not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
        raise MalformedError(
            f"{name} has the wrong type: {json.dumps(value)[:80]}; expected "
            f"{' or '.join(type_.__name__ for type_ in (types if isinstance(types, tuple) else (types,)))}"
        )
    return value


def parse_address(text: object, key: str) -> Address:
    """Parses IP:port; host names are rejected, since DNS may not be available."""
    host, _, port = str(text).rpartition(":")
    try:
        host = str(ipaddress.ip_address(host.strip("[]")))
    except ValueError:
        host = ""
    if not host or not (port.isascii() and port.isdigit() and int(port) < 65536):
        raise MalformedError(
            f"{key} is no address:port: {str(text)[:80]}; an IP address, not a host name, and a port are required"
        )
    return host, int(port)


def parse_notice(event: object, path: str) -> Notice:
    """Parses an event of the notice board; a server's start time, `boot_ms`, is in Unix milliseconds."""
    if not isinstance(event, Mapping):
        raise MalformedError(f"{path} must be an object")
    rev = int(required_value(event, "rev", int, path))
    pool = required_value(event, "pool", Mapping, path)
    entries, addresses = [], {}
    for i, target in enumerate(required_value(pool, "targets", list, f"{path}.pool")):
        target_path = f"{path}.pool.targets.{i}"
        if not isinstance(target, Mapping):
            raise MalformedError(f"{target_path} must be an object")
        uid = str(required_value(target, "uid", str, target_path))
        state = lookup_keyword(
            SERVER_STATES, required_value(target, "state", str, target_path), f"{target_path}.state"
        )
        addresses[uid] = parse_address(
            required_value(target, "endpoint", str, target_path), f"{target_path}.endpoint"
        )
        pod_group = target.get("pod_group", -1)
        boot_ms = target.get("boot_ms", 0)
        fields = {"pod_group": str(pod_group), "boot_ms": str(boot_ms)}
        entries.append(
            interface.ListEntry(uid, integer(fields, "pod_group"), state, number(fields, "boot_ms"))
        )
    update_kind = interface.UpdateKind.SNAPSHOT if pool.get("all") is True else interface.UpdateKind.CHANGES
    return Notice(rev, interface.ServerListUpdate(update_kind, tuple(entries)), addresses)


def check_per_class_lists(settings: Mapping) -> None:
    """Raises MalformedError if a list of the settings has no entry for a class, an empty one, or one too many."""
    class_names = [service.get("name") for service in settings["services"]]
    extra = settings.get("extra")
    for key in PER_CLASS_LISTS:
        entries = extra.get(key) if isinstance(extra, Mapping) else None
        if entries is None:
            continue
        if not isinstance(entries, list):
            raise MalformedError(f"extra.{key} must be a list with one entry for each class")
        for i, name in enumerate(class_names):
            if i >= len(entries) or entries[i] in (None, "", []):
                raise MissingError(f"extra.{key}.{i} is missing: it is the entry of class {name}")
        if len(entries) > len(class_names):
            raise MalformedError(
                f"extra.{key} has {len(entries)} entries for {len(class_names)} classes; remove those of no class"
            )


def parse_config(document: object) -> Config:
    """Parses and validates the configuration of a signalling proxy. Raises MalformedError."""
    if not isinstance(document, Mapping):
        raise MalformedError("the configuration is no object: the file must contain one JSON object")
    flat = flatten(required_value(document, "settings", Mapping))
    flat.setdefault("services.count", "0")
    try:
        settings = parse_settings(flat)
        if integer(flat, "services.count") < 1:
            raise MalformedError("services is empty: a list of at least one call class is required")
        check_per_class_lists(document["settings"])
        for key in POSITIVE_KEYS + tuple(f"services.{i}.deadline_ms" for i in range(len(settings.classes))):
            if key in flat and not number(flat, key) > 0:
                raise BoundsError(f"{key} must be above 0: {flat[key]}")
        if settings.cold_fraction > 1:
            raise BoundsError(f"obligations.cold_from must not be above 1: {settings.cold_fraction}")
        connect_timeout_ms = number(flat, "limits.dial_timeout_ms", 500.0)
        max_open_requests = integer(flat, "limits.most_held", 20_000)
    except MalformedError as error:
        raise error.with_prefix("settings.") from error
    known_state = required_value(document, "known", Mapping)
    known_notices = [
        parse_notice(event, f"known.notices.{i}")
        for i, event in enumerate(required_value(known_state, "notices", list, "known"))
    ]
    try:
        seed = int(str(required_value(document, "seed", (str, int))), 16)
    except ValueError as error:
        raise MalformedError(f"seed must be a hexadecimal number: {document['seed']!r}") from error
    limits = document.get("limits", {})
    if not isinstance(limits, Mapping):
        raise MalformedError("limits must be an object")
    max_descriptors = limits.get("sockets", 1024)
    if not isinstance(max_descriptors, int) or max_descriptors < 16:
        raise MalformedError(f"limits.sockets must be an integer of at least 16: {max_descriptors!r}")
    return Config(
        name=str(document.get("name", "")),
        listen=parse_address(required_value(document, "listen", str), "listen"),
        ops=None if document.get("ops") is None else parse_address(document["ops"], "ops"),
        seed=seed,
        max_descriptors=max_descriptors,
        board=parse_address(required_value(document, "board", str), "board"),
        last_event_id=int(required_value(known_state, "rev", int, "known")),
        known_notices=tuple(known_notices),
        settings=settings,
        connect_timeout_ms=connect_timeout_ms,
        max_open_requests=max_open_requests,
    )


def is_enabled(table: Mapping, path: str, keys: tuple[str, ...]) -> bool:
    """Whether the settings of the part named by `path` enable it; raises MalformedError for an unknown key."""
    for key in table:
        if key != "enabled" and key not in keys:
            raise UnknownKeyError(f"{path}.{key} is unknown")
    enabled = table.get("enabled", False)
    if not isinstance(enabled, bool):
        raise MalformedError(f"{path}.enabled must be true or false: {enabled!r}")
    return enabled


def bounded_numbers(table: Mapping, path: str, bounds: Mapping[str, tuple]) -> dict:
    """The numbers of a table, checked against key -> (default, minimum, maximum); integers where the default is one."""
    numbers = {}
    for key, (default, minimum, maximum) in bounds.items():
        value = table.get(key, default)
        types = int if isinstance(default, int) else (int, float)
        if isinstance(value, bool) or not isinstance(value, types) or not minimum <= value <= maximum:
            raise BoundsError(
                f"{path}.{key} must be {'an integer' if types is int else 'a number'} "
                f"between {minimum} and {maximum}: {value!r}"
            )
        numbers[key] = value
    return numbers


def read_optional_toml(environ: Mapping[str, str], variable: str, file_name: str) -> dict:
    """The TOML file that an environment variable names, else `file_name` under deploy/; empty if that is missing."""
    path = environ.get(variable)
    if path is None and not os.path.exists(file_name):
        return {}
    try:
        with open(path or file_name, "rb") as file:
            return tomllib.load(file)
    except (OSError, ValueError) as error:
        raise UnreadableError(f"{variable if path else file_name} can't be read: {error}") from error


def read_json(path: str, key: str) -> object:
    """Reads a JSON file; errors name the key that the path came from."""
    try:
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, ValueError) as error:
        raise UnreadableError(f"{key} can't be read: {error}") from error


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Loads the file that NODE_CONFIG names; NODE_NAME, NODE_LISTEN and NODE_OPS supply keys that it lacks."""
    path = environ.get("NODE_CONFIG")
    if not path:
        raise MissingError("NODE_CONFIG is missing: it must name the configuration file")
    document = read_json(path, "NODE_CONFIG")
    if not isinstance(document, dict):
        return parse_config(document)
    written = dict(document)
    for key, variable in (("name", "NODE_NAME"), ("listen", "NODE_LISTEN"), ("ops", "NODE_OPS")):
        if variable in environ:
            document.setdefault(key, environ[variable])
    return dataclasses.replace(parse_config(document), document=written)


def reload(running: Config, environ: Mapping[str, str] = os.environ) -> Config:
    """Reads the configuration again for a running proxy, whose name and own addresses can't change."""
    conf = load(environ)
    for key in ("name", "listen", "ops"):
        if getattr(conf, key) != getattr(running, key):
            raise FixedError(
                f"{key} can't change without a restart: {getattr(conf, key)!r} instead of {getattr(running, key)!r}"
            )
    missing = revision.find_missing(running.document, conf.document)
    if missing is not None:
        raise MissingError(
            f"{missing} is missing{_class_suffix(conf.document, missing)}: "
            "a new revision must contain every key of the running file"
        )
    return conf


def _class_suffix(document: Mapping, path: str) -> str:
    """The name of the class that a key belongs to, for an error message; empty if it belongs to none."""
    parts = path.split(".")
    if parts[:2] != ["settings", "services"] or len(parts) < 4:
        return ""
    return f" for class {document['settings']['services'][int(parts[2])].get('name')}"
