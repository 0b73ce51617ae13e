"""Writing what a caller asks for until the store's answer is certain."""

from twisted.internet.task import deferLater

from samphiredeal.entry.graphs import in_doubt
from samphiredeal.platform.table import Unavailable, within

# How long a write that the store refuses is tried again before the caller is
# told to come back: a passing shortage, not an outage.
_REJECTED_WRITE_TIMEOUT_S = 0.6
# How long a write without an answer is settled before the caller is told: most
# callers wait 3 s, and one that is told by half of that can try elsewhere.
_UNANSWERED_WRITE_TIMEOUT_S = 1.2
# The same while other answers show that the store is slow and not silent: the
# longest queue that it lets wait, and a slow write.
_SLOW_STORE_WRITE_TIMEOUT_S = 1.8
# One try: a write whose answer is lost is known by its condition when repeated.
_TRY_TIMEOUT_S = 0.5
# Between tries of one write: a passing refusal is over by then.
_RETRY_DELAY_S = 0.15
# Time kept for the way of the answer back to the caller, and at most this share of
# what is left: a sound store answers a write within 0.02 s.
_REPLY_RESERVE_S = 0.15
_REPLY_RESERVE_SHARE = 0.25


class WriteResolver:
    """Makes the writes of callers' calls, and remembers the unsettled ones."""

    def __init__(self, clock, table, store_health):
        self._clock = clock
        self._table = table
        self._store_health = store_health
        self._last_timeout_at = float("-inf")
        self._in_doubt = {}

    async def write(self, call, conditions, puts):
        """Write until the answer is certain or the time for it is over.

        Returns the store's answer; its `not_applied` is true only if no try
        can have been applied.
        """
        key = conditions[0].key
        self._drop_expired()
        if self._is_store_unresponsive() and key not in self._in_doubt:
            reason = f"silent for {self._store_health.rows_age_s:.1f} s"
            return Unavailable(reason, not_applied=True)
        began_at = self._clock.seconds()
        elapsed_s, all_rejected = 0.0, True
        recoveries = self._store_health.recoveries
        write_answer = self._table.write(conditions, puts)
        while True:
            try_timeout_s = (
                _TRY_TIMEOUT_S if self._store_health.is_healthy else _RETRY_DELAY_S
            )
            wait_s = min(try_timeout_s, self._write_timeout_s(call) - elapsed_s)
            answer = await within(self._clock, wait_s, write_answer)
            if not isinstance(answer, Unavailable):
                return answer
            elapsed_s = self._clock.seconds() - began_at
            limit_s = self._write_timeout_s(call)
            rejected = all_rejected and answer.not_applied
            if rejected:
                limit_s = min(limit_s, _REJECTED_WRITE_TIMEOUT_S)
            if elapsed_s + _RETRY_DELAY_S >= limit_s:
                return self._give_up(key, answer, rejected)
            recovered = self._store_health.recoveries != recoveries
            if not write_answer.called and not recovered:
                # At a slow store a repeat would wait behind the first, and into a
                # silent one it would be lost as well.
                continue
            all_rejected = rejected
            if not recovered:
                await deferLater(self._clock, _RETRY_DELAY_S)
            elapsed_s = self._clock.seconds() - began_at
            recoveries = self._store_health.recoveries
            write_answer = self._table.write(conditions, puts)

    def _give_up(self, key, answer, all_rejected):
        """Return the last answer to a write; `certain` if no try can apply."""
        if not all_rejected:
            self._last_timeout_at = self._clock.seconds()
            self._in_doubt[key] = self._last_timeout_at
        not_applied = all_rejected and key not in self._in_doubt
        return answer._replace(not_applied=not_applied)

    def _write_timeout_s(self, call):
        """Return for how long a write is settled, in seconds from its beginning."""
        limit_s = (
            _SLOW_STORE_WRITE_TIMEOUT_S
            if self._store_health.is_healthy
            else _UNANSWERED_WRITE_TIMEOUT_S
        )
        return min(_time_left_s(call), limit_s)

    def _is_store_unresponsive(self):
        """Return whether nothing has come from the store for too long.

        A write without an answer is as good a sign as a follower's silence.
        """
        since_s = self._clock.seconds() - self._last_timeout_at
        unresponsive = (
            since_s < self._store_health.since_last_response_s
            and not self._store_health.is_healthy
        )
        return self._store_health.is_unresponsive or unresponsive

    def _drop_expired(self):
        """Drop the writes that can no longer be applied late."""
        now = self._clock.seconds()
        for key, at in list(self._in_doubt.items()):
            if now - at > in_doubt.IN_DOUBT_S:
                del self._in_doubt[key]


def _time_left_s(call):
    """Return how long a call may be worked on so that its answer is in time."""
    return call.wait_s - min(_REPLY_RESERVE_S, _REPLY_RESERVE_SHARE * call.wait_s)
