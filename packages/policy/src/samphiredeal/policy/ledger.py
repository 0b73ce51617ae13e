"""Guarantee ledger: reserves a placement for every slice of every guarantee.

Each account's guarantee is a set of slices, and every slice is placed on a worker.
The slices on a worker never exceed its capacity. Covered work runs in its account's
slices; all other work on the worker must be movable. A request within a guarantee can
therefore always be placed in its full shape, not only in the sum of its accelerators:
it gets the free capacity of the account's slices once borrowers there are preempted.
A slice without claims may be moved to another worker at any time.
"""

import heapq

from samphiredeal.model import configuration as config
from samphiredeal.model.shape import NOTHING
from samphiredeal.policy.cluster import allows
from samphiredeal.policy.placement import group_of


class Slice:
    """One unit of a guarantee; `worker` is its reserved placement, or None.

    `free` is the part of the slice that no attempt claims.
    """

    __slots__ = ("account", "claims", "free", "group", "guarantee", "key", "worker")

    def __init__(self, account, guarantee, key, group):
        self.account = account
        self.guarantee = guarantee
        self.key = key
        self.group = group
        self.free = guarantee.shape
        self.claims = {}
        self.worker = None

    def claim(self, attempt_id, shape):
        """Claim a shape of the slice for an attempt."""
        self.claims[attempt_id] = self.claims.get(attempt_id, NOTHING).plus(shape)
        self.free = self.free.minus(shape)

    def unclaim(self, attempt_id):
        """Release what an attempt claimed."""
        shape = self.claims.pop(attempt_id, NOTHING)
        self.free = self.free.plus(shape)


