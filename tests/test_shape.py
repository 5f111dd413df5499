"""The import graph has no cycles, counting imports for type checking and in functions; few modules import Twisted."""

import ast
from pathlib import Path

from tests.standins import ROOT

# Prefixes of the modules that may import Twisted.
TWISTED_IMPORTERS = ("leadslip.net", "leadslip.__main__", "leadslip.cli")


def imports():
    """Each module of the program -> the modules of the program and of Twisted that it imports, at any level."""
    paths = {
        ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
        for path in Path(ROOT, "leadslip").rglob("*.py")
    }
    graph = {}
    for module, path in paths.items():
        imported = graph[module] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                imported |= {alias.name for alias in node.names}
            elif isinstance(node, ast.ImportFrom) and node.module:
                for alias in node.names:
                    submodule = f"{node.module}.{alias.name}"
                    imported.add(submodule if submodule in paths else node.module)
        graph[module] = {name for name in imported if name in paths or name.startswith("twisted")} - {module}
    return graph


def cycles(graph):
    """The strongly connected components of more than one module (Tarjan)."""
    index, low, on_stack, stack, components = {}, {}, set(), [], []

    def visit(module):
        index[module] = low[module] = len(index)
        stack.append(module)
        on_stack.add(module)
        for other in sorted(graph.get(module, ())):
            if other not in index:
                visit(other)
                low[module] = min(low[module], low[other])
            elif other in on_stack:
                low[module] = min(low[module], index[other])
        if low[module] == index[module]:
            component = []
            while not component or component[-1] != module:
                component.append(stack.pop())
                on_stack.discard(component[-1])
            if len(component) > 1:
                components.append(sorted(component))

    for module in sorted(graph):
        if module not in index:
            visit(module)
    return components


def test_the_import_graph_has_no_cycles():
    graph = imports()
    assert len(graph) > 70  # else the search has missed modules
    assert cycles(graph) == []


def test_the_search_for_cycles_finds_one():
    assert cycles({"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}) == [["a", "b", "c"]]


def test_only_the_network_modules_and_programs_import_twisted():
    violations = [
        (module, name)
        for module, imported in imports().items()
        for name in imported
        if name.startswith("twisted") and not module.startswith(TWISTED_IMPORTERS)
    ]
    assert not violations
