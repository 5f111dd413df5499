"""Errors reported to operators: each type has a code and an action, and the program raises no error of another type."""

import ast
import json
from pathlib import Path

import pytest

from leadslip.cli import errors as errors_page
from leadslip.cli import main
from leadslip.errors import all_errors
from leadslip.operators import problem
from tests.standins import ROOT

# Caught within the program, or raised for a programming error: never reported to an operator.
INTERNAL = {
    "MessageError",  # a malformed message of a peer, refused and counted
    "WireError",  # an invalid datagram of a member, refused and counted
    "ViolationError",  # the model check has found a defect in the program
    "TypeError",  # programming error: an action for which the simulator's protocol has no line
    "CannotListenError",  # converted to ListenError in __main__, or another port is tried
    "CorruptError",  # converted to StoreError where it is raised
    "ValueError",  # two filters of one name (filters.py); a collector's error status (net/otlp.py), counted
}


@pytest.fixture(scope="module")
def types():
    errors_page.load()
    return {error_type.__name__: error_type for error_type in all_errors()}


def raised():
    """The location and the type's name of each `raise` in the program that creates an error."""
    for path in sorted(Path(ROOT, "leadslip").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Raise) and isinstance(node.exc, ast.Call):
                constructor = node.exc.func
                name = (
                    constructor.attr
                    if isinstance(constructor, ast.Attribute)
                    else getattr(constructor, "id", "")
                )
                yield f"{path.relative_to(ROOT)}:{node.lineno}", name


def test_every_raise_is_of_an_operator_error_or_an_internal_type(types):
    copies = {"with_prefix"}  # MalformedError.with_prefix returns an error of the same type
    bypassing = [item for item in raised() if item[1] not in types.keys() | INTERNAL | copies]
    assert not bypassing
    assert len([item for item in raised() if item[1] in types]) > 100


def test_every_internal_type_is_raised_somewhere():
    assert {name for _, name in raised()} >= INTERNAL


def test_codes_are_unique_and_actions_are_sentences(types):
    codes = [error_type.code for error_type in types.values()]
    assert len(set(codes)) == len(codes) > 20
    for error_type in types.values():
        assert {"code", "action"} <= error_type.__dict__.keys() and error_type.__doc__, error_type
        assert error_type.action.endswith(".") and len(error_type.action.split()) >= 3, error_type
        assert 400 <= error_type.status < 600 and "|" not in error_type.action + error_type.title()


def test_the_page_of_errors_is_up_to_date():
    assert Path(ROOT, "docs/operators/errors.md").read_text() == errors_page.page()


def test_an_error_is_the_same_in_log_http_answer_and_command_output(types, capsys, tmp_path):
    error = types["MissingError"]("fleet.listen is missing")
    assert error.fields() == {
        "fault": "fleet.listen is missing",
        "code": "config.missing",
        "action": "Add the key named.",
    }
    answer = problem(error)
    body = json.loads(answer.body)
    assert answer.content_type == b"application/problem+json" and answer.status == body["status"] == 400
    assert body["type"].endswith(body["code"]) and body["detail"] == str(error) and body["action"]
    with pytest.raises(SystemExit) as system_exit:
        main(["drill", "run", str(tmp_path / "none.toml")])
    stderr = capsys.readouterr().err
    assert system_exit.value.code == 2 and stderr.startswith("leadslip: ")
    assert "(drill.scenario): " in stderr and types["ScenarioError"].action in stderr
