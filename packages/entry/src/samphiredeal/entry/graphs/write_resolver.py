"""Retries of callers' writes until their outcome is known.

A write whose answer does not come may still be applied, so its caller cannot be told
that it was not. A store that has not answered for a while is therefore asked with a
read first, which has no effect: if that is not answered, nothing is written.
"""

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
_RECOVERY_POLL_INTERVAL_S = 0.05
# The largest share of a caller's time to spend on asking the store first.
_ASK_SHARE = 0.15
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
        self._in_doubt = {}

    async def write(self, call, conditions, puts):
        """Write until the outcome is known or the time limit has passed.

        Return the store's answer; its `not_applied` is true only if no try can have
        been applied.
        """
        key = conditions[0].key
        self._drop_expired()
        if not await self._is_store_answering(key, call):
            # An earlier write may be settled as soon as the store is back.
            in_doubt = key in self._in_doubt
            if not (in_doubt and await self._has_recovered_within(call)):
                since_s = self._store_health.since_last_response_s
                reason = f"no response for {since_s:.1f} s"
                return Unavailable(reason, not_applied=not in_doubt)
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
            self._in_doubt[key] = self._clock.seconds()
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

    async def _is_store_answering(self, key, call):
        """Return whether the store answers, asking it first if it has not of late."""
        if self._store_health.is_answering:
            return True
        if not self._store_health.is_healthy:
            return False
        limit_s = min(self._store_health.answer_limit_s, _ASK_SHARE * call.wait_s)
        answer = await within(self._clock, limit_s, self._table.read(key))
        is_silent = isinstance(answer, Unavailable) and not answer.not_applied
        return not is_silent or self._store_health.is_answering

    async def _has_recovered_within(self, call):
        """Return whether the store answers again in the time for an unanswered write.

        Nothing is sent meanwhile: it would not be applied after the return either.
        """
        limit_s = min(_time_left_s(call), _UNANSWERED_WRITE_TIMEOUT_S)
        give_up_at = self._clock.seconds() + limit_s
        while self._clock.seconds() < give_up_at:
            await deferLater(self._clock, _RECOVERY_POLL_INTERVAL_S)
            if self._store_health.is_answering:
                return True
        return False

    def _drop_expired(self):
        """Drop the writes that are too old to be still applied."""
        now = self._clock.seconds()
        for key, at in list(self._in_doubt.items()):
            if now - at > in_doubt.IN_DOUBT_S:
                del self._in_doubt[key]


def _time_left_s(call):
    """Return how long a call may take for its answer to reach the caller in time."""
    return call.wait_s - min(_REPLY_RESERVE_S, _REPLY_RESERVE_SHARE * call.wait_s)
