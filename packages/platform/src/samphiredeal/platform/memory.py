"""The table service and object store in memory, with faults on demand.

>>> table = MemoryTable()
>>> table.faults.down = True
"""

import bisect

from twisted.internet.defer import Deferred, succeed

from samphiredeal.platform.table import (
    NO_OBJECT,
    STORED,
    Committed,
    Conflict,
    Row,
    Unavailable,
)


class Faults:
    """What goes wrong: down, slow (seconds an answer) or lost answers (a count)."""

    def __init__(self):
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0

    def loses_answer(self):
        """Return whether the answer of the next write is to be lost."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True


class MemoryTable:
    """An in-memory table; `view` gives each caller faults of its own."""

    def __init__(self, clock=None, faults=None):
        self._clock = clock
        self.faults = faults or Faults()
        self._rows = {}
        self._keys = []

    def view(self, clock, faults):
        """Return a table on the same rows whose answers come on `clock`."""
        other = MemoryTable(clock, faults)
        other._rows = self._rows
        other._keys = self._keys
        return other

    def read(self, key):
        """Return a Deferred of the row, version 0 if absent."""
        self.faults.reads += 1
        return self._answer(lambda: self._rows.get(key, Row(key)))

    def scan(self, prefix, after="", limit=100):
        """Return a Deferred of up to `limit` rows whose keys follow `after`."""
        self.faults.reads += 1
        return self._answer(lambda: self._page(prefix, after, limit))

    def write(self, conditions, puts, deletes=()):
        """Return a Deferred of the answer; see `samphiredeal.platform.table`."""
        self.faults.writes += 1
        if self.faults.down:
            return self._answer(lambda: None)
        lost = self.faults.loses_answer()
        answer = self._apply(conditions, puts, deletes)
        if lost:
            return self._deliver(Unavailable("the answer was lost"))
        return self._deliver(answer)

    def _apply(self, conditions, puts, deletes):
        for key, version in conditions:
            row = self._rows.get(key, Row(key))
            if row.version != version:
                return Conflict(row)
        versions = {}
        for key, value in puts:
            versions[key] = self._put(key, value)
        for key in deletes:
            if self._rows.pop(key, None) is not None:
                self._keys.pop(bisect.bisect_left(self._keys, key))
        return Committed(versions)

    def _put(self, key, value):
        row = self._rows.get(key)
        if row is None:
            bisect.insort(self._keys, key)
        version = (row.version if row else 0) + 1
        self._rows[key] = Row(key, version, value)
        return version

    def _page(self, prefix, after, limit):
        start = max(
            bisect.bisect_left(self._keys, prefix),
            bisect.bisect_right(self._keys, after) if after else 0,
        )
        page = []
        for key in self._keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            page.append(self._rows[key])
        return page

    def _answer(self, compute):
        if self.faults.down:
            return self._deliver(Unavailable("the service is down"))
        return self._deliver(compute())

    def _deliver(self, answer):
        if self._clock is None:
            return succeed(answer)
        delivered = Deferred()
        self._clock.callLater(self.faults.delay_s, delivered.callback, answer)
        return delivered


class MemoryObjects:
    """An in-memory object store with the faults of a table."""

    def __init__(self, faults=None):
        self.faults = faults or Faults()
        self._objects = {}

    def put(self, name, data):
        """Store the bytes; return a Deferred of `STORED` or an `Unavailable`."""
        if self.faults.down:
            return succeed(Unavailable("the service is down"))
        self._objects[name] = data
        return succeed(STORED)

    def get(self, name):
        """Return a Deferred of the bytes, `NO_OBJECT` or an `Unavailable`."""
        if self.faults.down:
            return succeed(Unavailable("the service is down"))
        return succeed(self._objects.get(name, NO_OBJECT))
