"""The time of day, steadied against jumps.

The time of day of a VM may jump by seconds and jump back. Its distance from the
steady clock is sampled, and the middle of the recent samples counts.
"""

import collections

# A minute of samples: a jump shows once it has lasted for half of that.
_SAMPLES = 61
SAMPLE_EVERY_S = 1.0


class TimeOfDay:
    """The time of day by a steady clock; `wall()` gives Unix seconds."""

    def __init__(self, clock, wall):
        self._clock = clock
        self._wall = wall
        self._offsets = collections.deque(maxlen=_SAMPLES)
        self.sample()

    def sample(self):
        """Take a sample; call about every `SAMPLE_EVERY_S`."""
        self._offsets.append(self._wall() - self._clock.seconds())

    def ms(self):
        """Return the Unix time in milliseconds."""
        middle = sorted(self._offsets)[len(self._offsets) // 2]
        return int((self._clock.seconds() + middle) * 1000)
