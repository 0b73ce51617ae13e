"""Division of a job's progress into rows of bounded size.

Progress grows with the tasks of a job and with its occurrences. As long as it fits, it
is one row, which earlier builds can read. Beyond that the head row keeps the job's own
state, and each range of `TASKS_PER_ROW` tasks of a step has a row of its own.
"""

from typing import NamedTuple

from samphiredeal.policy.graphs import records

# A unit takes about 90 bytes, and 700 if all its texts have their greatest length.
TASKS_PER_ROW = 32


class EncodedRow(NamedTuple):
    """A row's bytes, empty if it is not needed, and the placements that it holds."""

    data: bytes
    placements: tuple


def encode_whole(job):
    """Return the whole progress of a job as one `EncodedRow`."""
    placements = [p for unit in job.units.values() for p in unit.placements.values()]
    data = records.encode(records.progress_of(job))
    return EncodedRow(data, tuple(placements))


def encode_head(job, kept_units=None):
    """Return the head row of a job whose units are in rows of their own.

    `kept_units` are the records of units that have no such rows yet, as last stored.
    """
    progress = records.progress_of(job, with_units=False)
    return EncodedRow(records.encode(progress._replace(units=kept_units or {})), ())


def decode_units(data):
    """Return the records of the units in the row of a whole progress."""
    return records.decode(data, records.Progress).units


def row_names(units):
    """Return the names of the rows that hold parts of the units.

    >>> row_names([])
    set()
    """
    return {
        f"{unit.occurrence}.{unit.step}.{index // TASKS_PER_ROW}"
        for unit in units
        for index in unit.indexes
    }


def encode_row(job, name):
    """Return the `EncodedRow` with this name; empty if no unit in it needs a record."""
    occurrence, step, number = map(int, name.split("."))
    indexes = range(number * TASKS_PER_ROW, (number + 1) * TASKS_PER_ROW)
    rows, held = {}, []
    for unit in job.units_in(occurrence, step, indexes):
        placements = [p for p in unit.placements.values() if p.index in indexes]
        record = records.unit_record(unit, placements)
        if record is not None:
            rows[unit.key] = record
            held += placements
    data = records.encode(records.UnitRows(rows)) if rows else b""
    return EncodedRow(data, tuple(held))
