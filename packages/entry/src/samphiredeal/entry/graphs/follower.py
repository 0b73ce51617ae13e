"""Follower of a table: one snapshot of all rows, then every change.

The age of the rows counts from when the last answered call was sent.
"""

from eliot import log_message, write_traceback
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from samphiredeal.platform.table import Changes, HistoryLost, Unavailable

# Longer than one call for changes, which waits at the store for 0.5 s and times out
# 0.8 s later.
_UNRESPONSIVE_AFTER_S = 1.7

# Short, since the usual cause is a single lost answer or a dropped connection.
_RETRY_DELAY_S = 0.05
# Delay after an error of the consumer; bounds the load if the error persists.
_ERROR_DELAY_S = 0.5
# At startup and after a failed call, requests are sent at this interval until one is
# answered, without awaiting the earlier ones: a request sent while the store is
# unresponsive is not answered after its recovery either.
_PROBE_INTERVAL_S = 0.1


class Follower:
    """Follows one table and passes its rows to `on_rows(rows, is_snapshot)` in order.

    With `is_snapshot`, the rows are all rows of the table. `wait_s` is the long-poll
    time of a call for changes. `pause_s` between calls batches changes that come in
    quick succession.
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
        self._last_response_at = None
        self._response_delay_s = 0.0
        self._store_clock = None
        self._running = False
        self._failing = False
        self._recoveries = 0
        # Sends the next probe, while probing.
        self._probe_timer = None
        self._on_recovery = lambda: None

    @property
    def recoveries(self):
        """Number of times the store has responded again after a failure."""
        return self._recoveries

    @property
    def version(self):
        """The store's version up to which rows have been received, or None."""
        return self._version

    @property
    def store_ms(self):
        """The present time of the store's steady clock, or 0 if it is unknown."""
        if self._store_clock is None:
            return 0
        store_ms, at = self._store_clock
        return store_ms + int((self._clock.seconds() - at) * 1000)

    @property
    def age_s(self):
        """Seconds since the rows were last confirmed to be current."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.seconds() - self._confirmed_at

    @property
    def is_unresponsive(self):
        """Whether the store has not responded for too long to write to it."""
        return self.age_s > _UNRESPONSIVE_AFTER_S

    @property
    def since_last_response_s(self):
        """Seconds since the store's last response."""
        if self._last_response_at is None:
            return float("inf")
        return self._clock.seconds() - self._last_response_at

    @property
    def response_delay_s(self):
        """How long the store took for its last response, beyond the long poll."""
        return self._response_delay_s

    @property
    def wait_s(self):
        """The long-poll time of a call for changes."""
        return self._wait_s

    def call_on_recovery(self, function):
        """Call `function()` whenever the store responds again after a failure."""
        self._on_recovery = function

    def probe_now(self):
        """Send the next probe at once, if the store is being probed."""
        if self._probe_timer is not None and self._probe_timer.active():
            self._probe_timer.reset(0)

    def stop(self):
        """Stop after the current call."""
        self._running = False

    async def run(self):
        """Follow until stopped."""
        self._running = True
        while self._running:
            answered = await self._step()
            await deferLater(self._clock, self._pause_s if answered else _RETRY_DELAY_S)

    async def _step(self):
        """Make one call; return whether it was answered."""
        sent_at = self._clock.seconds()
        is_snapshot = self._version is None
        is_probing = self._failing or self._confirmed_at is None
        if is_probing:
            sent_at, answer = await self._probe()
        else:
            answer = await self._request(self._wait_s)
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
            self._set_failing(failing=True, reason=answer.reason)
            return False
        self._set_failing(failing=False)
        self._record_delay(sent_at, 0.0 if is_probing else self._wait_s, answer)
        if answer.store_ms:
            self._store_clock = (answer.store_ms, self._clock.seconds())
        if is_snapshot or answer.rows:
            try:
                self._on_rows(answer.rows, is_snapshot)
            except Exception:
                write_traceback()
                await self._start_over()
                return True
        self._version = max(self._version or 0, answer.version)
        self._confirmed_at = sent_at
        self._last_response_at = self._clock.seconds()
        return True

    def _record_delay(self, sent_at, wait_s, answer):
        """Record the delay of a response to a call that may wait for `wait_s`.

        If there are changes, the store may have waited less for the first.
        """
        took_s = self._clock.seconds() - sent_at
        least_s = max(0.0, took_s - wait_s)
        most_s = took_s if answer.rows else least_s
        self._response_delay_s = min(max(self._response_delay_s, least_s), most_s)

    async def _start_over(self):
        """Read all rows again later, since some have not been applied."""
        log_message(
            message_type="rows_not_applied", table=self._name, version=self._version
        )
        self._version = None
        await deferLater(self._clock, _ERROR_DELAY_S)

    def _request(self, wait_s):
        """Return a Deferred of the changes, or of a snapshot if there is none yet."""
        if self._version is None:
            return self._table.snapshot()
        return self._table.changes(self._version, wait_s)

    def _probe(self):
        """Return a Deferred of (time sent, answer) for the first call answered.

        Sends a call every `_PROBE_INTERVAL_S` without awaiting the earlier ones; a
        call that fails does not cancel the others.
        """
        first = Deferred()

        def send():
            if first.called:
                return
            sent_at = self._clock.seconds()
            if not self._running:
                first.callback((sent_at, Unavailable("stopped")))
                return
            self._probe_timer = self._clock.callLater(_PROBE_INTERVAL_S, send)
            self._request(0.0).addCallback(receive, sent_at)

        def receive(answer, sent_at):
            if first.called:
                return
            if isinstance(answer, Unavailable):
                self._set_failing(failing=True, reason=answer.reason)
            else:
                first.callback((sent_at, answer))

        send()
        return first

    def _set_failing(self, failing, reason=""):
        if failing != self._failing:
            self._failing = failing
            self._recoveries += not failing
            log_message(
                message_type="follower_failing" if failing else "follower_regained",
                table=self._name,
                version=self._version,
                age_s=round(self.age_s, 3),
                reason=reason,
            )
            if not failing:
                self._on_recovery()
