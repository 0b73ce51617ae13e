"""When the worker's lease has certainly expired, so that it runs nothing any more."""

from samphiredeal.model.timing import lease_expiry_s

# The worker's clock stops while its VM is suspended, this one goes on: of the time
# between two observations, at most this much counts.
_MAX_STEP_S = 2.0


class LeaseExpiry:
    """The time left until the lease has certainly expired.

    This process extends it by `extension_s`. An earlier one, perhaps of another build,
    may have extended it by up to `lease_max_s` until this one started.
    """

    def __init__(self, clock, lease_max_s, extension_s):
        self._clock = clock
        self._extended_s = lease_expiry_s(extension_s)
        self._left_s = lease_expiry_s(lease_max_s)
        self._observed_at = clock.seconds()

    @property
    def expired(self):
        """Whether the lease has certainly expired."""
        return self._left_s <= 0

    def record_extension(self):
        """Record that a call which may extend the lease is sent now."""
        self._left_s = max(self._left_s, self._extended_s)
        self._observed_at = self._clock.seconds()

    def observe(self):
        """Count the time that has passed; to be called at short intervals."""
        now = self._clock.seconds()
        self._left_s -= min(now - self._observed_at, _MAX_STEP_S)
        self._observed_at = now
