"""Isolation of the platform's API in the `platform` package.

Guards against names of the platform's API outside `platform`, and against logic
there that depends on packages other than `model`.
"""

import pathlib
import re

from test_layout import PACKAGES, imported_packages

# Calls, fields and headers of the platform's API whose names this project does not
# use otherwise.
NAMES = re.compile(
    r"rows-(tx|get|feed|parts)|blob-(put|get)|run-(start|stop)|api/hold|fencing-token"
    r"|last-seen|tightly-coupled|data-rack|may-miss|anti-affinity"
    r"|speculative-execution|X-Expected-Instance|X-Deadline-Remaining"
    r"|Instances\.(Heartbeat|Deregister)|SAMPHIREDEAL_CONFIG|mem-mb|estimated-ms"
    r"|path-prefix|api-keys|listen-addresses|internal-ports|remaining-ms|op/config",
)


def sources(*skipped):
    for path in PACKAGES.rglob("src/**/*.py"):
        if not set(skipped) & set(path.parts):
            yield path


def test_api_names_stay_in_the_adapter():
    found = []
    for path in sources("platform", "standins"):
        for match in NAMES.finditer(path.read_text(encoding="utf-8")):
            found.append(f"{path.name}: {match.group()}")
    assert not found


def test_adapter_imports_only_the_model():
    folder = pathlib.Path(PACKAGES) / "platform" / "src"
    names = {name for path in folder.rglob("*.py") for name in imported_packages(path)}
    assert names <= {"model", "platform"}
