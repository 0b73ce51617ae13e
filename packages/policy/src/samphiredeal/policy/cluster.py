"""The workers and their free capacity, with indexes updated on each change.

A worker's `free` is its capacity minus all attempts placed on it, including those that
wait for preempted attempts to stop, so it can be negative until these have stopped.
"""

from sortedcontainers import SortedDict, SortedList

from samphiredeal.model import selector
from samphiredeal.model.shape import NOTHING


class Worker:
    """One worker; `reserved` is the sum of the guarantee slices it holds."""

    __slots__ = (
        "attempts",
        "capacity",
        "covered",
        "free",
        "held_for",
        "incarnation",
        "labels",
        "name",
        "rack",
        "reserved",
        "slices",
        "usable",
        "zone",
    )

    def __init__(self, info, labels):
        self.name = info.name
        self.zone = info.zone
        self.rack = info.rack
        self.capacity = info.capacity
        self.incarnation = info.incarnation
        self.labels = labels
        self.free = info.capacity
        self.covered = NOTHING
        self.reserved = NOTHING
        self.slices = set()
        self.attempts = {}
        self.usable = True
        self.held_for = None

    @property
    def unreserved(self):
        """The capacity not held by guarantee slices."""
        return self.capacity.minus(self.reserved)

    @property
    def lendable(self):
        """The capacity not used by covered work."""
        return self.capacity.minus(self.covered)


class Cluster:
    """All workers of a scheduler, indexed by zone and free accelerators."""

    def __init__(self):
        self._workers = {}
        self._by_zone = SortedDict()
        self._capacity = NOTHING
        self._version = 0
        self._usable_accelerators = 0
        self._free_accelerators = {}

    @property
    def workers(self):
        """Workers by name."""
        return self._workers

    @property
    def zones(self):
        """The names of zones with usable workers, sorted."""
        return [zone for zone, index in self._by_zone.items() if index]

    @property
    def capacity(self):
        """The total capacity of all usable workers."""
        return self._capacity

    @property
    def version(self):
        """A counter that increases whenever blocked work may fit and is retried."""
        return self._version

    @property
    def free_classes(self):
        """The number of usable workers by their number of free accelerators."""
        return self._free_accelerators

    def add(self, worker):
        """Add a worker."""
        self._workers[worker.name] = worker
        if worker.usable:
            self._index(worker)

    def remove(self, name):
        """Remove a worker and return it, or None."""
        worker = self._workers.pop(name, None)
        if worker is not None and worker.usable:
            self._unindex(worker)
        return worker

    def set_usable(self, worker, usable):
        """Set whether new work may be placed on the worker."""
        if usable != worker.usable:
            if worker.usable:
                self._unindex(worker)
            worker.usable = usable
            if usable:
                self._index(worker)

    def occupy(self, worker, attempt_id, shape, covered):
        """Place a shape of an attempt on the worker."""
        self._set_free(worker, worker.free.minus(shape))
        worker.attempts[attempt_id] = (shape, covered)
        if covered:
            worker.covered = worker.covered.plus(shape)

    def release(self, worker, attempt_id):
        """Remove an attempt from the worker."""
        entry = worker.attempts.pop(attempt_id, None)
        if entry is None:
            return
        shape, covered = entry
        self._set_free(worker, worker.free.plus(shape))
        if covered:
            worker.covered = worker.covered.minus(shape)
        self._version += 1

    def bump_version(self):
        """Cause blocked work to be tried again."""
        self._version += 1

    def candidates(self, zone, shape):
        """Yield usable workers of a zone that a shape fits on, best fit first."""
        index = self._by_zone.get(zone)
        if index is None:
            return
        start = index.bisect_left((shape.accelerators, shape.cpu_milli, ""))
        for _accelerators, _cpu, name in index.islice(start):
            worker = self._workers[name]
            if shape.fits(worker.free):
                yield worker

    def usable_in(self, zone):
        """Yield the usable workers of a zone."""
        for _accelerators, _cpu, name in self._by_zone.get(zone, ()):
            yield self._workers[name]

    def _set_free(self, worker, free):
        if worker.usable:
            self._by_zone[worker.zone].remove(_index_key(worker))
            self._count_worker(worker.free.accelerators, -1)
        worker.free = free
        if worker.usable:
            self._by_zone[worker.zone].add(_index_key(worker))
            self._count_worker(free.accelerators, 1)

    def _count_worker(self, accelerators, change):
        left = self._free_accelerators.get(accelerators, 0) + change
        if left:
            self._free_accelerators[accelerators] = left
        else:
            del self._free_accelerators[accelerators]

    def _index(self, worker):
        self._by_zone.setdefault(worker.zone, SortedList()).add(_index_key(worker))
        self._capacity = self._capacity.plus(worker.capacity)
        self._count_worker(worker.free.accelerators, 1)
        self._version += 1

    def _unindex(self, worker):
        self._by_zone[worker.zone].remove(_index_key(worker))
        self._capacity = self._capacity.minus(worker.capacity)
        self._count_worker(worker.free.accelerators, -1)


def _index_key(worker):
    return (worker.free.accelerators, worker.free.cpu_milli, worker.name)


def allows(text, worker):
    """Return whether a selector matches the worker; an empty one always does."""
    return not text or selector.matches(selector.parse(text), worker.labels)
