"""Completeness of a new configuration file: it must have every key of the running one, and each class all of its own.

Otherwise a file that lost keys in transfer would silently replace running settings by their defaults.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping

# Keys that a file may lack whatever the running one has, as the platform's pages call them optional; `*` stands for the
# place in a list. What a file lacks has its default.
OPTIONAL_KEYS = frozenset({"settings.services.*.aim_stretch", "settings.costs.fleet"})
LIST_INDEX = re.compile(r"(?<=\.)\d+(?=\.)")


def find_missing(running: object, revision: object, path: str = "") -> str | None:
    """Returns the path of the first key that a running document has and its revision lacks, or None.

    A key of OPTIONAL_KEYS may be absent. Lists of objects may change their length. An object of such a list must have
    every key of the running object with its name; one with a new name must have the keys that all running objects of
    the list have.
    """
    if isinstance(running, Mapping):
        children = ((f"{path}.{key}" if path else key, key, value) for key, value in sorted(running.items()))
        return _first(
            find_missing(value, _child(revision, key), child_path)
            for child_path, key, value in children
            if value is not None and not _is_optional(child_path)
        )
    if revision is None:
        return path
    if _is_object_list(running) and isinstance(revision, list):
        named = {item["name"]: item for item in running if isinstance(item.get("name"), str)}
        common = _common_part(running)
        return _first(
            find_missing(named.get(_child(item, "name"), common), item, f"{path}.{i}")
            for i, item in enumerate(revision)
        )
    return None


def _is_optional(path: str) -> bool:
    return LIST_INDEX.sub("*", path) in OPTIONAL_KEYS


def _first(paths: Iterable[str | None]) -> str | None:
    return next((path for path in paths if path is not None), None)


def _child(document: object, key: str) -> object:
    return document.get(key) if isinstance(document, Mapping) else None


def _is_object_list(value: object) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(item, Mapping) for item in value)


def _common_part(objects: list[Mapping]) -> dict:
    """Returns the keys that all objects have, with what is common to their values."""
    common = {}
    for key in objects[0]:
        values = [item.get(key) for item in objects]
        if any(value is None for value in values):
            continue
        if all(isinstance(value, Mapping) for value in values):
            common[key] = _common_part(values)
        elif all(isinstance(value, list) for value in values):
            common[key] = [item for value in values for item in value]
        else:
            common[key] = values[0]
    return common
