"""The configuration tool: writes and checks the configuration files of sidecar proxies.

    python -m leadslip.configure write APPLICATIONS.toml FOLDER
    python -m leadslip.configure check FILE ...

An applications file holds the settings that the sidecars share and an [[application]] table for each; `write`
creates a folder for each application, with a config.json and a TOML file for every optional part of the proxy
(leadslip/parts) that is configured. `check` validates any number of such files, and of applications files.
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
    """A configuration file can't be written."""

    code = "config.unwritable"
    action = "Check that the folder is writable and has free space; files already written are kept."


# Permitted keys: shared by all applications, of an [[application]] table, and of a [[servers]] table.
SHARED_KEYS = ("board", "settings", "limits", "servers", *parts.NAMES)
APPLICATION_KEYS = ("name", "listen", *SHARED_KEYS)
SERVER_KEYS = ("uid", "endpoint", "az", "pod_group")


def read_toml(path: str) -> dict:
    """Reads a TOML file as nested tables."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except (OSError, ValueError) as error:
        raise UnreadableError(f"can't be read: {error}") from error


def known_state_of(servers: object) -> dict:
    """The value of `known` in config.json: the servers as a snapshot from the notice board, revision 1."""
    if not isinstance(servers, list):
        raise MalformedError("servers must be a list of tables")
    targets = []
    for i, server in enumerate(servers):
        if not isinstance(server, Mapping):
            raise MalformedError(f"servers.{i} must be a table")
        for key in server:
            if key not in SERVER_KEYS:
                raise UnknownKeyError(f"servers.{i}.{key} is unknown")
        targets.append({"pod_group": i, "az": "", "state": "active", "boot_ms": 0} | dict(server))
    return {"rev": 1, "notices": [{"rev": 1, "pool": {"rev": 1, "all": True, "targets": targets}}]}


def applications_of(document: Mapping) -> dict[str, dict]:
    """The complete, validated configuration of each application, by its name; shared keys fill in what it lacks.

    Each consists of `config`, the content of config.json, and the table of each part, None if it has none.
    """
    for key in document:
        if key not in (*SHARED_KEYS, "application"):
            raise UnknownKeyError(f"{key} is unknown")
    listed = document.get("application")
    if not isinstance(listed, list) or not listed:
        raise MissingError("application is missing: at least one [[application]] table is required")
    applications: dict[str, dict] = {}
    owners: dict[str, str] = {}  # address or path -> name of the application that uses it
    for i, table in enumerate(listed):
        path = f"application.{i}"
        for key in table:
            if key not in APPLICATION_KEYS:
                raise UnknownKeyError(f"{path}.{key} is unknown")
        name = str(config.required_value(table, "name", str, path))
        if not name or name != Path(name).name or name in applications:
            raise TakenError(f"{path}.name must be a folder name that no other application has: {name!r}")
        merged = {key: value for key, value in document.items() if key != "application"} | table
        config_table = {
            key: merged[key] for key in ("name", "listen", "board", "limits", "settings") if key in merged
        }
        config_table["seed"] = secrets.token_hex(8)
        try:
            config_table["known"] = known_state_of(merged.get("servers", []))
            conf = config.parse_config(config_table)
            context = parts.SettingsContext(tuple(call_class.name for call_class in conf.settings.classes))
            for part in parts.NAMES:
                context.settings[part] = parts.settings_class(part).parse(merged.get(part, {}), context)
        except MalformedError as error:
            raise error.with_prefix(f"{path} ({name}): ") from error
        exclusive_values = [("listen", conf.listen)]
        for part, part_settings in context.settings.items():
            exclusive_values += (
                parts.settings_class(part).exclusive_values(part_settings)
                if part_settings is not None
                else ()
            )
        for key, value in exclusive_values:
            if value in owners:
                value_text = "{}:{}".format(*value) if isinstance(value, tuple) else value
                raise TakenError(f"{path}.{key} is taken by {owners[value]}: {value_text}")
            owners[value] = name
        applications[name] = {"config": config_table} | {part: merged.get(part) for part in parts.NAMES}
    return applications


def toml_of(table: Mapping, path: str = "") -> str:
    """Formats a table as TOML; `path` is the prefix of the names of its subtables.

    Values are written as JSON, which is valid TOML for numbers, booleans, strings without characters beyond U+FFFF
    (JSON escapes these as surrogate pairs) and lists of them. Keys are written without quotes.
    """
    lines, subtables = [], []
    for key, value in table.items():
        name = f"{path}{key}"
        if isinstance(value, Mapping):
            subtables.append(f"[{name}]\n{toml_of(value, f'{name}.')}")
        elif isinstance(value, list) and value and all(isinstance(item, Mapping) for item in value):
            subtables += [f"[[{name}]]\n{toml_of(item, f'{name}.')}" for item in value]
        else:
            lines.append(f"{key} = {json.dumps(value)}\n")
    return "".join(lines + subtables)


def write(source: str, folder: str) -> list[Path]:
    """Writes the files of all applications, or none if any is invalid; returns the paths.

    If a file can't be written, those already written are kept. Files of parts that are no longer configured are not
    removed.
    """
    written = []
    for name, application in applications_of(read_toml(source)).items():
        application_folder = Path(folder) / name
        application_folder.mkdir(parents=True, exist_ok=True)
        files = {"config.json": json.dumps(application["config"], indent=1) + "\n"}
        files |= {f"{part}.toml": toml_of(application[part]) for part in parts.NAMES if application[part]}
        for file, text in files.items():
            temporary = application_folder / f".{file}.new"
            temporary.write_text(text, encoding="utf-8")
            os.replace(temporary, application_folder / file)  # atomic
            written.append(application_folder / file)
    return written


def check(path: str) -> None:
    """Validates one file, whose kind follows from its name. Raises MalformedError."""
    name = Path(path).name
    if name.endswith(".json"):
        config.parse_config(config.read_json(path, "file"))
    elif name.endswith(".toml") and name[:-5] in parts.NAMES:
        # One file does not tell which other parts are enabled: all that this part may need are assumed to be.
        context = parts.SettingsContext(settings=dict.fromkeys(parts.NAMES, True))
        parts.settings_class(name[:-5]).parse(read_toml(path), context)
    else:
        applications_of(read_toml(path))


def main(arguments: list[str] | None = None) -> int:
    """Runs the tool; returns 0, or 2 if a file is invalid or can't be written."""
    parser = argparse.ArgumentParser(prog="leadslip.configure", description="Write and check configurations.")
    commands = parser.add_subparsers(dest="verb", required=True)
    write_parser = commands.add_parser("write", help="write the files of each application")
    write_parser.add_argument("source")
    write_parser.add_argument("folder")
    check_parser = commands.add_parser(
        "check", help="check files: config.json, NAME.toml of a part, or an applications file"
    )
    check_parser.add_argument("files", nargs="+")
    options = parser.parse_args(arguments)
    exit_code = 0
    for path in [options.source] if options.verb == "write" else options.files:
        try:
            if options.verb == "write":
                for file in write(path, options.folder):
                    print(f"wrote {file}")
            else:
                check(path)
                print(f"{path}: valid")
        except OperatorError as error:
            print(f"{path}: {error.line()}", file=sys.stderr)
            exit_code = 2
        except OSError as error:
            print(f"{path}: {UnwritableError(str(error)).line()}", file=sys.stderr)
            exit_code = 2
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
