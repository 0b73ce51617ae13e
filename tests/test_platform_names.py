"""The platform's names stay in the adapter, and the adapter decides nothing.

Proves: no name of the platform's pages stands outside `platform`, and
`platform` imports nothing but the model.
"""

import pathlib
import re

from test_layout import PACKAGES, imported

# Names that the pages give to calls, fields and headers, and that are no words
# of ours.
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


def test_names_of_the_pages_stay_in_the_adapter():
    found = []
    for path in sources("platform", "standins"):
        for match in NAMES.finditer(path.read_text(encoding="utf-8")):
            found.append(f"{path.name}: {match.group()}")
    assert not found


def test_adapter_imports_only_the_model():
    folder = pathlib.Path(PACKAGES) / "platform" / "src"
    names = {name for path in folder.rglob("*.py") for name in imported(path)}
    assert names <= {"model", "platform"}
