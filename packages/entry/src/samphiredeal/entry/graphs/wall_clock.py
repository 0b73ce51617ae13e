"""The time of day, steadied against jumps.

The time of day of a VM may jump by seconds and jump back. Its distance from the
steady clock is sampled, and the middle of the recent samples counts.
"""

import collections

# A minute of samples: a jump shows once it has lasted for half of that.
_SAMPLE_COUNT = 61
SAMPLE_INTERVAL_S = 1.0


class WallClock:
    """The time of day by a steady clock; `wall()` gives Unix seconds."""

    def __init__(self, clock, wall):
        self._clock = clock
        self._wall = wall
        self._offsets = collections.deque(maxlen=_SAMPLE_COUNT)
        self.sample()

    def sample(self):
        """Take a sample; call about every `SAMPLE_EVERY_S`."""
        self._offsets.append(self._wall() - self._clock.seconds())

    def unix_ms(self):
        """Return the Unix time in milliseconds."""
        median_offset_s = sorted(self._offsets)[len(self._offsets) // 2]
        return int((self._clock.seconds() + median_offset_s) * 1000)
