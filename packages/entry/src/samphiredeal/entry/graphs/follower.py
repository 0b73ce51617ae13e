"""Following a table: all rows once, then every change.

The rows are handed to one function; how old the knowledge is counts from the
sending of the last call that was answered.
"""

from eliot import log_message
from twisted.internet.task import deferLater

from samphiredeal.platform.table import Changes, HistoryLost

# Pauses after a call that failed; the first is short, since one lost answer
# or a dropped connection is the usual cause.
_RETRY_FIRST_S = 0.05
_RETRY_MOST_S = 0.2


class Follower:
    """Follows one table; `on_rows(rows, whole)` takes rows in, in order.

    `whole` says that the rows are all there are. `pause_s` is kept between
    calls, so that changes in quick succession arrive together.
    """

    def __init__(self, clock, table, name, wait_s, pause_s, on_rows):
        self._clock = clock
        self._table = table
        self._name = name
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._on_rows = on_rows
        self._version = None
        self._confirmed_at = None
        self._store_clock = None
        self._running = False
        self._failing = False

    @property
    def version(self):
        """The store's version up to which rows are known, or None."""
        return self._version

    @property
    def store_ms(self):
        """The store's steady clock by now, or 0 if it is not known."""
        if self._store_clock is None:
            return 0
        store_ms, at = self._store_clock
        return store_ms + int((self._clock.seconds() - at) * 1000)

    @property
    def age_s(self):
        """How long ago the rows were surely current, in seconds."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.seconds() - self._confirmed_at

    def stop(self):
        """End after the present call."""
        self._running = False

    async def run(self):
        """Follow until stopped."""
        self._running = True
        retry_s = _RETRY_FIRST_S
        while self._running:
            if await self._step():
                retry_s = _RETRY_FIRST_S
                await deferLater(self._clock, self._pause_s)
            else:
                await deferLater(self._clock, retry_s)
                retry_s = min(2 * retry_s, _RETRY_MOST_S)

    async def _step(self):
        """Make one call; return whether it was answered."""
        sent_at = self._clock.seconds()
        whole = self._version is None
        if whole:
            answer = await self._table.snapshot()
        else:
            # After a failure the question is whether the store is back at all.
            wait_s = 0.0 if self._failing else self._wait_s
            answer = await self._table.changes(self._version, wait_s)
        if isinstance(answer, HistoryLost):
            log_message(
                message_type="history_lost",
                table=self._name,
                known=self._version,
                newest=answer.version,
            )
            self._version = None
            return True
        if not isinstance(answer, Changes):
            self._note(failing=True, reason=answer.reason)
            return False
        self._note(failing=False)
        if answer.store_ms:
            self._store_clock = (answer.store_ms, self._clock.seconds())
        if whole or answer.rows:
            self._on_rows(answer.rows, whole)
        self._version = max(self._version or 0, answer.version)
        self._confirmed_at = sent_at
        return True

    def _note(self, failing, reason=""):
        if failing != self._failing:
            self._failing = failing
            log_message(
                message_type="follower_failing" if failing else "follower_regained",
                table=self._name,
                version=self._version,
                age_s=round(self.age_s, 3),
                reason=reason,
            )