class Ledger:
    """The slices of all accounts and their placement on a cluster."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._slices = {}
        self._by_account = {}
        self._by_attempt = {}
        self._repair_due = False

    @property
    def slices(self):
        """All slices by key."""
        return self._slices

    def slices_of(self, account):
        """Return the slices of an account."""
        return self._by_account.get(account, ())

    def unplaced(self):
        """Return the slices without a placement, whose guarantee is not met."""
        return [piece for piece in self._slices.values() if piece.worker is None]

    def configure(self, accounts):
        """Apply the accounts' documents; unchanged slices keep their claims.

        Claims on changed or removed slices are released: that work is no longer
        covered. Return the ids of the attempts that claimed them.
        """
        wanted = {}
        for account, document in sorted(accounts.items()):
            for piece in _make_slices(account, document):
                wanted[piece.key] = piece
        uncovered = set()
        for key, piece in list(self._slices.items()):
            if key not in wanted or wanted[key].guarantee != piece.guarantee:
                uncovered |= self._drop(piece)
        for key, piece in wanted.items():
            if key not in self._slices:
                self._slices[key] = piece
                self._by_account.setdefault(piece.account, []).append(piece)
        self.repair()
        return uncovered

    def schedule_repair(self):
        """Schedule a repair, because slices without a placement may fit now."""
        self._repair_due = True

    def remove_worker(self, worker):
        """Remove the slices from a worker that left or became unusable.

        The next repair places them elsewhere. Their claims are released, since the
        work there has ended or must move. Return the ids of the attempts that
        claimed them.
        """
        affected = set()
        for piece in list(worker.slices):
            affected |= set(piece.claims)
            for attempt_id in list(piece.claims):
                self.release(attempt_id)
            self._place(piece, None)
        self._repair_due = True
        return affected

    def repair_if_due(self):
        """Repair once for all changes of workers since the last repair."""
        if self._repair_due:
            self.repair()

    def repair(self):
        """Place unplaced slices, grouped ones first, then by decreasing size."""
        self._repair_due = False
        missing = [piece for piece in self.unplaced() if not piece.claims]
        if missing:
            _pack(self, missing, self._usable())

    def release(self, attempt_id):
        """Release all claims of an attempt."""
        for piece in self._by_attempt.pop(attempt_id, ()):
            piece.unclaim(attempt_id)

    def claim(self, attempt_id, piece, shape):
        """Claim a shape of a slice for an attempt."""
        piece.claim(attempt_id, shape)
        claimed = self._by_attempt.setdefault(attempt_id, [])
        if piece not in claimed:
            claimed.append(piece)

    def move(self, piece, worker):
        """Move an unclaimed slice to a worker, swapping it with an equal one if needed.

        Return whether the slice is placed on the worker.
        """
        if piece.worker is worker:
            return True
        if piece.claims or not allows(piece.guarantee.selector, worker):
            return False
        if piece.guarantee.shape.fits(worker.unreserved):
            self._place(piece, worker)
            return True
        return self._swap(piece, worker)

    def _swap(self, piece, worker):
        """Swap placements with an unclaimed slice of the same shape on the worker."""
        old = piece.worker
        if old is None:
            return False
        for other in worker.slices:
            same = other.guarantee.shape == piece.guarantee.shape and not other.claims
            if same and other.group is None and allows(other.guarantee.selector, old):
                self._place(other, None)
                self._place(piece, worker)
                self._place(other, old)
                return True
        return False

    def _usable(self):
        return [w for w in self._cluster.workers.values() if w.usable]

    def _place(self, piece, worker):
        if piece.worker is not None:
            piece.worker.slices.discard(piece)
            piece.worker.reserved = piece.worker.reserved.minus(piece.guarantee.shape)
        piece.worker = worker
        if worker is not None:
            worker.slices.add(piece)
            worker.reserved = worker.reserved.plus(piece.guarantee.shape)

    def _drop(self, piece):
        attempts = set(piece.claims)
        for attempt_id in attempts:
            self.release(attempt_id)
        self._place(piece, None)
        del self._slices[piece.key]
        self._by_account[piece.account].remove(piece)
        return attempts


def _make_slices(account, document):
    """Return a `Slice` for each unit of an account's guarantees.

    `document` is the account's configuration.
    """
    pieces = []
    for number, guarantee in enumerate(config.guarantees(document)):
        group = (account, number) if guarantee.adjacency != "any" else None
        for index in range(guarantee.count):
            pieces.append(Slice(account, guarantee, (account, number, index), group))
    return pieces


def _pack(ledger, pieces, workers):
    """Place slices: adjacent groups first, then by decreasing size, best fit.

    Slices that fit nowhere stay unplaced.
    """
    groups = {}
    for piece in pieces:
        groups.setdefault(piece.group or piece.key, []).append(piece)
    heaps = {}
    for group in sorted(groups.values(), key=_packing_rank):
        guarantee = group[0].guarantee
        key = (guarantee.selector, guarantee.shape)
        if key not in heaps:
            allowed = [w for w in workers if allows(guarantee.selector, w)]
            heaps[key] = _WorkerHeap(guarantee.shape, allowed)
        if group[0].group is None:
            for piece in group:
                _place_tightest(ledger, piece, heaps[key])
        else:
            _pack_group(ledger, group, heaps[key].workers)


class _WorkerHeap:
    """Workers with unreserved capacity for a shape, least capacity first.

    Capacity only shrinks while slices are packed, so an entry whose rank is outdated
    is pushed again under its new rank when it is popped.
    """

    def __init__(self, shape, workers):
        self._shape = shape
        self._heap = []
        for worker in workers:
            self.push(worker)
        heapq.heapify(self._heap)

    @property
    def workers(self):
        """The workers, in no particular order."""
        return [worker for _rank, worker in self._heap]

    def push(self, worker):
        """Add a worker if the shape fits into its unreserved capacity."""
        if self._shape.fits(worker.unreserved):
            heapq.heappush(self._heap, (_capacity_rank(worker), worker))

    def pop_tightest(self):
        """Remove and return the worker with the least capacity, or None."""
        while self._heap:
            rank, worker = heapq.heappop(self._heap)
            if rank == _capacity_rank(worker):
                return worker
            self.push(worker)
        return None


def _capacity_rank(worker):
    unreserved = worker.unreserved
    return (unreserved.accelerators, unreserved.cpu_milli, worker.name)


def _packing_rank(group):
    first = group[0]
    ungrouped = first.group is None
    size = first.guarantee.shape
    return (ungrouped, -size.accelerators, -size.memory_mb, -size.cpu_milli, first.key)


def _pack_group(ledger, group, fitting):
    """Place the slices of a group within one adjacency area, such as a rack or zone."""
    guarantee = group[0].guarantee
    areas = {}
    for worker in fitting:
        area = areas.setdefault(group_of(worker, guarantee.adjacency), [])
        area.append((worker, guarantee.shape.copies_in(worker.unreserved)))
    siblings = [
        p for p in ledger.slices_of(group[0].account) if p.group == group[0].group
    ]
    occupied_areas = {
        group_of(p.worker, guarantee.adjacency)
        for p in siblings
        if p.worker is not None
    }
    best = None
    for key, area in areas.items():
        total = sum(copies for _, copies in area)
        if total >= len(group) and (not occupied_areas or key in occupied_areas):
            best = min(best, (total, str(key), key)) if best else (total, str(key), key)
    if best is None:
        return
    heap = _WorkerHeap(guarantee.shape, [worker for worker, _ in areas[best[2]]])
    for piece in group:
        _place_tightest(ledger, piece, heap)


def _place_tightest(ledger, piece, heap):
    """Place a slice on the worker with the least unreserved capacity, if any fits."""
    worker = heap.pop_tightest()
    if worker is not None:
        ledger._place(piece, worker)
        heap.push(worker)
