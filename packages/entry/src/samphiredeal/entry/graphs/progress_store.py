"""Batches of job progress, each within the limits of one transaction.

Progress that outgrows a row is split into rows (`progress_rows`), of which only the
changed ones are written. Every write puts the head row of its jobs on the condition of
its last known version, so that a write that the store applies late fails instead of
overwriting newer rows.

The rows of a job that outgrows its row may not fit into one write. Until a unit has a
row of its own, the head row keeps the unit as it was last stored: a run that has been
sent is in the rows after every write.

A job whose rows the store rejects must not hold up the others: the jobs of a rejected
batch are written one by one, and one that is rejected alone is ended by the caller and
then stored without its units.
"""

from typing import NamedTuple

from samphiredeal.entry.graphs import work
from samphiredeal.platform.table import Condition, Put
from samphiredeal.policy.graphs import progress_rows
from samphiredeal.policy.graphs.state import CANCELLED

# Operations of the scheduler's own: the condition on its epoch, and its heartbeat.
_OWN_OPERATIONS = 2
# Room for the heartbeat among the bytes of a write.
_OWN_BYTES = 1000
# Bounds the loss if a write fails, and the time that it takes to encode one.
_MAX_JOBS = 30


class JobWrite(NamedTuple):
    """The part of a write that stores a job, or some of its rows.

    `stored` and `removed` are the names of rows with units, `kept` the units that the
    head row still keeps, and `placements` those that the write holds. Unless
    `is_whole`, other changes of the job are left to write.
    """

    job: object
    conditions: tuple
    puts: tuple
    stored: tuple
    removed: tuple
    kept: dict
    placements: tuple
    is_whole: bool


class Batch(NamedTuple):
    """A write of progress. Unless `is_all`, other changes are left to write."""

    writes: tuple
    is_all: bool

    @property
    def jobs(self):
        """The jobs of which the write holds something."""
        return [write.job for write in self.writes]

    @property
    def conditions(self):
        """The conditions on the rows of the jobs."""
        return [condition for write in self.writes for condition in write.conditions]

    @property
    def puts(self):
        """The rows to put."""
        return [put for write in self.writes for put in write.puts]

    @property
    def deletes(self):
        """The keys of the rows to delete."""
        return [
            work.units_key(write.job.id, name)
            for write in self.writes
            for name in write.removed
        ]

    @property
    def placements(self):
        """The placements that the write stores."""
        return [one for write in self.writes for one in write.placements]

    @property
    def largest_row(self):
        """The key and the size in bytes of the largest row."""
        key, value = max(self.puts, key=lambda put: len(put.value))
        return key, len(value)


class _Split:
    """The rows of a split job: those to write, and all that may be in the store.

    `kept` are the records of the units that are in the head row only.
    """

    def __init__(self, stored_names=(), kept=None):
        self.pending = set()
        self.stored = set(stored_names)
        self.kept = kept or {}


class _Room:
    """What is left of the limits of a transaction."""

    def __init__(self, limits):
        self.operations = limits.operations - _OWN_OPERATIONS
        self.bytes = limits.write_bytes - _OWN_BYTES

    def take(self, operations, size=0):
        """Return whether that much fits, and use it if so."""
        if operations > self.operations or size > self.bytes:
            return False
        self.operations -= operations
        self.bytes -= size
        return True


