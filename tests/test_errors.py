"""Errors that a person can meet: a type, a code and an action for each, and none that bypasses them."""

import ast
import json
from pathlib import Path

import pytest

from leadslip.cli import errors as page
from leadslip.cli import main
from leadslip.errors import all_errors
from leadslip.operators import problem
from tests.standins import ROOT

# Raised within the program and caught there, or against whoever writes it; no person is told of one.
WITHIN = {
    "MessageError",  # a peer's message is refused and counted
    "WireError",  # a member's datagram is refused and counted
    "BrokenError",  # the model check has found a fault of the program
    "TypeError",  # an action that has no line in the simulator: never in a program that starts
    "CannotListenError",  # becomes ListenError in __main__, or another port is tried
    "CorruptError",  # becomes StoreError where it is raised
    "ValueError",  # filters of one name (filters.py); a collector's answer (net/otlp.py), counted
}


@pytest.fixture(scope="module")
def types():
    page.load()
    return {kind.__name__: kind for kind in all_errors()}


def raised():
    """Each raise of a new error in the program: where, and the type's name."""
    for path in sorted(Path(ROOT, "leadslip").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Raise) and isinstance(node.exc, ast.Call):
                called = node.exc.func
                name = called.attr if isinstance(called, ast.Attribute) else getattr(called, "id", "")
                yield f"{path.relative_to(ROOT)}:{node.lineno}", name


def test_no_raise_bypasses_the_types(types):
    again = {"within"}  # of MalformedError: the same type, with the path before it
    wrong = [told for told in raised() if told[1] not in types.keys() | WITHIN | again]
    assert not wrong
    assert len([told for told in raised() if told[1] in types]) > 100


def test_what_is_raised_within_is_raised_somewhere():
    assert {name for _, name in raised()} >= WITHIN


def test_each_code_is_one_types_and_each_action_says_something(types):
    codes = [kind.code for kind in types.values()]
    assert len(set(codes)) == len(codes) > 20
    for kind in types.values():
        assert {"code", "action"} <= kind.__dict__.keys() and kind.__doc__, kind
        assert kind.action.endswith(".") and len(kind.action.split()) >= 3, kind
        assert 400 <= kind.status < 600 and "|" not in kind.action + kind.title()


def test_the_page_is_what_the_program_tells():
    assert Path(ROOT, "docs/operators/errors.md").read_text() == page.page()


def test_an_error_reads_alike_in_log_address_and_command(types, capsys, tmp_path):
    fault = types["MissingError"]("fleet.listen is missing")
    assert fault.fields() == {
        "fault": "fleet.listen is missing",
        "code": "config.missing",
        "action": "Add the key named.",
    }
    answer = problem(fault)
    told = json.loads(answer.body)
    assert answer.kind == b"application/problem+json" and answer.status == told["status"] == 400
    assert told["type"].endswith(told["code"]) and told["detail"] == str(fault) and told["action"]
    with pytest.raises(SystemExit) as ended:
        main(["drill", "run", str(tmp_path / "none.toml")])
    said = capsys.readouterr().err
    assert ended.value.code == 2 and said.startswith("leadslip: ")
    assert "(drill.scenario): " in said and types["ScenarioError"].action in said
