"""Generates the reference page of operator errors: python -m leadslip.cli.errors > docs/operators/errors.md"""

from __future__ import annotations

import importlib
import pkgutil

import leadslip
from leadslip.errors import all_errors

HEAD = """# Errors and what to do

Every error reported to operators has a code that never changes, a message that says what happened, and an action that
an operator can take. The log records them as `fault`, `code` and `action`; the operators' address answers with problem
details in JSON (RFC 9457, `application/problem+json`: `type`, `title`, `status`, `detail`, and also `code` and
`action`); the command line prints `leadslip: WHAT HAPPENED (CODE): WHAT TO DO` and exits with code 2. This page is
generated from the program (`python -m leadslip.cli.errors`), and a test checks that it is up to date.

| code | meaning | action | status |
| --- | --- | --- | --- |
"""
SKIPPED_MODULES = ("__main__", "leadslip.cli.errors")


def load() -> None:
    """Import every module, so that every subclass of OperatorError is registered."""
    for module in pkgutil.walk_packages(leadslip.__path__, "leadslip."):
        if not module.name.endswith(SKIPPED_MODULES):
            importlib.import_module(module.name)
    importlib.import_module("leadslip.__main__")


def page() -> str:
    """Return the page as Markdown, sorted by error code."""
    load()
    rows = sorted({(error.code, error.title(), error.action, error.status) for error in all_errors()})
    return HEAD + "".join(
        f"| `{code}` | {title} | {action} | {status} |\n" for code, title, action, status in rows
    )


if __name__ == "__main__":
    print(page(), end="")
