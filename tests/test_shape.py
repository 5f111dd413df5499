"""Imports run downward, also those for types and those made late: no module reads one that reads it."""

import ast
from pathlib import Path

from tests.standins import ROOT

TWISTED_BY = ("leadslip.net", "leadslip.__main__", "leadslip.cli")  # who may import Twisted


def imports():
    """Each module of the program -> what of the program, and of Twisted, it imports anywhere in its text."""
    paths = {
        ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
        for path in Path(ROOT, "leadslip").rglob("*.py")
    }
    told = {}
    for module, path in paths.items():
        held = told[module] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                held |= {one.name for one in node.names}
            elif isinstance(node, ast.ImportFrom) and node.module:
                for one in node.names:
                    below = f"{node.module}.{one.name}"
                    held.add(below if below in paths else node.module)
        told[module] = {one for one in held if one in paths or one.startswith("twisted")} - {module}
    return told


def circles(told):
    """Groups of modules that reach one another (Tarjan)."""
    index, low, on, stack, found = {}, {}, set(), [], []

    def visit(one):
        index[one] = low[one] = len(index)
        stack.append(one)
        on.add(one)
        for other in sorted(told.get(one, ())):
            if other not in index:
                visit(other)
                low[one] = min(low[one], low[other])
            elif other in on:
                low[one] = min(low[one], index[other])
        if low[one] == index[one]:
            group = []
            while not group or group[-1] != one:
                group.append(stack.pop())
                on.discard(group[-1])
            if len(group) > 1:
                found.append(sorted(group))

    for one in sorted(told):
        if one not in index:
            visit(one)
    return found


def test_no_module_reads_one_that_reads_it():
    told = imports()
    assert len(told) > 70
    assert circles(told) == []


def test_a_circle_is_seen():
    assert circles({"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}) == [["a", "b", "c"]]


def test_twisted_is_imported_by_the_net_and_the_program_alone():
    wrong = [
        (module, one)
        for module, held in imports().items()
        for one in held
        if one.startswith("twisted") and not module.startswith(TWISTED_BY)
    ]
    assert not wrong
