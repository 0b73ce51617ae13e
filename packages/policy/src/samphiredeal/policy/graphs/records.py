"""Stored documents of jobs, from which a new scheduler takes over.

`JobRecord` is written once by the entry that accepts a job. `Progress` is rewritten
by the scheduler before a start is sent and after a completion is received.
"""

from typing import Annotated, NamedTuple

import msgspec

from samphiredeal.model import untrusted
from samphiredeal.model.compact import without_trailing_defaults, without_unknown_fields
from samphiredeal.model.graph import MAX_REPEATS, JobRecord, validation_error
from samphiredeal.policy.graphs.speeds import Belief
from samphiredeal.policy.graphs.state import (
    FINAL_STATES,
    LISTED,
    QUEUED,
    JobState,
    Placement,
)

# Up to this many finished occurrences are listed one by one, as earlier builds read it.
_MAX_LISTED_OCCURRENCES = 1000
# Digits of the largest number of an occurrence.
_MAX_DIGITS = len(str(MAX_REPEATS))
# The fields of a `UnitRecord` that earlier builds read. They refuse a row with more.
_UNIT_FIELDS = 5
# Ends the key of a gang's charge among the units of a row. Earlier builds pass over a
# key that names no unit of the job.
_CHARGE_SUFFIX = "/charged"
# A number that a row may hold; larger ones do not fit into messages.
Count = Annotated[int, msgspec.Meta(ge=0, le=untrusted.MAX_INTEGER)]


class PlaceRecord(NamedTuple):
    """Where a member of a unit may run."""

    index: int
    worker: str
    life: str


class UnitRecord(NamedTuple):
    """State of a unit that has been started or is done.

    Of a gang, `failed_run` is the last run that is counted in `failures`, and
    `failed_on` are the workers that it avoids since. They are stored as a record of
    their own in the same row, see `encode`.
    """

    run: Count
    done: bool = False
    failures: Count = 0
    checkpoint: str = ""
    places: tuple[PlaceRecord, ...] = ()
    failed_run: Count = 0
    failed_on: tuple[str, ...] = ()


class Progress(NamedTuple):
    """Progress of a job.

    All occurrences below `finished_before` are finished, and those in
    `finished_occurrences`. With `is_split`, the units are in `UnitRows`.
    """

    state: str = QUEUED
    begun: bool = False
    reason: str = ""
    finished_occurrences: tuple[int, ...] = ()
    units: dict[str, UnitRecord] = {}
    finished_before: Count = 0
    is_split: bool = False


class UnitRows(NamedTuple):
    """Some units of a job whose progress is split into several rows."""

    units: dict[str, UnitRecord] = {}


class SpeedRecord(NamedTuple):
    """What is believed of a worker's speed; see `speeds.Belief`.

    `log_speed_milli` is the logarithm in thousandths, `precision` is rounded.
    """

    log_speed_milli: Annotated[int, msgspec.Meta(ge=-3000, le=3000)] = 0
    precision: Count = 0

    @property
    def belief(self):
        """The `Belief` that was stored."""
        return Belief(self.log_speed_milli / 1000, max(1.0, float(self.precision)))


def speed_record(belief):
    """Return the `SpeedRecord` of a `Belief`.

    >>> speed_record(Belief(0.1234, 80.4))
    SpeedRecord(log_speed_milli=123, precision=80)
    """
    milli = round(min(3.0, max(-3.0, belief.log_speed)) * 1000)
    return SpeedRecord(milli, round(belief.precision))


def encode(record):
    """Return a record encoded as JSON bytes.

    The run of a gang that was charged last, and the workers on which it has failed, are
    one more record among the units of the same row, so that every row which a build has
    written can be read by the earlier ones.

    >>> unit = UnitRecord(3, failures=2, failed_run=2, failed_on=("w1",))
    >>> encode(UnitRows({"0.0": unit}))
    b'[{"0.0":[3,false,2,"",[]],"0.0/charged":[2,false,0,"",[[0,"w1",""]]]}]'
    """
    if isinstance(record, Progress | UnitRows):
        record = record._replace(units=_encodable_units(record.units))
    return msgspec.json.encode(without_trailing_defaults(record))


def _encodable_units(units):
    encodable = {}
    for key, unit in units.items():
        encodable[key] = unit[:_UNIT_FIELDS]
        if unit.failed_run:
            workers = enumerate(unit.failed_on)
            places = tuple(PlaceRecord(number, name, "") for number, name in workers)
            charge = UnitRecord(unit.failed_run, places=places)
            encodable[key + _CHARGE_SUFFIX] = without_trailing_defaults(charge)
    return encodable


def _decoded_units(stored):
    """Return the records of units from those of a row, with their charges."""
    units = {
        key: unit for key, unit in stored.items() if not key.endswith(_CHARGE_SUFFIX)
    }
    for key in stored.keys() - units.keys():
        unit_key = key.removesuffix(_CHARGE_SUFFIX)
        if unit_key in units:
            charge = stored[key]
            units[unit_key] = units[unit_key]._replace(
                failed_run=charge.run,
                failed_on=tuple(place.worker for place in charge.places),
            )
    return units


