"""Rows that other builds or writers may leave: refused with ValueError, or usable."""

import msgspec
from graph_builders import make_record, make_step
from hypothesis import given, settings
from hypothesis import strategies as st

from samphiredeal.entry.graphs import work
from samphiredeal.model.graph import JobRecord
from samphiredeal.policy.graphs import records
from samphiredeal.policy.graphs.records import PlaceRecord, UnitRecord

PLACES = (PlaceRecord(0, "w0", "i-w0/1"), PlaceRecord(1, "w1", "i-w1/1"))
UNITS = {
    "0.0": UnitRecord(2, False, 1, "c1", PLACES, failed_run=1, failed_on=("w2",)),
    "0.1.0": UnitRecord(1, True),
}
JOB = make_record("a", [make_step(3, 2, gang=True), make_step(after=(0,))])
SOUND = [
    JOB,
    records.Progress("running", True, "", (3, 1), UNITS, 5, True),
    records.UnitRows(UNITS),
    records.SpeedRecord(10, 20),
    work.EpochRecord(3, "e1", "n"),
    work.HeartbeatRecord(3, 4, True, 500),
    work.WorkerRecord("10.0.0.1:7000", "a"),
    work.PlaceRecord("10.0.0.1:7000"),
    work.EvictionRecord(3, 1, 500),
    work.EntryRecord("10.0.0.1:7000"),
]
# Names of units that the job does not have, or that no build has written.
UNIT_NAMES = ["9.0", "0.0/later", "x", "x.0", "", "-1.0", "0", "0.9", "0.0.7", "²"]
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda items: (
        st.lists(items, max_size=3) | st.dictionaries(st.text(), items, max_size=3)
    ),
    max_leaves=5,
)


@st.composite
def changed_rows(draw):
    """Return the type of a row and bytes of it that another build may have written."""
    record = draw(st.sampled_from(SOUND))
    row = msgspec.json.decode(records.encode(record))
    for _ in range(draw(st.integers(0, 2))):
        row = _changed(draw, row)
    data = msgspec.json.encode(row)
    if draw(st.integers(0, 7)) == 0:
        start, end = sorted(draw(st.integers(0, len(data))) for _ in range(2))
        data = draw(st.sampled_from([data[:end], data + data[start:], data[start:]]))
    return type(record), data


def _changed(draw, node):
    """Return a document with one change in it: a value more, less, twice or other."""
    if not isinstance(node, list | dict) or not node:
        return draw(st.integers(0, 9) | VALUES)
    if isinstance(node, dict):
        key = draw(st.sampled_from(sorted(node)))
        if draw(st.booleans()):
            return {**node, key: _changed(draw, node[key])}
        other = draw(st.sampled_from(UNIT_NAMES) | st.text(max_size=3))
        return {**node, other: node[key]}
    index = draw(st.integers(0, len(node) - 1))
    how = draw(st.sampled_from(["change", "change", "drop", "repeat", "add"]))
    if how == "add":
        return [*node, draw(VALUES)]
    copies = {"change": [_changed(draw, node[index])], "drop": [], "repeat": None}[how]
    if copies is None:
        copies = [node[index]] * 2
    return [*node[:index], *copies, *node[index + 1 :]]


# Guards against one row that stops a scheduler, as it raises another error than the
# refusal, which only that row's reader handles.
@settings(max_examples=2000, deadline=None, derandomize=True)
@given(changed_rows())
def test_changed_row_is_refused_or_usable(changed):
    kind, data = changed
    try:
        record = records.decode(data, kind)
    except ValueError:
        return
    assert records.decode(records.encode(record), kind) == record
    if kind is records.Progress:
        job, placements = records.restore(JOB, record, 0.0)
        assert {unit.occurrence for unit in job.units.values()} <= {0}
        assert all(p.unit.placements[p.index] is p for p in placements)
    elif kind is records.UnitRows:
        head = records.Progress("running", True, units={}, is_split=True)
        records.restore(JOB, records.join(head, [record]), 0.0)
    elif kind is JobRecord:
        records.restore(record, records.Progress(), 0.0)
