"""The interface of the table service.

An implementation has these methods, each returning a Deferred that never
fails; what went wrong is told by the answer.

- ``read(key)`` gives a `Row` (version 0 if absent) or an `Unavailable`.
- ``scan(prefix, after, limit)`` gives a list of rows in key order, or an
  `Unavailable`. Pages are made by passing the last key as `after`.
- ``write(conditions, puts, deletes)`` applies all or nothing. It gives
  `Committed`, a `Conflict` with the row that broke a condition, or an
  `Unavailable`, after which the write may or may not have been applied.
- ``snapshot()`` gives all rows as `Changes`, or an `Unavailable`.
- ``changes(after, wait_s)`` gives the rows changed after a version as
  `Changes`, waiting up to `wait_s` for the first; a `HistoryLost` if they are
  no longer known; or an `Unavailable`. A deleted row has version 0.

Versions come from one counter that rises with every write.

An object store has ``put(name, data)`` and ``get(name)``, which give `STORED`,
the bytes, `NO_OBJECT` or an `Unavailable`.
"""

from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater


class Row(NamedTuple):
    """A row; version 0 means that there is none."""

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

    `store_ms` is the store's steady clock as it answered.
    """

    rows: list
    version: int
    store_ms: int = 0


class HistoryLost(NamedTuple):
    """The changes asked for are forgotten; `version` is the newest."""

    version: int


class Unavailable(NamedTuple):
    """The service gave no answer; a write may have been applied.

    `not_applied` says that the service refused the call and did nothing,
    `nobody_listens` that no process accepts connections at its address.
    """

    reason: str
    not_applied: bool = False
    nobody_listens: bool = False


class _Marker(NamedTuple):
    name: str


STORED = _Marker("stored")
NO_OBJECT = _Marker("no-object")

# A store that is slowed ninetyfold answers in 0.5 s; past this it is silent.
CALL_TIMEOUT_S = 1.5
# The same beyond the time for which a call for changes may wait at the store.
CHANGES_TIMEOUT_S = 0.8
_SETTLE_PAUSE_S = 0.2


def within(clock, seconds, answer):
    """Return a Deferred of a store's answer, or of `Unavailable` after a time.

    The call itself goes on: a write may still be applied, and its answer may be
    waited for again.
    """
    first = Deferred()

    def deliver(value):
        if not first.called:
            timer.cancel()
            first.callback(value)
        return value

    def give_up():
        first.callback(Unavailable(f"no answer within {seconds:.1f} s"))

    timer = clock.callLater(max(0.0, seconds), give_up)
    answer.addCallback(deliver)
    return first


async def write_until_resolved(
    clock, table, conditions, puts, deletes=(), give_up_at=None
):
    """Write and settle lost answers by re-reading the first put row.

    The first put must carry a value that is unique to this write (an id), so
    that reading it back tells whether a write without an answer was applied.
    Repeats the same conditional write until it is settled or `give_up_at` on
    the clock passes, and returns the final answer; `Unavailable` then means
    that the fate is still unknown.
    """
    own = puts[0]
    while True:
        answer = await table.write(conditions, puts, deletes)
        if not isinstance(answer, Unavailable):
            return await _settled_conflict(table, answer, own)
        if give_up_at is not None and clock.seconds() >= give_up_at:
            return answer
        await deferLater(clock, _SETTLE_PAUSE_S)


async def _settled_conflict(table, answer, own):
    """Turn a conflict with our own earlier write into `Committed`."""
    if isinstance(answer, Committed):
        return answer
    row = answer.row if answer.row.key == own.key else await table.read(own.key)
    if isinstance(row, Row) and row.value == own.value:
        return Committed({own.key: row.version})
    return answer
