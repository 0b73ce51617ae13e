"""Import rules between the packages.

Guards against a product package that imports the stand-ins, and against a package
that imports one of a higher layer.
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


def imported_packages(path):
    """Yield the names of this project's packages that a file imports."""
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


def test_packages_import_only_allowed_ones():
    violations = []
    for package, allowed in ALLOWED.items():
        for path in (PACKAGES / package / "src").rglob("*.py"):
            for name in set(imported_packages(path)) - allowed - {package}:
                violations.append(f"{path.name} of {package} imports {name}")
    assert not violations
