"""What an entry hears of the store, as its followers tell.

The store may be slow, silent for all, or turn single entries away; which of these
it is decides what an entry does for its callers.
"""

# A sound store is heard every 0.5 s, at the end of each call for changes, and one
# that is slowed ninetyfold every 1.0 s.
_PROMPT_S = 0.7
_HEALTHY_S = 1.0
# The same for the configuration, whose changes are asked for every 0.7 s.
_CONFIG_HEALTHY_S = 1.3


class StoreHealth:
    """What the followers of the system's and of the operator's rows hear."""

    def __init__(self, work_follower, operator_follower):
        self._work_follower = work_follower
        self._operator_follower = operator_follower

    @property
    def is_healthy(self):
        """Whether the store answers, however slowly.

        It has to answer for the configuration too: another entry may have shown
        a caller a newer one than is known here.
        """
        config_no_response_s = self._operator_follower.since_last_response_s
        return (
            self._work_follower.since_last_response_s < _HEALTHY_S
            and config_no_response_s < _CONFIG_HEALTHY_S
        )

    @property
    def is_prompt(self):
        """Whether the store answers without delay."""
        return self.is_healthy and self._work_follower.since_last_response_s < _PROMPT_S

    @property
    def is_unresponsive(self):
        """Whether nothing has come from the store for too long to write to it."""
        return self._work_follower.is_unresponsive

    @property
    def rows_age_s(self):
        """How old what is known of the system's rows is, in seconds."""
        return self._work_follower.age_s

    @property
    def since_last_response_s(self):
        """How long ago the store last answered, in seconds."""
        return self._work_follower.since_last_response_s

    @property
    def config_age_s(self):
        """How old what is known of the configuration is, in seconds."""
        return self._operator_follower.age_s

    @property
    def recoveries(self):
        """How often the store has answered again after it had not."""
        return self._work_follower.recoveries
