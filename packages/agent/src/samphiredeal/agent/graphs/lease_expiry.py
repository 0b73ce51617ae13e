"""When the worker's lease has certainly expired, so that it runs nothing any more.

A lease ends at a time on the worker's clock. A call that was meant for a former life of
the worker may extend the lease of the next one, whose clock is new, to the longest that
the worker allows.
"""

from samphiredeal.model.timing import lease_expiry_s

# How often the time has to be observed for all of it to count.
OBSERVE_INTERVAL_S = 0.2
# The worker's clock stops while its VM is suspended, this one goes on: of the time
# between two observations, at most this much counts.
_MAX_STEP_S = 0.25


class LeaseExpiry:
    """The time left until the lease has certainly expired.

    Polls extend it by `extension_s`, and a worker allows `lease_max_s`. An earlier
    process of this agent, perhaps of another build, may have extended it by that until
    this one started.
    """

    def __init__(self, clock, lease_max_s, extension_s):
        self._clock = clock
        self._extended_s = lease_expiry_s(extension_s)
        self._longest_s = lease_expiry_s(lease_max_s)
        self._left_of_polls_s = self._extended_s
        self._left_of_starts_s = 0.0
        self._left_of_life_s = self._longest_s
        self._observed_at = clock.seconds()

    def is_expired(self, starts_in_doubt):
        """Return whether the lease has expired.

        With `starts_in_doubt`, a start may have been carried out by a life of the
        worker that has not answered since.
        """
        of_starts_s = self._left_of_starts_s if starts_in_doubt else 0.0
        return max(self._left_of_polls_s, of_starts_s, self._left_of_life_s) <= 0

    def record_poll(self):
        """Record that a poll which may extend the lease is sent now."""
        self._left_of_polls_s = self._extended_s

    def record_start(self):
        """Record that a start is sent now."""
        self._left_of_starts_s = self._longest_s

    def record_next_life(self):
        """Record that another life under the same id has answered."""
        self._left_of_life_s = self._longest_s

    def record_age(self, age_s):
        """Record how long the present life has answered, by the worker's clock."""
        if age_s >= self._longest_s:
            self._left_of_life_s = 0.0

    def resume(self):
        """Begin to count: the time until now does not count."""
        self._observed_at = self._clock.seconds()

    def observe(self):
        """Count the time since the last observation."""
        now = self._clock.seconds()
        step_s = min(now - self._observed_at, _MAX_STEP_S)
        self._observed_at = now
        self._left_of_polls_s -= step_s
        self._left_of_starts_s -= step_s
        self._left_of_life_s -= step_s
