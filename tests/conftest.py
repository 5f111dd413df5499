"""Pytest option for CI: does not run the tests listed in a file of known failures, and prints them instead."""

from __future__ import annotations

from pathlib import Path

import pytest

TEST_KEY = (
    "test:"  # begins the line of an entry that has the test's id, such as tests/test_core.py::test_name
)


def read_test_ids(path: Path) -> list[str]:
    """Returns the ids of the tests in a file of known failures; none if there is no such file."""
    if not path.exists():
        return []
    lines = (line.strip() for line in path.read_text().splitlines())
    return [line.removeprefix(TEST_KEY).strip() for line in lines if line.startswith(TEST_KEY)]


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-failures", metavar="FILE", help="file that lists the tests not to run")


def known_failures(config: pytest.Config) -> list[str]:
    """Returns the ids of the tests that the command line excludes."""
    path = config.getoption("--known-failures")
    return read_test_ids(Path(path)) if path else []


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for test_id in known_failures(config):
        terminalreporter.write_line(f"known failure, not run: {test_id}")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    excluded = known_failures(config)
    collected = {item.nodeid for item in items}
    if missing := [test_id for test_id in excluded if test_id not in collected]:
        raise pytest.UsageError(f"known failures that are no tests: {', '.join(missing)}")
    config.hook.pytest_deselected(items=[item for item in items if item.nodeid in excluded])
    items[:] = [item for item in items if item.nodeid not in excluded]
