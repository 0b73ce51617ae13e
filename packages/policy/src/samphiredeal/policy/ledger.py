"""The guarantee ledger: a witness that every guarantee can be reclaimed.

Each account's guarantee is a set of slices, and every slice has a place on a
worker, its *witness*. The slices on a worker never exceed its capacity. Work
within a guarantee runs in its account's slices; everything else that runs on
the worker must be movable. So an account that asks within its guarantee always
gets the shape, not only the sum: the room of its slices, after moving whatever
was lent there. A slice without claims may change its place at any time.
"""

import heapq

from samphiredeal.model import configuration as config
from samphiredeal.model.shape import NOTHING
from samphiredeal.policy.cluster import allows
from samphiredeal.policy.placement import group_of


class Slice:
    """One unit of a guarantee; `worker` is its witness or None."""

    __slots__ = ("account", "claims", "group", "key", "line", "room", "worker")

    def __init__(self, account, line, key, group):
        self.account = account
        self.line = line
        self.key = key
        self.group = group
        self.room = line.shape
        self.claims = {}
        self.worker = None

    def claim(self, attempt_id, shape):
        """Take a shape of the slice for an attempt."""
        self.claims[attempt_id] = self.claims.get(attempt_id, NOTHING).plus(shape)
        self.room = self.room.minus(shape)

    def unclaim(self, attempt_id):
        """Give back what an attempt took."""
        shape = self.claims.pop(attempt_id, NOTHING)
        self.room = self.room.plus(shape)


class Ledger:
    """The slices of all accounts and their places on a cluster."""

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

    def of(self, account):
        """Return the slices of an account."""
        return self._by_account.get(account, ())

    def unplaced(self):
        """Return the slices that have no place, which breaks their guarantee."""
        return [piece for piece in self._slices.values() if piece.worker is None]

    def configure(self, accounts):
        """Take in the accounts' documents; slices with claims are kept.

        Slices that shrink or vanish lose their claims: that work is no longer
        within a guarantee. Returns the ids of attempts that lost their cover.
        """
        wanted = {}
        for account, document in sorted(accounts.items()):
            for piece in _make_slices(account, document):
                wanted[piece.key] = piece
        uncovered = set()
        for key, piece in list(self._slices.items()):
            if key not in wanted or wanted[key].line != piece.line:
                uncovered |= self._drop(piece)
        for key, piece in wanted.items():
            if key not in self._slices:
                self._slices[key] = piece
                self._by_account.setdefault(piece.account, []).append(piece)
        self.repair()
        return uncovered

    def room_appeared(self):
        """Note that slices without a place may find one at the next repair."""
        self._repair_due = True

    def worker_gone(self, worker):
        """Take the slices off a worker that left or is out.

        The next repair finds other places for them. Claimed slices lose their
        claims too: the work there is over or must move. Returns the ids of the
        attempts that claimed them.
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
        """Repair once for all workers that came or went since the last time."""
        if self._repair_due:
            self.repair()

    def repair(self):
        """Find places for slices that have none, largest and grouped first."""
        self._repair_due = False
        missing = [piece for piece in self.unplaced() if not piece.claims]
        if missing:
            _pack(self, missing, self._usable())

    def release(self, attempt_id):
        """Give back all that an attempt claimed."""
        for piece in self._by_attempt.pop(attempt_id, ()):
            piece.unclaim(attempt_id)

    def claim(self, attempt_id, piece, shape):
        """Take a shape of a slice for an attempt."""
        piece.claim(attempt_id, shape)
        held = self._by_attempt.setdefault(attempt_id, [])
        if piece not in held:
            held.append(piece)

    def move(self, piece, worker):
        """Move an unclaimed slice, swapping with an equal one if need be.

        Returns whether the slice now has its place on the worker.
        """
        if piece.worker is worker:
            return True
        if piece.claims or not allows(piece.line.selector, worker):
            return False
        if piece.line.shape.fits(worker.unreserved):
            self._place(piece, worker)
            return True
        return self._swap(piece, worker)

    def _swap(self, piece, worker):
        """Exchange places with an unclaimed slice of the same shape."""
        old = piece.worker
        if old is None:
            return False
        for other in worker.slices:
            same = other.line.shape == piece.line.shape and not other.claims
            if same and other.group is None and allows(other.line.selector, old):
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
            piece.worker.reserved = piece.worker.reserved.minus(piece.line.shape)
        piece.worker = worker
        if worker is not None:
            worker.slices.add(piece)
            worker.reserved = worker.reserved.plus(piece.line.shape)

    def _drop(self, piece):
        attempts = set(piece.claims)
        for attempt_id in attempts:
            self.release(attempt_id)
        self._place(piece, None)
        del self._slices[piece.key]
        self._by_account[piece.account].remove(piece)
        return attempts


def _make_slices(account, document):
    """Return the slices of an account's document."""
    pieces = []
    for number, line in enumerate(config.guarantees(document)):
        group = (account, number) if line.adjacency != "any" else None
        for index in range(line.count):
            pieces.append(Slice(account, line, (account, number, index), group))
    return pieces