def decode(data, kind):
    """Decode a record of type `kind`; raise ValueError if it is invalid.

    Fields that a later build has added at the end of a tuple are left out.
    """
    try:
        record = _decode_fields(data, kind)
    except ValueError as error:
        raise ValueError(f"{kind.__name__}: {error}") from error
    error = validation_error(record.spec) if kind is JobRecord else None
    if error:
        raise ValueError(f"{kind.__name__}: {error}")
    if kind in (Progress, UnitRows):
        record = record._replace(units=_decoded_units(record.units))
    return record


def _decode_fields(data, kind):
    try:
        return untrusted.decode_json(data, kind)
    except ValueError as error:
        known = without_unknown_fields(untrusted.decode_json(data), kind)
        try:
            return msgspec.convert(known, kind)
        except msgspec.ValidationError:
            raise error from None


def progress_of(job, with_units=True):
    """Return the `Progress` of a job; ended jobs keep only their placements."""
    units = {}
    if with_units:
        for key, unit in job.units.items():
            record = unit_record(unit, unit.placements.values())
            if record is not None:
                units[key] = record
    finished = sorted(job.finished_occurrences)
    finished_before = job.finished_before
    if finished_before <= _MAX_LISTED_OCCURRENCES:
        finished = [*range(finished_before), *finished]
        finished_before = 0
    return Progress(
        job.state,
        job.begun,
        job.reason,
        tuple(finished),
        units,
        finished_before,
        not with_units,
    )


def unit_record(unit, placements):
    """Return a unit's record with some of its placements, or None if it needs none."""
    if not (unit.placements or (unit.run and unit.job.active)):
        return None
    return UnitRecord(
        unit.run,
        unit.done,
        unit.failures,
        unit.checkpoint,
        tuple(PlaceRecord(p.index, p.worker, p.life) for p in placements),
        # Only a gang may have members left that report a charged run, or older rows.
        unit.failed_run if unit.spec.gang else 0,
        tuple(unit.failed_on) if unit.spec.gang and unit.failed_run else (),
    )


def join(progress, rows):
    """Return the `Progress` of a job with the units of its `UnitRows`, oldest first.

    The members of a gang may be in several rows, of which some may be older: a gang
    is started anew only after all its earlier placements are gone. A unit that is in
    the head row as well is there as it was before it had a row of its own; of a single
    task that row says all.
    """
    units = dict(progress.units)
    for row in rows:
        for key, record in row.units.items():
            known = units.get(key)
            is_gang = key.count(".") == 1
            units[key] = _merge(known, record) if known and is_gang else record
    return progress._replace(units=units)


def _merge(first, second):
    older, newer = sorted((first, second), key=lambda record: record.run)
    charged = max(newer, older, key=lambda record: record.failed_run)
    places = newer.places
    if older.run == newer.run:
        known = {place.index for place in places}
        places += tuple(one for one in older.places if one.index not in known)
    return newer._replace(
        done=first.done or second.done,
        failures=max(first.failures, second.failures),
        failed_run=charged.failed_run,
        failed_on=charged.failed_on,
        places=places,
    )


def restore(record, progress, now):
    """Return the `JobState` of stored documents, and its placements.

    Placements count as possibly running until a worker reports otherwise.
    """
    job = JobState(record)
    placements = []
    job.state = progress.state
    job.begun = progress.begun
    job.reason = progress.reason
    job.ended_at = now if progress.state in FINAL_STATES else None
    job.restore_finished(progress.finished_before, progress.finished_occurrences)
    for key, stored in progress.units.items():
        unit = _open_unit(job, key)
        if unit is None:
            continue
        unit.run = stored.run
        unit.done = stored.done
        unit.done_at = now if stored.done else None
        unit.failures = stored.failures
        unit.failed_run = _charged_run(stored)
        unit.failed_on = list(stored.failed_on)
        unit.checkpoint = stored.checkpoint
        members = set(unit.indexes)
        for place in {place.index: place for place in stored.places}.values():
            if place.index in members:
                placements.append(_restore_placement(unit, place, stored.run, now))
    return job, placements


def _open_unit(job, key):
    """Return the unit with this name, of an occurrence opened for it, or None.

    Other builds may store records that name no unit of the job.
    """
    number = key.partition(".")[0]
    if not (number.isascii() and number.isdecimal()) or len(number) > _MAX_DIGITS:
        return None
    if int(number) < job.record.spec.occurrences:
        job.add_occurrence(int(number))
    return job.units.get(key)


def _charged_run(stored):
    """Return the last run that is counted in the failures of a `UnitRecord`.

    be1a70d stores it only while members of the run are left, ae33cb2 not at all. If as
    many runs have failed as were started, the last one is among them. ae33cb2 counts
    each failed member of a gang; then a run of which none has failed yet may be taken
    for a charged one, but no more runs can fail than the job has attempts.
    """
    return stored.run if stored.failures >= stored.run else stored.failed_run


class _Place(NamedTuple):
    name: str
    life: str


def _restore_placement(unit, place, run, now):
    placement = Placement(unit, place.index, _Place(place.worker, place.life), run, now)
    placement.committed = True
    unit.placements[place.index] = placement
    return placement


def mark_listed(placement, now):
    """Mark a placement as listed by its worker."""
    if placement.status != LISTED:
        placement.status = LISTED
        placement.running_since = now
        placement.percent_at = now
        placement.unit.note_member_listed()
