"""Imports between the libraries point one way.

Proves: the product imports no stand-in, and no library imports one above it.
"""

import ast
import pathlib

PACKAGES = pathlib.Path(__file__).parent.parent / "packages"
ALLOWED = {
    "model": set(),
    "policy": {"model"},
    "wire": {"model"},
    "platform": {"model"},
    "agent": {"model", "wire", "platform"},
    "entry": {"model", "wire", "platform", "policy"},
    "cli": {"model", "wire", "platform", "policy", "entry", "agent"},
    "standins": {"model", "platform", "cli"},
}


def imported(path):
    """Yield the names of our libraries that a file imports."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        modules = []
        if isinstance(node, ast.Import):
            modules = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            modules = [f"{node.module}.{alias.name}" for alias in node.names]
        for module in modules:
            parts = module.split(".")
            if parts[0] == "samphiredeal" and len(parts) > 1:
                yield parts[1]


def test_imports_point_one_way():
    wrong = []
    for library, allowed in ALLOWED.items():
        for path in (PACKAGES / library / "src").rglob("*.py"):
            for name in set(imported(path)) - allowed - {library}:
                wrong.append(f"{path.name} of {library} imports {name}")
    assert not wrong
