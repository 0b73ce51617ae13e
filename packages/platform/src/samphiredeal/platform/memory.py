"""The table service and object store in memory, with injected faults.

>>> table = MemoryTable()
>>> table.faults.down = True
"""

import bisect

from twisted.internet.defer import Deferred, succeed

from samphiredeal.platform.table import (
    CALL_TIMEOUT_S,
    CHANGES_TIMEOUT_S,
    NO_OBJECT,
    STORED,
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Limits,
    Row,
    Unavailable,
)

# Writes that would wait longer than this are refused.
MAX_QUEUE_WAIT_S = 1.0


class Faults:
    """Faults to inject, and counts of the calls.

    `reads`, `writes` and `rejected` count calls, the last those beyond the limits.
    A store that is `down` refuses every call; one that is `silent` neither applies
    nor answers calls made meanwhile, nor answers calls for changes that wait then.
    `delay_s` delays every answer; `lose_answers` is the number of writes still to be
    applied without an answer.

    `write_delay_s` delays the answers to writes only; they are applied at once.
    `transaction_s` is how long the store takes to apply a write of this caller. If it
    is set, writes are applied one after another, and a write that would have to wait
    longer than `MAX_QUEUE_WAIT_S` is refused.
    """

    def __init__(self):
        self.down = False
        self.silent = False
        self.delay_s = 0.0
        self.write_delay_s = 0.0
        self.transaction_s = 0.0
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0
        self.rejected = 0

    def loses_answer(self):
        """Return whether to lose the answer to this write, and count it if so."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True


class _Records:
    """The rows, their order, and the history of changes."""

    def __init__(self):
        self.rows = {}
        self.keys = []
        self.version = 0
        self.history = []
        self.forgotten_to = 0
        self.waiting = []
        self.busy_until = 0.0

    def record(self, row):
        """Add the change of a row to the history, at the current version."""
        self.history.append((self.version, row))

    def since(self, after):
        """Return the rows that changed after a version, in order."""
        return [row for version, row in self.history if version > after]

    def wake(self):
        """Make waiting calls for changes check again."""
        waiting, self.waiting = self.waiting, []
        for check in waiting:
            check()


class MemoryTable:
    """An in-memory table; `view` returns one with faults of its own."""

    def __init__(self, clock=None, faults=None, limits=None):
        self._clock = clock
        self.faults = faults or Faults()
        self.limits = limits or Limits()
        self._records = _Records()

    def view(self, clock, faults):
        """Return a table on the same rows, with other faults and another clock."""
        other = MemoryTable(clock, faults, self.limits)
        other._records = self._records
        return other

    @property
    def rows(self):
        """The rows by key, for tests and simulated services."""
        return self._records.rows

    def forget_history(self):
        """Drop the history of changes, as the service may at any time."""
        self._records.history.clear()
        self._records.forgotten_to = self._records.version
        self._records.wake()

    def read(self, key):
        """Return a Deferred of the row, version 0 if absent."""
        self.faults.reads += 1
        return self._answer(lambda: self._records.rows.get(key, Row(key)))

    def scan(self, prefix, after="", limit=100):
        """Return a Deferred of up to `limit` rows whose keys follow `after`."""
        self.faults.reads += 1
        return self._answer(lambda: self._page(prefix, after, limit))

    def snapshot(self):
        """Return a Deferred of all rows as `Changes`."""
        self.faults.reads += 1
        records = self._records
        return self._answer(
            lambda: self._changes_now([records.rows[k] for k in records.keys])
        )

    def changes(self, after, wait_s):
        """Return a Deferred of the rows changed after a version; may wait."""
        self.faults.reads += 1
        if self.faults.silent:
            return self._time_out(wait_s + CHANGES_TIMEOUT_S)
        if self.faults.down:
            return self._answer(lambda: None)
        answered = Deferred()
        records = self._records

        def check():
            if answered.called:
                return
            if self.faults.silent:
                records.waiting.append(check)
            elif after < records.forgotten_to:
                answered.callback(HistoryLost(records.version))
            elif records.since(after):
                answered.callback(self._changes_now(records.since(after)))
            else:
                records.waiting.append(check)

        def give_up():
            if answered.called:
                return
            if self.faults.silent:
                self._time_out(CHANGES_TIMEOUT_S).addCallback(end)
            else:
                end(self._changes_now([]))

        def end(answer):
            if not answered.called:
                answered.callback(answer)

        check()
        if not answered.called and self._clock is not None:
            timer = self._clock.callLater(wait_s, give_up)
            answered.addBoth(_cancelling(timer))
        elif not answered.called:
            give_up()
        return answered.addCallback(self._deliver)

    def _changes_now(self, rows):
        store_ms = int(self._clock.seconds() * 1000) if self._clock else 0
        return Changes(rows, self._records.version, store_ms)

    def write(self, conditions, puts, deletes=()):
        """Return a Deferred of the answer; see `samphiredeal.platform.table`."""
        self.faults.writes += 1
        if self.faults.silent:
            return self._time_out(CALL_TIMEOUT_S)
        if self.faults.down:
            return self._answer(lambda: None)
        if self.faults.transaction_s:
            return self._write_in_turn(conditions, puts, deletes)
        lost = self.faults.loses_answer()
        answer = self._apply(conditions, puts, deletes)
        if lost:
            answer = Unavailable("the answer was lost")
        return self._deliver(answer, self.faults.write_delay_s)

    def _write_in_turn(self, conditions, puts, deletes):
        """Apply a write after the earlier ones are complete."""
        records, now = self._records, self._clock.seconds()
        begins_at = max(records.busy_until, now)
        if begins_at - now > MAX_QUEUE_WAIT_S:
            return self._deliver(
                Unavailable("too many queued writes", not_applied=True)
            )
        records.busy_until = begins_at + self.faults.transaction_s
        answered = Deferred()

        def apply():
            answered.callback(self._apply(conditions, puts, deletes))

        self._clock.callLater(records.busy_until - now, apply)
        return answered

    def _excess(self, conditions, puts, deletes):
        """Return why a write exceeds the limits, or an empty string."""
        limits = self.limits
        for key, value in puts:
            if len(value) > limits.row_bytes:
                return f"{key}: {len(value)} bytes"
        if len(conditions) + len(puts) + len(deletes) > limits.operations:
            return "too many operations"
        if sum(len(value) for _key, value in puts) > limits.write_bytes:
            return "too many bytes"
        return ""

    def _apply(self, conditions, puts, deletes):
        excess = self._excess(conditions, puts, deletes)
        if excess:
            self.faults.rejected += 1
            return Unavailable(excess, not_applied=True, rejected=True)
        for key, version in conditions:
            row = self._records.rows.get(key, Row(key))
            if row.version != version:
                return Conflict(row)
        records = self._records
        records.version += 1
        for key, value in puts:
            self._put(Row(key, records.version, value))
        for key in deletes:
            if records.rows.pop(key, None) is not None:
                records.keys.pop(bisect.bisect_left(records.keys, key))
                records.record(Row(key))
        records.wake()
        return Committed({key: records.version for key, _value in puts})

    def _put(self, row):
        if row.key not in self._records.rows:
            bisect.insort(self._records.keys, row.key)
        self._records.rows[row.key] = row
        self._records.record(row)

    def _page(self, prefix, after, limit):
        start = max(
            bisect.bisect_left(self._records.keys, prefix),
            bisect.bisect_right(self._records.keys, after) if after else 0,
        )
        page = []
        for key in self._records.keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            page.append(self._records.rows[key])
        return page

    def _time_out(self, after_s):
        unanswered = Deferred()
        reason = Unavailable("the service does not respond")
        self._clock.callLater(after_s, unanswered.callback, reason)
        return unanswered

    def _answer(self, compute):
        if self.faults.silent:
            return self._time_out(CALL_TIMEOUT_S)
        if self.faults.down:
            return self._deliver(Unavailable("the service is down", not_applied=True))
        return self._deliver(compute())

    def _deliver(self, answer, extra_delay_s=0.0):
        if self._clock is None:
            return succeed(answer)
        delivered = Deferred()
        delay_s = self.faults.delay_s + extra_delay_s
        self._clock.callLater(delay_s, delivered.callback, answer)
        return delivered


def _cancelling(timer):
    """Return a callback that cancels a timer and returns its argument."""

    def cancel(value):
        if timer.active():
            timer.cancel()
        return value

    return cancel


class MemoryObjects:
    """An in-memory object store; of the faults, only `down` applies."""

    def __init__(self, faults=None):
        self.faults = faults or Faults()
        self._objects = {}

    def put(self, name, data):
        """Store the bytes; return a Deferred of `STORED` or an `Unavailable`."""
        if self.faults.down:
            return succeed(Unavailable("the service is down", not_applied=True))
        self._objects[name] = data
        return succeed(STORED)

    def get(self, name):
        """Return a Deferred of the bytes, `NO_OBJECT` or an `Unavailable`."""
        if self.faults.down:
            return succeed(Unavailable("the service is down", not_applied=True))
        return succeed(self._objects.get(name, NO_OBJECT))
