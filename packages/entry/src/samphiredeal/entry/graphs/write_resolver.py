"""Retries of callers' writes until their outcome is known."""

from twisted.internet.task import deferLater

from samphiredeal.entry.graphs import in_doubt
from samphiredeal.platform.table import Unavailable, within

# How long a rejected write is retried before the caller is asked to come back: long
# enough for a passing shortage at the store, not for an outage.
_REJECTED_WRITE_TIMEOUT_S = 0.6
# How long the outcome of an unanswered write is awaited. Most callers wait 3 s; one
# that is answered within half of that has time to try elsewhere.
_UNANSWERED_WRITE_TIMEOUT_S = 1.2
# The same while other responses show that the store is slow rather than down: the
# longest queueing delay at the store plus one slow write.
_SLOW_STORE_WRITE_TIMEOUT_S = 1.8
# Timeout of one try. If its answer was lost, repeating the same conditional write is
# safe: it ends in a conflict if the first try was applied.
_TRY_TIMEOUT_S = 0.5
# Between tries of one write; most transient rejections are over by then.
_RETRY_DELAY_S = 0.15
# Time reserved for returning the answer to the caller, and the largest share of the
# remaining time that it may take: a healthy store answers a write within 0.02 s.
_REPLY_RESERVE_S = 0.15
_REPLY_RESERVE_SHARE = 0.25


class WriteResolver:
    """Writes on behalf of callers, and tracks the rows with writes in doubt."""

    def __init__(self, clock, table, store_health):
        self._clock = clock
        self._table = table
        self._store_health = store_health
        self._last_timeout_at = float("-inf")
        self._in_doubt = {}

    async def write(self, call, conditions, puts):
        """Write until the outcome is known or the time limit has passed.

        Return the store's answer; its `not_applied` is true only if no try can have
        been applied.
        """
        key = conditions[0].key
        self._drop_expired()
        if self._is_store_unresponsive() and key not in self._in_doubt:
            reason = f"no response for {self._store_health.rows_age_s:.1f} s"
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
                # A slow store would queue the retry behind the first try, and an
                # unresponsive one would lose it too.
                continue
            all_rejected = rejected
            if not recovered:
                await deferLater(self._clock, _RETRY_DELAY_S)
            elapsed_s = self._clock.seconds() - began_at
            recoveries = self._store_health.recoveries
            write_answer = self._table.write(conditions, puts)

    def _give_up(self, key, answer, all_rejected):
        """Return the last answer; `all_rejected` means that no try can be applied."""
        if not all_rejected:
            self._last_timeout_at = self._clock.seconds()
            self._in_doubt[key] = self._last_timeout_at
        not_applied = all_rejected and key not in self._in_doubt
        return answer._replace(not_applied=not_applied)

    def _write_timeout_s(self, call):
        """Return the total time for a write and its retries, in seconds."""
        limit_s = (
            _SLOW_STORE_WRITE_TIMEOUT_S
            if self._store_health.is_healthy
            else _UNANSWERED_WRITE_TIMEOUT_S
        )
        return min(_time_left_s(call), limit_s)

    def _is_store_unresponsive(self):
        """Return whether the store has not responded for too long.

        Also true if the store is not healthy and a write has timed out since the last
        response to the follower of the system's rows.
        """
        since_s = self._clock.seconds() - self._last_timeout_at
        unresponsive = (
            since_s < self._store_health.since_last_response_s
            and not self._store_health.is_healthy
        )
        return self._store_health.is_unresponsive or unresponsive

    def _drop_expired(self):
        """Drop the writes that are too old to be still applied."""
        now = self._clock.seconds()
        for key, at in list(self._in_doubt.items()):
            if now - at > in_doubt.IN_DOUBT_S:
                del self._in_doubt[key]


def _time_left_s(call):
    """Return how long a call may take for its answer to reach the caller in time."""
    return call.wait_s - min(_REPLY_RESERVE_S, _REPLY_RESERVE_SHARE * call.wait_s)
