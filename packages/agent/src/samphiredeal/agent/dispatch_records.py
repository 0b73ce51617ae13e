"""What an agent remembers of dispatches, so that each runs at most once.

A record stays until its answer is acknowledged or a retention time has passed.
Forgetting a keyed record raises a horizon over the permits: a key whose permit
is above the horizon and that has no record never arrived here, and only such a
one may be sealed.
"""

import collections

from samphiredeal.model import verdict

RUNNING = "running"
ANSWERED = "answered"
SEALED = "sealed"
FORGOTTEN = "forgotten"

RETENTION_S = 300.0


class Record:
    """One dispatch that was taken on; `listeners` receive its answer."""

    def __init__(self, dispatch):
        self.dispatch = dispatch
        self.answer = None
        self.listeners = []
        self.ended_at = None

    @property
    def state(self):
        """`RUNNING` or `ANSWERED`."""
        return RUNNING if self.answer is None else ANSWERED


class DispatchRecords:
    """Dispatches taken on, refused or sealed by this incarnation."""

    def __init__(self, clock, permits):
        self._clock = clock
        self._permits = permits
        self._records = {}
        self._refused = collections.OrderedDict()
        self._horizon = 0

    @property
    def running(self):
        """How many dispatches run."""
        return sum(record.answer is None for record in self._records.values())

    def record(self, dispatch_id):
        """Return the record of a dispatch, or None."""
        return self._records.get(dispatch_id)

    def refusal(self, dispatch_id):
        """Return the reason for which a dispatch was refused or sealed, or None."""
        entry = self._refused.get(dispatch_id)
        return entry and entry[1]

    def take_on(self, dispatch):
        """Record a dispatch as running and return its record."""
        record = Record(dispatch)
        self._records[dispatch.dispatch_id] = record
        return record

    def refuse(self, dispatch_id, permit, reason):
        """Remember a refusal until the permit alone would refuse a duplicate."""
        self._refused[dispatch_id] = (permit, reason)

    def fate(self, query):
        """Return the state of a keyed dispatch, sealing it if it never arrived."""
        record = self._records.get(query.dispatch_id)
        if record is not None:
            return record.state
        if query.dispatch_id in self._refused:
            return SEALED
        if query.permit <= self._horizon:
            return FORGOTTEN
        self.refuse(query.dispatch_id, query.permit, verdict.SEALED)
        return SEALED

    def end(self, record, answer):
        """Note the answer of a running dispatch."""
        record.answer = answer
        record.ended_at = self._clock.seconds()

    def forget(self, dispatch_id):
        """Drop an answered dispatch."""
        record = self._records.get(dispatch_id)
        if record is None or record.answer is None:
            return
        del self._records[dispatch_id]
        if record.dispatch.key:
            self._horizon = max(self._horizon, record.dispatch.permit)

    def expire(self):
        """Drop what has been kept for long enough."""
        limit = self._clock.seconds() - RETENTION_S
        for dispatch_id, record in list(self._records.items()):
            if record.ended_at is not None and record.ended_at < limit:
                self.forget(dispatch_id)
        for dispatch_id, (permit, _reason) in list(self._refused.items()):
            if self._permits.age(permit) == float("inf"):
                del self._refused[dispatch_id]
