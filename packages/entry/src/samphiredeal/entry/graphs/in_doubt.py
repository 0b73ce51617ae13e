"""Tracking of calls in doubt.

A call that was answered "unsettled" may still take effect. Until that is ruled out, a
retry of it must not be answered "not-done", even if the retry itself was not applied.
"""

from samphiredeal.model import answers

# How long an unanswered write may still be applied: the platform holds requests up for
# 6 s, and some of them for longer.
IN_DOUBT_S = 15.0


class InDoubtCalls:
    """The recent calls that this entry answered "unsettled"."""

    def __init__(self, clock):
        self._clock = clock
        self._calls = {}

    def correct(self, call, answer):
        """Return the answer to a call, given the result `answer` of this try of it.

        "not-done" becomes "unsettled" while an earlier try is in doubt, and always for
        a cancel: another entry, which may be lost, may have an earlier try in doubt.
        "no such job" becomes "unsettled" while a submission is in doubt, or "cancelled"
        for a cancel, which is stored. Other refusals say nothing of earlier tries.
        """
        self._drop_expired()
        key = (call.verb, call.host, call.path)
        is_unknown = answer.kind == answers.NO_JOB
        if is_unknown and self._is_submission_in_doubt(call):
            if call.verb == answers.CANCEL:
                return answer._replace(kind=answers.CANCELLED, reason="")
            reason = "a submission of this job may still take effect"
            return answer._replace(kind=answers.UNSETTLED, reason=reason)
        if call.verb == answers.GET_STATE:
            return answer
        if answer.kind == answers.UNSETTLED:
            self._calls[key] = self._clock.seconds()
        elif answer.kind in answers.EFFECTIVE:
            self._calls.pop(key, None)
        elif answer.kind == answers.NOT_DONE and (
            key in self._calls or call.verb == answers.CANCEL
        ):
            reason = f"an earlier try may still take effect; this try: {answer.reason}"
            return answer._replace(kind=answers.UNSETTLED, reason=reason)
        return answer

    def _is_submission_in_doubt(self, call):
        return (answers.SUBMIT, call.host, call.path) in self._calls

    def _drop_expired(self):
        oldest = self._clock.seconds() - IN_DOUBT_S
        for key, at in list(self._calls.items()):
            if at < oldest:
                del self._calls[key]
