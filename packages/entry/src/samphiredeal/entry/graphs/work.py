"""The rows of the system's own table: jobs, progress, cancels, members.

All are in one partition of one table, so that a transaction can span any of them.
``job/ID`` is created by the entry that accepts a job, ``cancel/ID`` by the one that
accepts its cancel; ``progress/ID`` is written by the scheduler, and ``units/ID/ROW`` if
the progress of a job does not fit into one row. ``epoch`` names the
scheduler, ``beat`` is its heartbeat, ``worker/NAME`` announces an agent and
``evicted/NAME`` makes it stop extending its leases; ``place/NAME`` is the address to
which the scheduler sends its starts; ``entry/NAME`` announces an entry to the others.
``speed/NAME`` is what the scheduler believes of the speed of an agent's worker.

Of a row that cannot be decoded the last good version stays known. A job with such a row
is held (`unreadable_rows`).
"""

from typing import NamedTuple

from eliot import write_traceback
from twisted.internet.defer import Deferred

from samphiredeal.entry.graphs.unreadable_rows import UnreadableRows
from samphiredeal.model import untrusted
from samphiredeal.model.graph import JobRecord
from samphiredeal.platform.table import Row
from samphiredeal.policy.graphs import records
from samphiredeal.policy.graphs.state import ACTIVE, CANCELLED, FINAL_STATES, QUEUED

EPOCH_KEY = "epoch"
HEARTBEAT_KEY = "beat"
_JOB = "job/"
_PROGRESS = "progress/"
_UNITS = "units/"
_CANCEL = "cancel/"
_WORKER = "worker/"
_EVICTED = "evicted/"
_PLACE = "place/"
_ENTRY = "entry/"
_SPEED = "speed/"


def job_key(job_id):
    """Return the key of an accepted job."""
    return _JOB + job_id


def progress_key(job_id):
    """Return the key of a job's progress."""
    return _PROGRESS + job_id


def units_key(job_id, row):
    """Return the key of a row with some units of a job."""
    return f"{_UNITS}{job_id}/{row}"


def cancel_key(job_id):
    """Return the key of a job's cancel."""
    return _CANCEL + job_id


def worker_key(name):
    """Return the key under which an agent announces itself."""
    return _WORKER + name


def evicted_key(name):
    """Return the key of an agent's eviction."""
    return _EVICTED + name


def place_key(name):
    """Return the key of the address to which starts for an agent are sent."""
    return _PLACE + name


def entry_key(name):
    """Return the key under which an entry announces itself."""
    return _ENTRY + name


def speed_key(name):
    """Return the key of the belief on the speed of an agent's worker."""
    return _SPEED + name


def job_of(key):
    """Return the id of the job without whose row its state is unknown, or ''.

    >>> job_of("units/a1/0.0.0"), job_of("worker/w1")
    ('a1', '')
    """
    prefix, _, name = key.partition("/")
    if prefix + "/" not in (_JOB, _PROGRESS, _UNITS):
        return ""
    return name.partition("/")[0]


def is_readable(row):
    """Return whether a row can be decoded, if it has a type."""
    record_type = _RECORD_TYPES.get(row.key.partition("/")[0] + "/")
    if not record_type or not row.version:
        return True
    try:
        records.decode(row.value, record_type)
    except ValueError:
        return False
    return True


class EpochRecord(NamedTuple):
    """The holder of the scheduler role; `nonce` distinguishes takeover attempts."""

    number: records.Count
    holder: str
    nonce: str


class HeartbeatRecord(NamedTuple):
    """A heartbeat of the scheduler of an epoch.

    `store_ms` is the scheduler's estimate of the store's clock (0: unknown), by which
    an entry that has just started determines the heartbeat's age.
    """

    epoch: records.Count
    count: records.Count
    resigned: bool = False
    store_ms: records.Count = 0


class WorkerRecord(NamedTuple):
    """The address and the zone of an agent."""

    address: str
    zone: str


class PlaceRecord(NamedTuple):
    """The address of an agent to which starts may have been sent."""

    address: str


