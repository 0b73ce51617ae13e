"""Scorings: which of several places to take. Lower is better.

A scoring is a function of a worker and the shape to place there. `first_fit`
takes workers by name, `best_fit` leaves the least free, and `expected_loss`
leaves the fewest accelerators that the observed mix of shapes cannot use. The
last follows "Beware of Fragmentation" (FGD, ATC 2023).
"""

import collections

# How many of the latest arrivals make up the observed mix.
MIX_WINDOW = 256


def first_fit(worker, shape):
    """Prefer workers in the order of their names."""
    return (worker.name,)


def best_fit(worker, shape):
    """Prefer the worker that is left with the least."""
    left = worker.free.minus(shape)
    return (left.accelerators, left.cpu_milli, worker.name)


def sparing_guarantees(score):
    """Return a scoring that avoids room which a guarantee may ask back.

    Workers are first compared by the accelerators that would have to be
    reclaimed there, then by `score`.
    """

    def spared(worker, shape):
        unclaimed = worker.reserved.accelerators - worker.covered.accelerators
        left = worker.free.accelerators - shape.accelerators
        lent = max(0, unclaimed - left)
        return (
            lent - max(0, unclaimed - worker.free.accelerators),
            score(worker, shape),
        )

    return spared


class ShapeMix:
    """The accelerators per member of the latest arrivals."""

    def __init__(self):
        self._recent = collections.deque(maxlen=MIX_WINDOW)
        self._counts = collections.Counter()

    def observe(self, accelerators):
        """Count one arrival."""
        if len(self._recent) == MIX_WINDOW:
            self._counts[self._recent[0]] -= 1
        self._recent.append(accelerators)
        self._counts[accelerators] += 1

    def unusable(self, free):
        """Return the accelerators, of `free`, that the average arrival leaves."""
        lost = 0.0
        for wanted, count in self._counts.items():
            if wanted and count:
                lost += count * (free % wanted if wanted <= free else free)
        return lost / max(1, len(self._recent))


def expected_loss(mix):
    """Return the scoring by fragmentation over an observed `ShapeMix`."""

    def score(worker, shape):
        free = worker.free.accelerators
        after = free - shape.accelerators
        added = mix.unusable(after) - mix.unusable(free)
        return (added, *best_fit(worker, shape))

    return score
