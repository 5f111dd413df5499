"""The configuration tool: writes and checks what a proxy beside each application needs.

    python -m leadslip.configure write APPLICATIONS.toml FOLDER
    python -m leadslip.configure check FILE ...

An applications file names what the sidecars share and lists an [[application]] for each; `write` makes a JSON
configuration and, where they are wanted, files for look-ups, export, logs, store and trunks for each. `check` takes
such files, one or many.
"""

from __future__ import annotations

import argparse
import json
import os
import secrets
import sys
import tomllib
from collections.abc import Mapping
from pathlib import Path

from leadslip import config, parts
from leadslip.config import MalformedError, MissingError, TakenError, UnknownKeyError, UnreadableError
from leadslip.errors import OperatorError


class UnwritableError(OperatorError):
    """A configuration can't be written."""

    code = "config.unwritable"
    action = "See that the folder may be written and has room; what was written whole stays."


SHARED = ("board", "settings", "limits", "servers", *parts.NAMES)  # a part has a TOML file beside config.json
OWN = ("name", "listen", *SHARED)
ENTRY_KEYS = ("uid", "endpoint", "az", "pod_group")


def read_toml(path: str) -> dict:
    """A TOML file as nested tables."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except (OSError, ValueError) as fault:
        raise UnreadableError(f"can't be read: {fault}") from fault


def notices_of(servers: object) -> dict:
    """The servers of an application, as the notice board would have told them at its start."""
    if not isinstance(servers, list):
        raise MalformedError("servers is no list")
    targets = []
    for i, server in enumerate(servers):
        if not isinstance(server, Mapping):
            raise MalformedError(f"servers.{i} is no table")
        for key in server:
            if key not in ENTRY_KEYS:
                raise UnknownKeyError(f"servers.{i}.{key} is unknown")
        targets.append({"pod_group": i, "az": "", "state": "active", "boot_ms": 0} | dict(server))
    return {"rev": 1, "notices": [{"rev": 1, "pool": {"rev": 1, "all": True, "targets": targets}}]}


def applications_of(told: Mapping) -> dict[str, dict]:
    """The full configuration of each application, checked; the shared part fills its gaps."""
    for key in told:
        if key not in (*SHARED, "application"):
            raise UnknownKeyError(f"{key} is unknown")
    listed = told.get("application")
    if not isinstance(listed, list) or not listed:
        raise MissingError("application is missing")
    done: dict[str, dict] = {}
    taken: dict[str, str] = {}
    for i, own in enumerate(listed):
        at = f"application.{i}"
        for key in own:
            if key not in OWN:
                raise UnknownKeyError(f"{at}.{key} is unknown")
        name = str(config.member(own, "name", str, at))
        if not name or name != Path(name).name or name in done:
            raise TakenError(f"{at}.name is empty, no file name or used twice: {name!r}")
        merged = {key: value for key, value in told.items() if key != "application"} | own
        full = {
            key: merged[key] for key in ("name", "listen", "board", "limits", "settings") if key in merged
        }
        full["seed"] = secrets.token_hex(8)
        try:
            full["known"] = notices_of(merged.get("servers", []))
            conf = config.config_of(full)
            around = parts.Around(tuple(kind.name for kind in conf.settings.classes))
            for part in parts.NAMES:
                around.settings[part] = parts.kind(part).settings(merged.get(part, {}), around)
        except MalformedError as fault:
            raise fault.within(f"{at} ({name}): ") from fault
        held = [("listen", conf.listen)]
        for part, told_of in around.settings.items():
            held += parts.kind(part).taken(told_of) if told_of is not None else ()
        for key, where in held:
            if where in taken:
                shown = "{}:{}".format(*where) if isinstance(where, tuple) else where
                raise TakenError(f"{at}.{key} is taken by {taken[where]}: {shown}")
            taken[where] = name
        done[name] = {"config": full} | {part: merged.get(part) for part in parts.NAMES}
    return done


def toml_of(table: Mapping, path: str = "") -> str:
    """A table as TOML; JSON's strings, numbers, booleans and lists of them are TOML's as well."""
    plain, below = [], []
    for key, value in table.items():
        name = f"{path}{key}"
        if isinstance(value, Mapping):
            below.append(f"[{name}]\n{toml_of(value, f'{name}.')}")
        elif isinstance(value, list) and value and all(isinstance(one, Mapping) for one in value):
            below += [f"[[{name}]]\n{toml_of(one, f'{name}.')}" for one in value]
        else:
            plain.append(f"{key} = {json.dumps(value)}\n")
    return "".join(plain + below)


def write(source: str, folder: str) -> list[Path]:
    """Write the files of all applications, after all have been checked; tells which."""
    written = []
    for name, own in applications_of(read_toml(source)).items():
        place = Path(folder) / name
        place.mkdir(parents=True, exist_ok=True)
        files = {"config.json": json.dumps(own["config"], indent=1) + "\n"}
        files |= {f"{kind}.toml": toml_of(own[kind]) for kind in parts.NAMES if own[kind]}
        for file, text in files.items():
            draft = place / f".{file}.new"
            draft.write_text(text, encoding="utf-8")
            os.replace(draft, place / file)  # whole or not at all
            written.append(place / file)
    return written


def check(path: str) -> None:
    """Check one file, of the kind that its name tells."""
    name = Path(path).name
    if name.endswith(".json"):
        config.config_of(config.read_json(path, "file"))
    elif name.endswith(".toml") and name[:-5] in parts.NAMES:
        around = parts.Around(settings=dict.fromkeys(parts.NAMES, True))  # what else is on is not known here
        parts.kind(name[:-5]).settings(read_toml(path), around)
    else:
        applications_of(read_toml(path))


def main(arguments: list[str] | None = None) -> int:
    """0 when all is well, 2 when a file makes no sense."""
    parser = argparse.ArgumentParser(prog="leadslip.configure", description="Write and check configurations.")
    verbs = parser.add_subparsers(dest="verb", required=True)
    writing = verbs.add_parser("write", help="write the files of each application")
    writing.add_argument("source")
    writing.add_argument("folder")
    checking = verbs.add_parser("check", help="check files: config.json, enum.toml, otlp.toml, applications")
    checking.add_argument("files", nargs="+")
    told = parser.parse_args(arguments)
    wrong = 0
    for path in [told.source] if told.verb == "write" else told.files:
        try:
            if told.verb == "write":
                for file in write(path, told.folder):
                    print(f"wrote {file}")
            else:
                check(path)
                print(f"{path}: fine")
        except OperatorError as fault:
            print(f"{path}: {fault.line()}", file=sys.stderr)
            wrong = 2
        except OSError as fault:
            print(f"{path}: {UnwritableError(str(fault)).line()}", file=sys.stderr)
            wrong = 2
    return wrong


if __name__ == "__main__":
    sys.exit(main())
