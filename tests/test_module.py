"""Checks of the source of leadslip/controller.py (size, docstring, determinism), and of the README's example."""

import ast
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
CONTROLLER = ROOT / "leadslip" / "controller.py"


def test_controller_has_at_most_500_lines_of_at_most_110_characters():
    lines = CONTROLLER.read_text().splitlines()
    assert len([line for line in lines if line.strip()]) <= 500
    assert max(len(line) for line in lines) <= 110


def test_the_docstring_of_controller_names_the_interface_in_its_first_line():
    text = ast.get_docstring(ast.parse(CONTROLLER.read_text()))
    assert "leadslip/interface.py" in text.splitlines()[0]


def test_controller_imports_no_clock_and_has_one_random_generator_and_no_sets():
    # The same events and seed must give the same actions; the order of a set of strings varies between processes.
    text = CONTROLLER.read_text()
    assert re.findall(r"^import (\w+)", text, re.M) == ["random"]
    assert text.count("random.Random(") == 1
    assert not re.search(r"\bset\(|\{[^:{}]* for ", text)


def test_the_readme_example_runs():
    example = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    result = subprocess.run([sys.executable, "-c", example], cwd=ROOT, capture_output=True, text=True)
    assert result.returncode == 0, result.stderr
    assert "SetUp(call='c1'" in result.stdout
