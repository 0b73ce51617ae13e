"""Records of dispatches, which make each of them run at most once.

A record is kept until its answer is acknowledged or the retention time has
passed. Forgetting a keyed record raises a watermark to its permit. A keyed
dispatch with a higher permit and without a record was never received here, and
only then may a tombstone be added, which prevents it from running later.
"""

import collections

from samphiredeal.model import verdict

RUNNING = "running"
ANSWERED = "answered"
SEALED = "sealed"
FORGOTTEN = "forgotten"

RETENTION_S = 300.0


class DispatchRecord:
    """An accepted dispatch; `listeners` are the links that receive its answer."""

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
    """Dispatches that this incarnation accepted or refused, and its tombstones."""

    def __init__(self, clock, permits):
        self._clock = clock
        self._permits = permits
        self._records = {}
        self._refused = collections.OrderedDict()
        self._permit_watermark = 0

    @property
    def running(self):
        """The number of running dispatches."""
        return sum(record.answer is None for record in self._records.values())

    def get(self, dispatch_id):
        """Return the record of a dispatch, or None."""
        return self._records.get(dispatch_id)

    def refusal(self, dispatch_id):
        """Return the reason of a refusal or tombstone of a dispatch, or None."""
        refusal = self._refused.get(dispatch_id)
        return refusal and refusal[1]

    def add(self, dispatch):
        """Add a dispatch as running and return its record."""
        record = DispatchRecord(dispatch)
        self._records[dispatch.dispatch_id] = record
        return record

    def refuse(self, dispatch_id, permit, reason):
        """Record a refusal; it is kept until the expired permit rejects a duplicate."""
        self._refused[dispatch_id] = (permit, reason)

    def query_state(self, query):
        """Return the state of a keyed dispatch; add a tombstone if never received."""
        record = self._records.get(query.dispatch_id)
        if record is not None:
            return record.state
        if query.dispatch_id in self._refused:
            return SEALED
        if query.permit <= self._permit_watermark:
            return FORGOTTEN
        self.refuse(query.dispatch_id, query.permit, verdict.SEALED)
        return SEALED

    def complete(self, record, answer):
        """Record the answer of a running dispatch."""
        record.answer = answer
        record.ended_at = self._clock.seconds()

    def forget(self, dispatch_id):
        """Delete the record of a dispatch if it is answered."""
        record = self._records.get(dispatch_id)
        if record is None or record.answer is None:
            return
        del self._records[dispatch_id]
        if record.dispatch.key:
            self._permit_watermark = max(self._permit_watermark, record.dispatch.permit)

    def expire(self):
        """Delete answered records and refusals whose retention time has passed."""
        limit = self._clock.seconds() - RETENTION_S
        for dispatch_id, record in list(self._records.items()):
            if record.ended_at is not None and record.ended_at < limit:
                self.forget(dispatch_id)
        for dispatch_id, (permit, _reason) in list(self._refused.items()):
            if self._permits.age(permit) == float("inf"):
                del self._refused[dispatch_id]
