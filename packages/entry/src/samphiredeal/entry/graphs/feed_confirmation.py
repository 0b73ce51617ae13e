"""Confirmation of writes by the change feed.

A store that is slow, or whose answers get lost, applies a write long before its
answer arrives, if it arrives at all. The change feed usually delivers the written
rows earlier, and that proves the write as well as its answer does.
"""

from twisted.internet.defer import Deferred

from samphiredeal.platform.table import Committed


class _PendingWrite:
    """An unanswered write, and those of its rows that the feed has delivered."""

    def __init__(self, conditions, puts):
        self.answer = Deferred()
        self._expected_versions = dict(conditions)
        self._values = dict(puts)
        self._seen_keys = {}

    @property
    def keys(self):
        """The keys of the rows that the write puts."""
        return self._values.keys()

    def is_confirmed_by(self, row):
        """Process a changed row; return whether it completes the write.

        All rows of one transaction have the same version, which is newer than the
        versions in its conditions.
        """
        if self._values.get(row.key) != row.value:
            return False
        if row.version <= self._expected_versions.get(row.key, 0):
            return False
        seen_keys = self._seen_keys.setdefault(row.version, set())
        seen_keys.add(row.key)
        return len(seen_keys) == len(self._values)


class FeedConfirmedTable:
    """A table whose writes complete by their answers or by their changes.

    The follower of the table has to pass all changes to `confirm`. Everything but
    `write` is delegated to the table; see `samphiredeal.platform.table`.
    """

    def __init__(self, table):
        self._table = table
        self._pending_writes = []
        self.read = table.read
        self.scan = table.scan
        self.snapshot = table.snapshot
        self.changes = table.changes
        self.limits = table.limits

    def write(self, conditions, puts, deletes=()):
        """Return a Deferred of the answer to a conditional write."""
        answered = self._table.write(conditions, puts, deletes)
        if not puts or deletes:
            return answered
        write = _PendingWrite(conditions, puts)
        self._pending_writes.append(write)

        def resolve(answer):
            if write in self._pending_writes:
                self._pending_writes.remove(write)
                write.answer.callback(answer)

        answered.addCallback(resolve)
        return write.answer

    def confirm(self, rows):
        """Complete the pending writes whose changes are among these rows."""
        for row in rows:
            for write in list(self._pending_writes):
                if write.is_confirmed_by(row) and write in self._pending_writes:
                    self._pending_writes.remove(write)
                    versions = dict.fromkeys(write.keys, row.version)
                    write.answer.callback(Committed(versions))