class ProgressStore:
    """Composes the writes of one scheduler's term.

    `is_end_stored(job_id)` tells whether a row says that a job has ended.
    """

    def __init__(self, limits, is_end_stored):
        self._limits = limits
        self._is_end_stored = is_end_stored
        self._versions = {}
        self._splits = {}
        # Of jobs in one row: the units as last stored, or the row that holds them.
        self._stored_units = {}
        # When each job was last among those to write.
        self._turns = {}
        self._last_turn = 0
        self._suspects = set()
        self._without_units = set()
        self._unstorable = set()

    def track(self, job_id, version, row_names=(), head_units=None):
        """Add a stored job by its head row's version and units and its other rows."""
        self._versions[job_id] = version
        if row_names:
            self._splits[job_id] = _Split(row_names, head_units)
        else:
            self._stored_units[job_id] = head_units

    def forget(self, job_id):
        """Drop the state of a job."""
        self._versions.pop(job_id, None)
        self._splits.pop(job_id, None)
        self._stored_units.pop(job_id, None)
        self._turns.pop(job_id, None)
        for jobs in (self._suspects, self._without_units, self._unstorable):
            jobs.discard(job_id)

    def raise_version(self, job_id, version):
        """Expect a newer version of a head row, written by an earlier try."""
        self._versions[job_id] = max(self._versions.get(job_id, 0), version)

    def keys_to_delete(self, ended):
        """Return the keys of the rows of ended jobs that fit into one write.

        The row of a job outlives those of its progress, without which the job would
        count as new.
        """
        keys, room = [], self._limits.operations - _OWN_OPERATIONS
        for job_id in ended:
            split = self._splits.get(job_id)
            rows = sorted(split.stored) if split else []
            unit_keys = [work.units_key(job_id, name) for name in rows]
            job_keys = [
                key_of(job_id)
                for key_of in (work.job_key, work.progress_key, work.cancel_key)
            ]
            if len(keys) + len(unit_keys) + len(job_keys) <= room:
                keys += unit_keys + job_keys
                continue
            if not keys:
                keys = unit_keys[:room]
                split.stored.difference_update(rows[:room])
            break
        return keys

    # Composing

    def next_batch(self, dirty):
        """Return the next `Batch` of dirty jobs.

        Jobs that the store rejects even without their units are left out.
        """
        dirty = [job for job in dirty if job.id not in self._unstorable]
        suspects = [job for job in dirty if job.id in self._suspects]
        # A job of which something is always left to write must not hold up the others.
        dirty.sort(key=lambda job: self._turns.get(job.id, 0))
        room = _Room(self._limits)
        writes = []
        for job in suspects[:1] or dirty[:_MAX_JOBS]:
            write = self._compose(job, room, is_first=not writes)
            if write is None:
                break
            self._last_turn += 1
            self._turns[job.id] = self._last_turn
            writes.append(write)
            if not write.is_whole:
                break
        is_all = len(writes) == len(dirty) and all(one.is_whole for one in writes)
        return Batch(tuple(writes), is_all)

    def _compose(self, job, room, is_first):
        """Return the `JobWrite` of as much of a job as fits, or None.

        The head row shrinks as others take its units. One that is still too large is
        left to a write in which it comes first.
        """
        conditions = [
            Condition(work.progress_key(job.id), self._versions.get(job.id, 0))
        ]
        if job.state != CANCELLED and not self._is_end_stored(job.id):
            conditions.append(Condition(work.cancel_key(job.id), 0))
        head, split = self._encode_head(job)
        if not room.take(len(conditions) + 1, len(head.data)):
            return None
        puts = [Put(work.progress_key(job.id), head.data)]
        placements = list(head.placements)
        stored, removed, is_whole = [], [], True
        for name in _in_order(job, split) if split else ():
            row = progress_rows.encode_row(job, name)
            if not row.data and name not in split.stored:
                split.pending.discard(name)
                continue
            if not room.take(1, len(row.data)):
                is_whole = False
                break
            if row.data:
                puts.append(Put(work.units_key(job.id, name), row.data))
                placements += row.placements
                stored.append(name)
            else:
                removed.append(name)
        kept = {}
        if split:
            kept = _left_in_head(job, split, {*stored, *removed})
            if split.kept:
                head = progress_rows.encode_head(job, kept)
                if len(head.data) > self._limits.row_bytes and not is_first:
                    return None
                puts[0] = Put(work.progress_key(job.id), head.data)
            # The write may be applied even if it is not answered.
            split.stored.update(stored)
        return JobWrite(
            job,
            tuple(conditions),
            tuple(puts),
            tuple(stored),
            tuple(removed),
            kept,
            tuple(placements),
            is_whole,
        )

    def _encode_head(self, job):
        """Return the head row, and the `_Split` if the units are in other rows."""
        split = self._splits.get(job.id)
        changed = job.take_changed_units()
        if job.id in self._without_units:
            return progress_rows.encode_head(job), None
        if split is None:
            whole = progress_rows.encode_whole(job)
            if len(whole.data) <= self._limits.row_bytes:
                return whole, None
            split = self._splits[job.id] = _Split(kept=self._last_stored_units(job))
            changed = job.units.values()
        split.pending |= progress_rows.row_names(changed)
        split.pending |= progress_rows.row_names(
            job.units[key] for key in split.kept if key in job.units
        )
        # Not needed any more: rows of finished occurrences and, but for placements,
        # those of ended jobs.
        split.pending |= {
            name
            for name in split.stored
            if not job.active or job.is_finished(int(name.partition(".")[0]))
        }
        return progress_rows.encode_head(job, split.kept), split

    def _last_stored_units(self, job):
        """Return the records of a job's units in the one row that it had so far."""
        stored = self._stored_units.pop(job.id, None)
        return (
            progress_rows.decode_units(stored) if isinstance(stored, bytes) else stored
        )

    # Results

    def committed(self, batch, versions):
        """Record that a batch has been stored."""
        for write in batch.writes:
            job_id = write.job.id
            self._versions[job_id] = versions[work.progress_key(job_id)]
            self._suspects.discard(job_id)
            split = self._splits.get(job_id)
            if split is not None:
                split.pending.difference_update(write.stored, write.removed)
                split.stored.difference_update(write.removed)
                split.kept = write.kept
            elif job_id not in self._without_units:
                self._stored_units[job_id] = write.puts[0].value

    def suspect(self, batch):
        """Write the jobs of a rejected batch one by one from now on."""
        self._suspects |= {job.id for job in batch.jobs}

    def omit_units(self, job):
        """Store a rejected job without its units, or not at all if it is already."""
        if job.id in self._without_units:
            self._unstorable.add(job.id)
        self._without_units.add(job.id)


def _in_order(job, split):
    """Return the names of the rows to write, those of units in the head row first."""
    in_head = progress_rows.row_names(
        job.units[key] for key in split.kept if key in job.units
    )
    return sorted(split.pending, key=lambda name: (name not in in_head, name))


def _left_in_head(job, split, written):
    """Return the records of `split.kept` of which rows are left after a write."""
    left = split.pending - written
    return {
        key: record
        for key, record in split.kept.items()
        if key in job.units and progress_rows.row_names([job.units[key]]) & left
    }
