"""Settling writes by the changes that they cause.

A store that is slow, or whose answers get lost, applies a write long before its
answer arrives, if it arrives at all. The change is on its way to every follower
by then, and proves as much as the answer.
"""

from twisted.internet.defer import Deferred

from samphiredeal.platform.table import Committed


class _Write:
    """A write without an answer so far, and its rows that were seen."""

    def __init__(self, conditions, puts):
        self.answer = Deferred()
        self._known = dict(conditions)
        self._values = dict(puts)
        self._seen = {}

    @property
    def keys(self):
        """The keys of the rows that the write puts."""
        return self._values.keys()

    def is_shown_by(self, row):
        """Take in a changed row; return whether the whole write has been seen.

        All rows of one transaction have the same version, which is newer than
        what the write depends on.
        """
        if self._values.get(row.key) != row.value:
            return False
        if row.version <= self._known.get(row.key, 0):
            return False
        seen = self._seen.setdefault(row.version, set())
        seen.add(row.key)
        return len(seen) == len(self._values)


class WitnessedTable:
    """A table whose writes are settled by their answers or by their changes.

    Whoever follows the table hands its changes to `saw`. Everything but `write`
    is the table's own; see `samphiredeal.platform.table`.
    """

    def __init__(self, table):
        self._table = table
        self._unanswered = []
        self.read = table.read
        self.scan = table.scan
        self.snapshot = table.snapshot
        self.changes = table.changes

    def write(self, conditions, puts, deletes=()):
        """Return a Deferred of the answer to a conditional write."""
        answered = self._table.write(conditions, puts, deletes)
        if not puts or deletes:
            return answered
        write = _Write(conditions, puts)
        self._unanswered.append(write)

        def settle(answer):
            if write in self._unanswered:
                self._unanswered.remove(write)
                write.answer.callback(answer)

        answered.addCallback(settle)
        return write.answer

    def saw(self, rows):
        """Settle the writes whose changes are among these rows."""
        for row in rows:
            for write in list(self._unanswered):
                if write.is_shown_by(row) and write in self._unanswered:
                    self._unanswered.remove(write)
                    versions = dict.fromkeys(write.keys, row.version)
                    write.answer.callback(Committed(versions))
