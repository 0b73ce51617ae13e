"""Rows of other builds: what a later one has added is left out, all else is refused."""

import msgspec
import pytest
from graph_builders import make_record, make_step

from samphiredeal.model.graph import AdviceTerms, JobRecord
from samphiredeal.policy.graphs import records
from samphiredeal.policy.graphs.records import (
    PlaceRecord,
    Progress,
    SpeedRecord,
    UnitRecord,
    UnitRows,
)

UNITS = {
    "0.0": UnitRecord(2, False, 1, "c1", (PlaceRecord(0, "w0", "i-w0/1"),)),
    "0.1.0": UnitRecord(1, True),
}
CHARGED = {"0.0": UnitRecord(2, False, 1, "c1", failed_run=1, failed_on=("w2",))}
RECORDS = [
    make_record("a", [make_step(3, 2, gang=True), make_step(after=(0,))]),
    make_record("a", advice=AdviceTerms(0.5, 0.1, 10.0)),
    Progress("running", True, "", (0, 1), UNITS),
    Progress("running", True, "", (), CHARGED, 5, True),
    UnitRows({**UNITS, **CHARGED}),
    SpeedRecord(10, 20),
]


def as_later_build(value):
    """Return a record as a build writes it that has added a field to every tuple."""
    if hasattr(value, "_fields"):
        return [*map(as_later_build, value), {"added": [1, "later"]}]
    if isinstance(value, tuple):
        return [as_later_build(item) for item in value]
    if isinstance(value, dict):
        return {key: as_later_build(item) for key, item in value.items()}
    return value


# Guards against a job that counts as not begun, as its rows have a field more than this
# build knows.
@pytest.mark.parametrize("record", RECORDS, ids=lambda record: type(record).__name__)
def test_added_fields_are_left_out(record):
    row = msgspec.json.encode(as_later_build(record))
    assert records.decode(row, type(record)) == record


@pytest.mark.parametrize(
    ("row", "kind"),
    [
        (b'["running",true,"",[],{"0.0":["2"]}]', Progress),
        (b'["running",true,"",[],{"0.0":[]}]', Progress),
        (b'["running",true,"",[],[]]', Progress),
        (b'[{"0.0":[1,false,-1]}]', UnitRows),
        (b'[{"0.0":{"run":1}}]', UnitRows),
        (b'{"units":{}}', UnitRows),
        (b'["a","q","s","acct",1,2]', JobRecord),
        (b"[1,", Progress),
        (b"", Progress),
    ],
)
def test_row_of_another_form_is_refused(row, kind):
    with pytest.raises(ValueError, match=kind.__name__):
        records.decode(row, kind)
