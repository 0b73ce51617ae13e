"""Amounts of processors, memory and accelerators.

A shape is the request of a task or the capacity of a worker. Shapes are compared
per resource: a shape fits into another only if every resource does.

    >>> Shape(1000, 2048, 1).fits(Shape(4000, 8192, 8))
    True
"""

from typing import NamedTuple

# Weight of an accelerator relative to processors, in cores.
_ACCELERATOR_CORES = 8


class Shape(NamedTuple):
    """Processors in thousandths of a core, memory in MB, whole accelerators."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @property
    def cores(self):
        """Processors and accelerators as one amount, in cores."""
        return self.cpu_milli / 1000 + self.accelerators * _ACCELERATOR_CORES

    def plus(self, other):
        """Return the sum of both shapes."""
        return Shape(self[0] + other[0], self[1] + other[1], self[2] + other[2])

    def minus(self, other):
        """Return the difference of both shapes; amounts may be negative."""
        return Shape(self[0] - other[0], self[1] - other[1], self[2] - other[2])

    def times(self, count):
        """Return the shape multiplied by `count`."""
        return Shape(self[0] * count, self[1] * count, self[2] * count)

    def fits(self, free):
        """Return whether every resource of this shape fits into `free`."""
        return self[0] <= free[0] and self[1] <= free[1] and self[2] <= free[2]

    def copies_in(self, free):
        """Return how many copies of this shape fit into `free` together."""
        ratios = [have // need for need, have in zip(self, free, strict=True) if need]
        return max(0, min(ratios)) if ratios else 0

    def dominant_share(self, total):
        """Return the dominant resource share of this shape in `total`, 0 to 1."""
        shares = [
            used / whole for used, whole in zip(self, total, strict=True) if whole
        ]
        return max(shares, default=0.0)


NOTHING = Shape()
