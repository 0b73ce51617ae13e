"""Scoring functions for candidate workers; the lowest score is preferred.

A scoring function takes a worker and the shape to place on it. `first_fit` orders
workers by name, `best_fit` prefers the least free capacity after placement, and
`expected_loss` the fewest accelerators unusable by the observed mix of shapes. The
last follows "Beware of Fragmentation" (FGD, ATC 2023).
"""

import collections

# Number of latest arrivals in the observed mix.
MIX_WINDOW = 256


def first_fit(worker, shape):
    """Prefer workers in order of name."""
    return (worker.name,)


def best_fit(worker, shape):
    """Prefer the worker with the least free capacity after placement."""
    left = worker.free.minus(shape)
    return (left.accelerators, left.cpu_milli, worker.name)


def sparing_guarantees(score):
    """Return a scoring function that avoids capacity reserved for guarantees.

    Workers are compared first by the accelerators that would be lent from unclaimed
    guarantees, then by `score`.
    """

    def sparing_score(worker, shape):
        unclaimed = worker.reserved.accelerators - worker.covered.accelerators
        left = worker.free.accelerators - shape.accelerators
        lent = max(0, unclaimed - left)
        return (
            lent - max(0, unclaimed - worker.free.accelerators),
            score(worker, shape),
        )

    return sparing_score


class ShapeMix:
    """Distribution of accelerators per member over the latest arrivals."""

    def __init__(self):
        self._recent = collections.deque(maxlen=MIX_WINDOW)
        self._counts = collections.Counter()

    def observe(self, accelerators):
        """Record an arrival."""
        if len(self._recent) == MIX_WINDOW:
            self._counts[self._recent[0]] -= 1
        self._recent.append(accelerators)
        self._counts[accelerators] += 1

    def unusable(self, free):
        """Return the mean number of `free` accelerators unusable by an arrival."""
        unusable = 0.0
        for wanted, count in self._counts.items():
            if wanted and count:
                unusable += count * (free % wanted if wanted <= free else free)
        return unusable / max(1, len(self._recent))


def expected_loss(mix):
    """Return a scoring function by fragmentation for an observed `ShapeMix`."""

    def score(worker, shape):
        free = worker.free.accelerators
        after = free - shape.accelerators
        added = mix.unusable(after) - mix.unusable(free)
        return (added, *best_fit(worker, shape))

    return score
