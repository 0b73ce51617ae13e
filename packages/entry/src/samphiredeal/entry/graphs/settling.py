"""Writing what a caller asks for until the store's answer is certain."""

from twisted.internet.task import deferLater

from samphiredeal.entry.graphs import unsettled
from samphiredeal.platform.table import Unavailable, within

# How long a write that the store refuses is tried again before the caller is
# told to come back: a passing shortage, not an outage.
_REFUSED_WRITE_S = 0.6
# How long a write without an answer is settled before the caller is told: most
# callers wait 3 s, and one that is told by half of that can try elsewhere.
_UNSETTLED_WRITE_S = 1.2
# The same while other answers show that the store is slow and not silent: the
# longest queue that it lets wait, and a slow write.
_SLOW_WRITE_S = 1.8
# One try: a write whose answer is lost is known by its condition when repeated.
_TRY_S = 0.5
# Between tries of one write: a passing refusal is over by then.
_RETRY_PAUSE_S = 0.15
# Time kept for the way of the answer back to the caller, and at most this share of
# what is left: a sound store answers a write within 0.02 s.
_ANSWER_SLACK_S = 0.15
_ANSWER_SLACK_SHARE = 0.25


class Settler:
    """Makes the writes of callers' calls, and remembers the unsettled ones."""

    def __init__(self, clock, table, hearing):
        self._clock = clock
        self._table = table
        self._hearing = hearing
        self._unanswered_at = float("-inf")
        self._unsettled = {}

    async def write(self, call, conditions, puts):
        """Write until the answer is certain or the time for it is over.

        Returns the store's answer; its `not_applied` is true only if no try
        can have been applied.
        """
        key = conditions[0].key
        self._forget_settled()
        if self._is_store_silent() and key not in self._unsettled:
            reason = f"silent for {self._hearing.silence_s:.1f} s"
            return Unavailable(reason, not_applied=True)
        began_at = self._clock.seconds()
        spent_s, certain = 0.0, True
        returns = self._hearing.returns
        written = self._table.write(conditions, puts)
        while True:
            try_s = _TRY_S if self._hearing.is_sound else _RETRY_PAUSE_S
            wait_s = min(try_s, self._patience_s(call) - spent_s)
            answer = await within(self._clock, wait_s, written)
            if not isinstance(answer, Unavailable):
                return answer
            spent_s = self._clock.seconds() - began_at
            limit_s = self._patience_s(call)
            sure = certain and answer.not_applied
            if sure:
                limit_s = min(limit_s, _REFUSED_WRITE_S)
            if spent_s + _RETRY_PAUSE_S >= limit_s:
                return self._give_up(key, answer, sure)
            returned = self._hearing.returns != returns
            if not written.called and not returned:
                # At a slow store a repeat would wait behind the first, and into a
                # silent one it would be lost as well.
                continue
            certain = sure
            if not returned:
                await deferLater(self._clock, _RETRY_PAUSE_S)
            spent_s = self._clock.seconds() - began_at
            returns = self._hearing.returns
            written = self._table.write(conditions, puts)

    def _give_up(self, key, answer, certain):
        """Return the last answer to a write; `certain` if no try can apply."""
        if not certain:
            self._unanswered_at = self._clock.seconds()
            self._unsettled[key] = self._unanswered_at
        settled = certain and key not in self._unsettled
        return answer._replace(not_applied=settled)

    def _patience_s(self, call):
        """Return for how long a write is settled, in seconds from its beginning."""
        limit_s = _SLOW_WRITE_S if self._hearing.is_sound else _UNSETTLED_WRITE_S
        return min(_time_left_s(call), limit_s)

    def _is_store_silent(self):
        """Return whether nothing has come from the store for too long.

        A write without an answer is as good a sign as a follower's silence.
        """
        since_s = self._clock.seconds() - self._unanswered_at
        unheard = since_s < self._hearing.unheard_s and not self._hearing.is_sound
        return self._hearing.is_silent or unheard

    def _forget_settled(self):
        """Drop the writes that can no longer be applied late."""
        now = self._clock.seconds()
        for key, at in list(self._unsettled.items()):
            if now - at > unsettled.KEPT_S:
                del self._unsettled[key]


def _time_left_s(call):
    """Return how long a call may be worked on so that its answer is in time."""
    return call.wait_s - min(_ANSWER_SLACK_S, _ANSWER_SLACK_SHARE * call.wait_s)
