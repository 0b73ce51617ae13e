"""Remembering the calls whose effect is not known.

A call that was told "unsettled" may still take effect. Until that is over, nobody may
tell its caller that it was not done, however surely a later try of it was not.
"""

from samphiredeal.model import answers

# A write without an answer may be applied for this long: the platform holds orders up
# for 6 s, and some of them for longer.
IN_DOUBT_S = 15.0


class InDoubtCalls:
    """The calls of the last seconds that were told "unsettled" here."""

    def __init__(self, clock):
        self._clock = clock
        self._calls = {}

    def correct(self, call, answer):
        """Return the answer that leaves a caller with a true picture.

        `answer` is what this try of the call has come to.
        """
        if call.verb == answers.GET_STATE:
            return answer
        self._drop_expired()
        key = (call.verb, call.host, call.path)
        if answer.kind == answers.UNSETTLED:
            self._calls[key] = self._clock.seconds()
        elif answer.kind != answers.NOT_DONE:
            self._calls.pop(key, None)
        elif key in self._calls:
            reason = f"an earlier try may still take effect; now: {answer.reason}"
            return answer._replace(kind=answers.UNSETTLED, reason=reason)
        return answer

    def _drop_expired(self):
        oldest = self._clock.seconds() - IN_DOUBT_S
        for key, at in list(self._calls.items()):
            if at < oldest:
                del self._calls[key]
