"""Wall clock filtered against jumps.

The wall clock of a VM may jump by seconds and jump back. Its offset from the steady
clock is sampled, and the median of the recent samples is used.
"""

import collections

# One minute of samples: a jump takes effect once it has lasted for half of that.
_SAMPLE_COUNT = 61
SAMPLE_INTERVAL_S = 1.0


class WallClock:
    """Unix time derived from a steady clock; `wall()` returns Unix seconds."""

    def __init__(self, clock, wall):
        self._clock = clock
        self._wall = wall
        self._offsets = collections.deque(maxlen=_SAMPLE_COUNT)
        self.sample()

    def sample(self):
        """Sample the offset; to be called about every `SAMPLE_INTERVAL_S`."""
        self._offsets.append(self._wall() - self._clock.seconds())

    def unix_ms(self):
        """Return the Unix time in milliseconds."""
        median_offset_s = sorted(self._offsets)[len(self._offsets) // 2]
        return int((self._clock.seconds() + median_offset_s) * 1000)