def _pack(ledger, pieces, workers):
    """Place slices: adjacent groups first, then by falling size, tightest fit.

    What finds no place stays unplaced.
    """
    groups = {}
    for piece in pieces:
        groups.setdefault(piece.group or piece.key, []).append(piece)
    rooms = {}
    for group in sorted(groups.values(), key=_group_weight):
        line = group[0].line
        key = (line.selector, line.shape)
        if key not in rooms:
            allowed = [w for w in workers if allows(line.selector, w)]
            rooms[key] = _Rooms(line.shape, allowed)
        if group[0].group is None:
            for piece in group:
                _place_tightest(ledger, piece, rooms[key])
        else:
            _pack_group(ledger, group, rooms[key].workers)


class _Rooms:
    """Workers with room for a shape, tightest first.

    Room only shrinks while slices are packed, so an entry whose rank has changed
    is put back under its new one when it is met.
    """

    def __init__(self, shape, workers):
        self._shape = shape
        self._heap = []
        for worker in workers:
            self.put(worker)
        heapq.heapify(self._heap)

    @property
    def workers(self):
        """The workers, in no order."""
        return [worker for _rank, worker in self._heap]

    def put(self, worker):
        """Add a worker if the shape fits into its room."""
        if self._shape.fits(worker.unreserved):
            heapq.heappush(self._heap, (_room_rank(worker), worker))

    def take(self):
        """Remove and return the worker with the tightest room, or None."""
        while self._heap:
            rank, worker = heapq.heappop(self._heap)
            if rank == _room_rank(worker):
                return worker
            self.put(worker)
        return None


def _room_rank(worker):
    room = worker.unreserved
    return (room.accelerators, room.cpu_milli, worker.name)


def _group_weight(group):
    first = group[0]
    alone = first.group is None
    size = first.line.shape
    return (alone, -size.accelerators, -size.memory_mb, -size.cpu_milli, first.key)


def _pack_group(ledger, group, fitting):
    """Place slices that belong together within one rack or zone."""
    line = group[0].line
    areas = {}
    for worker in fitting:
        area = areas.setdefault(group_of(worker, line.adjacency), [])
        area.append((worker, line.shape.copies_in(worker.unreserved)))
    settled = [p for p in ledger.of(group[0].account) if p.group == group[0].group]
    anchors = {
        group_of(p.worker, line.adjacency) for p in settled if p.worker is not None
    }
    best = None
    for key, area in areas.items():
        room = sum(copies for _, copies in area)
        if room >= len(group) and (not anchors or key in anchors):
            best = min(best, (room, str(key), key)) if best else (room, str(key), key)
    if best is None:
        return
    rooms = _Rooms(line.shape, [worker for worker, _ in areas[best[2]]])
    for piece in group:
        _place_tightest(ledger, piece, rooms)


def _place_tightest(ledger, piece, rooms):
    """Place a slice where the least stays unreserved, if it fits anywhere."""
    worker = rooms.take()
    if worker is not None:
        ledger._place(piece, worker)
        rooms.put(worker)
