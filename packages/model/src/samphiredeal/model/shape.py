"""Amounts of processors, memory and accelerators.

A shape is what a task asks for and what a worker has. Shapes are compared
per resource: a shape fits into another only if every resource does.

    >>> Shape(1000, 2048, 1).fits(Shape(4000, 8192, 8))
    True
"""

from typing import NamedTuple


class Shape(NamedTuple):
    """Processors in thousandths of a core, memory in MB, whole accelerators."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other):
        """Return the sum of both shapes."""
        return Shape(self[0] + other[0], self[1] + other[1], self[2] + other[2])

    def minus(self, other):
        """Return what is left of this shape without the other; may be negative."""
        return Shape(self[0] - other[0], self[1] - other[1], self[2] - other[2])

    def times(self, count):
        """Return the shape taken `count` times."""
        return Shape(self[0] * count, self[1] * count, self[2] * count)

    def fits(self, room):
        """Return whether every resource of this shape fits into `room`."""
        return self[0] <= room[0] and self[1] <= room[1] and self[2] <= room[2]

    def copies_in(self, room):
        """Return how many copies of this shape fit into `room` together."""
        ratios = [have // need for need, have in zip(self, room, strict=True) if need]
        return max(0, min(ratios)) if ratios else 0

    def dominant_share(self, total):
        """Return the largest share of `total` that this shape takes, 0 to 1."""
        shares = [have / of for have, of in zip(self, total, strict=True) if of]
        return max(shares, default=0.0)


NOTHING = Shape()
