"""Health of the store as seen by one entry's followers.

The store may be slow, down for everyone, or reject single entries; an entry serves its
callers differently in each of these cases.
"""

# A healthy store responds every 0.5 s, at the end of each call for changes, and one
# that is slowed 90 times every 1.0 s.
_PROMPT_S = 0.7
_HEALTHY_S = 1.0
# The same for the configuration, whose changes are polled every 0.7 s.
_CONFIG_HEALTHY_S = 1.3
# Responses of a store that is not slowed down. One that answered so recently can be
# relied on.
_SHORT_DELAY_S = 0.05
_RECENT_S = 0.1
# How long any answer of a store is awaited, and how many times its last delay.
_ANSWER_MIN_S = 0.3
_ANSWER_FACTOR = 3.0


class StoreHealth:
    """Health of the store by the followers of the system's and the operator's rows."""

    def __init__(self, work_follower, operator_follower):
        self._work_follower = work_follower
        self._operator_follower = operator_follower

    @property
    def is_healthy(self):
        """Whether the store responds, even if slowly.

        The operator's rows have to be current too: another entry may already have
        answered a caller by a newer configuration.
        """
        config_no_response_s = self._operator_follower.since_last_response_s
        return (
            self._work_follower.since_last_response_s < _HEALTHY_S
            and config_no_response_s < _CONFIG_HEALTHY_S
        )

    @property
    def is_prompt(self):
        """Whether the store responds without delay."""
        return self.is_healthy and self._work_follower.since_last_response_s < _PROMPT_S

    @property
    def is_answering(self):
        """Whether the store has answered so recently that it can be relied on.

        One that is slow is expected to answer as late as it did last.
        """
        delay_s = self._work_follower.response_delay_s
        limit_s = _RECENT_S
        if delay_s > _SHORT_DELAY_S:
            limit_s = self._work_follower.wait_s + 2 * delay_s
        return self.since_last_response_s < limit_s

    @property
    def answer_limit_s(self):
        """How long to wait for an answer until the store counts as silent."""
        return max(_ANSWER_MIN_S, _ANSWER_FACTOR * self._work_follower.response_delay_s)

    @property
    def is_unresponsive(self):
        """Whether the store has not responded for too long to write to it."""
        return self._work_follower.is_unresponsive

    @property
    def rows_age_s(self):
        """Age of the system's rows, in seconds."""
        return self._work_follower.age_s

    @property
    def since_last_response_s(self):
        """Seconds since the store's last response."""
        return self._work_follower.since_last_response_s

    @property
    def config_age_s(self):
        """Age of the configuration, in seconds."""
        return self._operator_follower.age_s

    @property
    def recoveries(self):
        """Number of times the store has responded again after a failure."""
        return self._work_follower.recoveries
