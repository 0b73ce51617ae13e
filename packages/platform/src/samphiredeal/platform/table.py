"""The interface of the table service.

An implementation has these methods, each returning a Deferred that never
fails; errors are reported by the type of the result.

- ``read(key)`` returns a `Row` (version 0 if absent) or an `Unavailable`.
- ``scan(prefix, after, limit)`` returns a list of rows in key order, or an
  `Unavailable`. To get the next page, pass the last key as `after`.
- ``write(conditions, puts, deletes)`` applies all or nothing. It returns
  `Committed`, a `Conflict` with the row that violated a condition, or an
  `Unavailable`, after which the write may or may not have been applied.
- ``snapshot()`` returns all rows as `Changes`, or an `Unavailable`.
- ``limits`` holds the `Limits` of a row and of a write.
- ``changes(after, wait_s)`` returns the rows changed after a version as
  `Changes`, waiting up to `wait_s` for the first; a `HistoryLost` if the store
  no longer has them; or an `Unavailable`. A deleted row has version 0.

Versions come from one counter that rises with every write.

An object store has ``put(name, data)``, which returns `STORED` or an
`Unavailable`, and ``get(name)``, which returns the bytes, `NO_OBJECT` or an
`Unavailable`.
"""

from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater


class Row(NamedTuple):
    """A row; version 0 means that it does not exist."""

    key: str
    version: int = 0
    value: bytes = b""


class Condition(NamedTuple):
    """The row must have this version (0: must be absent) for a write to apply."""

    key: str
    version: int


class Put(NamedTuple):
    """Write this value; the version rises by one."""

    key: str
    value: bytes


class Committed(NamedTuple):
    """The write was applied; `versions` holds the new version of each put."""

    versions: dict


class Conflict(NamedTuple):
    """A condition did not hold; nothing was written."""

    row: Row


class Changes(NamedTuple):
    """Rows in the order of their changes, up to and including `version`.

    `store_ms` is the store's monotonic clock at the time of the answer.
    """

    rows: list
    version: int
    store_ms: int = 0


class HistoryLost(NamedTuple):
    """The store no longer has the requested changes; `version` is the newest."""

    version: int


class Limits(NamedTuple):
    """What one write may hold.

    `row_bytes` bounds a value, `write_bytes` the values of all puts together, and
    `operations` the number of conditions, puts and deletes. The service rejects a
    write beyond them.
    """

    row_bytes: int = 65_536
    write_bytes: int = 700_000
    operations: int = 100


class Unavailable(NamedTuple):
    """The service did not answer; a write may have been applied.

    `not_applied` is set if the call certainly had no effect, `nobody_listens` if
    no process accepts connections at the service's address, `rejected` if the
    service refused the call for its content, and will refuse it again, and
    `misdirected` if another incarnation answered than the one that the call named.
    """

    reason: str
    not_applied: bool = False
    nobody_listens: bool = False
    rejected: bool = False
    misdirected: bool = False


class _Marker(NamedTuple):
    name: str


STORED = _Marker("stored")
NO_OBJECT = _Marker("no-object")

# A store slowed down by a factor of 90 answers in 0.5 s; one that takes longer than
# this counts as unresponsive.
CALL_TIMEOUT_S = 1.5
# The same for a call for changes, in addition to the time that it may wait at the
# store.
CHANGES_TIMEOUT_S = 0.8
_RETRY_DELAY_S = 0.2
_PAGE_ROWS = 200


def within(clock, seconds, answer):
    """Return a Deferred of a store's answer, or of `Unavailable` after `seconds`.

    The call itself is not cancelled: a write may still be applied, and the caller
    may wait again for the same answer.
    """
    limited = Deferred()

    def deliver(value):
        if not limited.called:
            # A timer that was due while its process was paused is not active any more.
            if timer.active():
                timer.cancel()
            limited.callback(value)
        return value

    def give_up():
        if not limited.called:
            limited.callback(Unavailable(f"no answer within {seconds:.1f} s"))

    timer = clock.callLater(max(0.0, seconds), give_up)
    answer.addCallback(deliver)
    return limited


async def scan_all(table, prefix):
    """Return all rows with a prefix, page by page, or an `Unavailable`."""
    rows, after = [], ""
    while True:
        page = await table.scan(prefix, after, _PAGE_ROWS)
        if isinstance(page, Unavailable):
            return page
        rows += page
        if len(page) < _PAGE_ROWS:
            return rows
        after = page[-1].key


async def write_until_resolved(
    clock, table, conditions, puts, deletes=(), give_up_at=None
):
    """Write conditionally, retrying until the outcome is known; return the answer.

    Retries the same write until the store answers or the time `give_up_at` on the
    clock has passed; `Unavailable` then means that the write is still in doubt.

    A retry conflicts with an earlier attempt that was applied without an answer.
    To detect this, the row of the first put is read back, so its value must be
    unique to this write (contain an id).
    """
    own = puts[0]
    while True:
        answer = await table.write(conditions, puts, deletes)
        if not isinstance(answer, Unavailable):
            return await _resolve_conflict(table, answer, own)
        if give_up_at is not None and clock.seconds() >= give_up_at:
            return answer
        await deferLater(clock, _RETRY_DELAY_S)


async def _resolve_conflict(table, answer, own):
    """Return `Committed` for a conflict with an earlier attempt of this write."""
    if isinstance(answer, Committed):
        return answer
    row = answer.row if answer.row.key == own.key else await table.read(own.key)
    if isinstance(row, Row) and row.value == own.value:
        return Committed({own.key: row.version})
    return answer
