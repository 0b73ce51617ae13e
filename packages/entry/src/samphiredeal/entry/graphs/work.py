"""The rows that the system itself keeps: jobs, progress, cancels, members.

All are in one part of one table, so that one transaction can hold on any of
them. ``job/ID`` is created by the entry that accepts a job, ``cancel/ID`` by
the one that takes its cancel, ``progress/ID`` is written by the scheduler.
``epoch`` names the scheduler, ``beat`` shows that it lives, ``worker/NAME``
announces an agent and ``evicted/NAME`` tells it to let its leases lapse;
``entry/NAME`` announces an entry to the others.
"""

from typing import NamedTuple

from eliot import log_message
from twisted.internet.defer import Deferred

from samphiredeal.model.graph import JobRecord
from samphiredeal.policy.graphs import records
from samphiredeal.policy.graphs.state import ACTIVE, CANCELLED, FINAL_STATES, QUEUED

EPOCH_KEY = "epoch"
BEAT_KEY = "beat"
_JOB = "job/"
_PROGRESS = "progress/"
_CANCEL = "cancel/"
_WORKER = "worker/"
_EVICTED = "evicted/"
_ENTRY = "entry/"


def job_key(job_id):
    """Return the key of an accepted job."""
    return _JOB + job_id


def progress_key(job_id):
    """Return the key of a job's progress."""
    return _PROGRESS + job_id


def cancel_key(job_id):
    """Return the key of a job's cancel."""
    return _CANCEL + job_id


def worker_key(name):
    """Return the key under which an agent announces itself."""
    return _WORKER + name


def evicted_key(name):
    """Return the key of an agent's eviction."""
    return _EVICTED + name


def entry_key(name):
    """Return the key under which an entry announces itself."""
    return _ENTRY + name


class EpochRecord(NamedTuple):
    """Who schedules; `nonce` tells attempts to take over apart."""

    number: int
    holder: str
    nonce: str


class BeatRecord(NamedTuple):
    """A sign of life of the scheduler of an epoch.

    `store_ms` is the store's clock as the scheduler knew it (0: not known), by
    which an entry that has just started sees how old the beat is.
    """

    epoch: int
    count: int
    resigned: bool = False
    store_ms: int = 0


class WorkerRecord(NamedTuple):
    """Where an agent can be reached."""

    address: str
    zone: str


class EntryRecord(NamedTuple):
    """Where other entries can reach an entry."""

    address: str


class Versioned(NamedTuple):
    """A decoded row and its version."""

    value: object
    version: int


_KINDS = {
    _JOB: JobRecord,
    _PROGRESS: records.Progress,
    _WORKER: WorkerRecord,
    _ENTRY: EntryRecord,
}


class WorkView:
    """All rows of the table, decoded; `on_change(kinds)` tells what changed."""

    def __init__(self, clock, on_change):
        self._clock = clock
        self._on_change = on_change
        self.jobs = {}
        self.progress = {}
        self.cancels = {}
        self.workers = {}
        self.evicted = {}
        self.entries = {}
        self.epoch = Versioned(EpochRecord(0, "", ""), 0)
        self.beat = Versioned(BeatRecord(0, 0), 0)
        self.beat_seen_at = clock.seconds()
        self.beats_seen = 0
        self._end_watchers = {}
        self._maps = {
            _JOB: self.jobs,
            _PROGRESS: self.progress,
            _CANCEL: self.cancels,
            _WORKER: self.workers,
            _EVICTED: self.evicted,
            _ENTRY: self.entries,
        }

    def on_rows(self, rows, whole):
        """Take in rows of the table."""
        if whole:
            known = {row.key for row in rows}
            for prefix, entries in self._maps.items():
                for name in [n for n in entries if prefix + n not in known]:
                    del entries[name]
        for row in rows:
            try:
                self._take(row)
            except ValueError as error:
                log_message(
                    message_type="row_unreadable",
                    key=row.key,
                    version=row.version,
                    reason=str(error)[:300],
                )
        self._on_change()

    def _take(self, row):
        if row.key == EPOCH_KEY:
            self._take_newer("epoch", EpochRecord, row)
            return
        if row.key == BEAT_KEY:
            if row.version > self.beat.version:
                self.beat_seen_at = self._clock.seconds()
                self.beats_seen += 1
            self._take_newer("beat", BeatRecord, row)
            return
        prefix, _, name = row.key.partition("/")
        entries = self._maps.get(prefix + "/")
        if entries is None:
            return
        if not row.version:
            entries.pop(name, None)
            return
        known = entries.get(name)
        if known is not None and known.version >= row.version:
            return
        kind = _KINDS.get(prefix + "/")
        value = records.decode(row.value, kind) if kind else None
        entries[name] = Versioned(value, row.version)
        if name in self._end_watchers and self.state_of(name) in FINAL_STATES:
            for watcher in self._end_watchers.pop(name):
                watcher.callback(None)

    def _take_newer(self, attribute, kind, row):
        if row.version > getattr(self, attribute).version:
            value = records.decode(row.value, kind)
            setattr(self, attribute, Versioned(value, row.version))

    def state_of(self, job_id):
        """Return the state of a job as callers see it, or None if unknown."""
        if job_id not in self.jobs:
            return None
        stored = self.progress.get(job_id)
        state = stored.value.state if stored else QUEUED
        if job_id in self.cancels and state not in FINAL_STATES:
            return CANCELLED
        return state

    def is_running(self, job_id):
        """Return whether a job has begun and not ended, as far as is known."""
        return self.state_of(job_id) == ACTIVE

    def until_ended(self, job_id, seconds):
        """Return a Deferred that fires when a job ends, or after a time."""
        watcher = Deferred()
        watchers = self._end_watchers.setdefault(job_id, [])
        watchers.append(watcher)

        def give_up():
            watchers.remove(watcher)
            if not watchers:
                self._end_watchers.pop(job_id, None)
            watcher.callback(None)

        timer = self._clock.callLater(seconds, give_up)
        watcher.addCallback(lambda _: timer.active() and timer.cancel())
        return watcher

    def waiting(self, queue):
        """Return how many accepted jobs of a queue have not begun."""
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
            return True
        return not stored.value.begun and stored.value.state not in FINAL_STATES