class EvictionRecord(NamedTuple):
    """Which eviction of a scheduler's term it is; agents look only for the row.

    `expired_ms` is the store's clock by which all leases of the agent have certainly
    expired, or 0 if the eviction is not known to be stored yet.
    """

    epoch: records.Count
    number: records.Count
    expired_ms: records.Count = 0


class EntryRecord(NamedTuple):
    """The address of an entry for other entries."""

    address: str


class Versioned(NamedTuple):
    """A decoded row and its version."""

    value: object
    version: int


_RECORD_TYPES = {
    _JOB: JobRecord,
    _PROGRESS: records.Progress,
    _UNITS: records.UnitRows,
    _WORKER: WorkerRecord,
    _PLACE: PlaceRecord,
    _ENTRY: EntryRecord,
    _SPEED: records.SpeedRecord,
}


class WorkView:
    """All rows of the table, decoded; calls `on_change()` after each update."""

    def __init__(self, clock, on_change):
        self._clock = clock
        self._on_change = on_change
        self.jobs = {}
        self.progress = {}
        # By ``ID/ROW``.
        self.units = {}
        self.cancels = {}
        self.workers = {}
        self.evicted = {}
        self.places = {}
        self.entries = {}
        self.speeds = {}
        self.epoch = Versioned(EpochRecord(0, "", ""), 0)
        self.beat = Versioned(HeartbeatRecord(0, 0), 0)
        self.heartbeat_seen_at = clock.seconds()
        self.heartbeats_seen = 0
        self.unreadable = UnreadableRows(job_of)
        self._completion_waiters = {}
        self._rows_by_prefix = {
            _JOB: self.jobs,
            _PROGRESS: self.progress,
            _UNITS: self.units,
            _CANCEL: self.cancels,
            _WORKER: self.workers,
            _EVICTED: self.evicted,
            _PLACE: self.places,
            _ENTRY: self.entries,
            _SPEED: self.speeds,
        }

    def on_rows(self, rows, is_snapshot):
        """Apply changed rows, or all rows if `is_snapshot`."""
        if is_snapshot:
            known = {row.key for row in rows}
            for prefix, entries in self._rows_by_prefix.items():
                for name in [n for n in entries if prefix + n not in known]:
                    del entries[name]
            self.unreadable.keep_only(known)
        for row in rows:
            if self.unreadable.has_version(row):
                continue
            try:
                self._apply_row(row)
                self.unreadable.remove(row.key)
            except ValueError as error:
                self.unreadable.add(row, error)
            except Exception as error:
                # One malformed row must not keep the others from being applied.
                write_traceback()
                self.unreadable.add(row, error)
        self._notify_of_ends()
        self._on_change()

    def _apply_row(self, row):
        if row.key == EPOCH_KEY:
            self._apply_if_newer("epoch", EpochRecord, row)
            return
        if row.key == HEARTBEAT_KEY:
            if row.version > self.beat.version:
                self.heartbeat_seen_at = self._clock.seconds()
                self.heartbeats_seen += 1
            self._apply_heartbeat(row)
            return
        prefix, _, name = row.key.partition("/")
        entries = self._rows_by_prefix.get(prefix + "/")
        if entries is None:
            return
        if not row.version:
            entries.pop(name, None)
            return
        known = entries.get(name)
        if known is not None and known.version >= row.version:
            return
        record_type = _RECORD_TYPES.get(prefix + "/")
        value = records.decode(row.value, record_type) if record_type else row.value
        if record_type in (WorkerRecord, PlaceRecord, EntryRecord):
            untrusted.parse_address(value.address)
        entries[name] = Versioned(value, row.version)

    def _apply_heartbeat(self, row):
        """Apply a heartbeat; one that cannot be read only shows a live scheduler.

        What the last readable one says, as that its scheduler resigned, does not hold.
        """
        try:
            self._apply_if_newer("beat", HeartbeatRecord, row)
        except ValueError:
            self.beat = Versioned(HeartbeatRecord(0, 0), row.version)
            raise

    def _notify_of_ends(self):
        """Fire the waiters for the ends of jobs that have ended.

        Only between batches: a cancel may come before the earlier end of its job.
        """
        waiters = self._completion_waiters
        ended = [one for one in waiters if self.state_of(one) in FINAL_STATES]
        for job_id in ended:
            for waiter in waiters.pop(job_id):
                waiter.callback(None)

    def _apply_if_newer(self, attribute, record_type, row):
        if row.version > getattr(self, attribute).version:
            value = records.decode(row.value, record_type)
            setattr(self, attribute, Versioned(value, row.version))

    def is_held(self, job_id):
        """Return whether one of a job's rows cannot be read."""
        return job_id in self.unreadable.held_jobs

    def hold(self, job_id, error):
        """Hold a job whose rows can be decoded but not used, until its head changes."""
        key, rows = progress_key(job_id), self.progress
        if job_id not in rows:
            key, rows = job_key(job_id), self.jobs
        self.unreadable.add(Row(key, rows[job_id].version), error)

    def held_records(self):
        """Return the last readable `JobRecord`s of the jobs held, or None, by id."""
        records_by_id = {}
        for job_id in self.unreadable.held_jobs:
            stored = self.jobs.get(job_id)
            records_by_id[job_id] = stored.value if stored else None
        return records_by_id

    def workers_to_reach(self):
        """Return the agents by name: their announcements, or else their places.

        An agent of which only the place can be read may run something.
        """
        names = [
            name
            for name in self.unreadable.names_below(_WORKER)
            if name in self.places and name not in self.workers
        ]
        if not names:
            return self.workers
        return {**self.workers, **{name: self.places[name] for name in names}}

    def unit_rows_of(self, job_id):
        """Return the `UnitRows` of a job by the names of their rows, oldest first."""
        prefix = job_id + "/"
        found = [item for item in self.units.items() if item[0].startswith(prefix)]
        found.sort(key=lambda item: item[1].version)
        return {name.removeprefix(prefix): stored.value for name, stored in found}

    def state_of(self, job_id):
        """Return the state of a job as shown to callers, or None if unknown.

        Of a job whose progress cannot be read only a final state is known: no later row
        changes that.
        """
        if job_id not in self.jobs:
            return None
        stored = self.progress.get(job_id)
        state = stored.value.state if stored else QUEUED
        if state in FINAL_STATES:
            return state
        if progress_key(job_id) in self.unreadable:
            return None
        return CANCELLED if job_id in self.cancels else state

    def version_of_state(self, job_id):
        """Return the version of the row that says a job's state, or 0 if none does."""
        row = self.progress.get(job_id)
        if not self.is_end_stored(job_id):
            row = self.cancels.get(job_id, row)
        return row.version if row is not None else 0

    def is_end_stored(self, job_id):
        """Return whether a row says that a job has ended."""
        stored = self.progress.get(job_id)
        return stored is not None and stored.value.state in FINAL_STATES

    def is_running(self, job_id):
        """Return whether a job is active by the rows received so far."""
        return self.state_of(job_id) == ACTIVE

    def wait_until_ended(self, job_id, seconds):
        """Return a Deferred that fires when a job ends, or after `seconds`."""
        waiter = Deferred()
        waiters = self._completion_waiters.setdefault(job_id, [])
        waiters.append(waiter)

        def give_up():
            waiters.remove(waiter)
            if not waiters:
                self._completion_waiters.pop(job_id, None)
            waiter.callback(None)

        timer = self._clock.callLater(seconds, give_up)
        waiter.addCallback(lambda _: timer.active() and timer.cancel())
        return waiter

    def count_waiting(self, queue):
        """Return the number of accepted jobs of a queue that have not begun."""
        return sum(
            1
            for job_id, stored in self.jobs.items()
            if stored.value.queue == queue and self._is_waiting(job_id)
        )

    def _is_waiting(self, job_id):
        stored = self.progress.get(job_id)
        if job_id in self.cancels:
            return False
        if stored is None:
            # Schedulers write no progress of a job before they place something of it.
            return progress_key(job_id) not in self.unreadable
        return not stored.value.begun and stored.value.state not in FINAL_STATES
