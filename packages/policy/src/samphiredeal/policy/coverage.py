"""Placement of a job within its account's guarantee.

A plan lists (slice, members, worker): a slice placed on another worker is first moved
to that worker. Borrowers there are preempted.
"""

import itertools
from typing import NamedTuple

from samphiredeal.model import job as jobs
from samphiredeal.policy.cluster import allows
from samphiredeal.policy.placement import group_of

# Workers with free capacity examined in each zone when relocating a slice.
_RELOCATION_CANDIDATES = 8


class Part(NamedTuple):
    """Members of a job in one slice of its account, placed on a worker."""

    piece: object
    members: int
    worker: object


def within_guarantee(ledger, job, shape):
    """Return whether the account's unclaimed slices could hold the job."""
    left = job.members
    for piece in ledger.slices_of(job.account):
        if piece.worker is not None:
            left -= shape.copies_in(piece.free)
            if left <= 0:
                return True
    return False


def plan(ledger, cluster, job, shape, admit, relocate=True):
    """Return the parts that place a job within its guarantee, or None.

    Places that need no preemption are preferred. Unclaimed slices are moved to free
    capacity unless `relocate` is false.
    """
    options = {}
    for piece in ledger.slices_of(job.account):
        copies = shape.copies_in(piece.free)
        if piece.worker is None or not copies:
            continue
        if relocate:
            worker = _worker_for(cluster, piece, job, shape, copies, admit)
        else:
            worker = piece.worker
            if not (allows(job.selector, worker) and admit(worker)):
                continue
        if worker is not None:
            key = group_of(worker, job.adjacency)
            options.setdefault(key, []).append(Part(piece, copies, worker))
    best = None
    for key, parts in options.items():
        if sum(part.members for part in parts) >= job.members:
            chosen = _choose(parts, job.members, shape)
            rank = (accelerators_to_preempt(chosen, shape), str(key))
            if best is None or rank < best[0]:
                best = (rank, chosen)
    return best and best[1]


def _worker_for(cluster, piece, job, shape, copies, admit):
    """Return the worker on which to use a slice, or None if no worker is allowed."""

    def fits(worker):
        return allows(job.selector, worker) and admit(worker)

    wanted = shape.times(min(copies, job.members))
    here = piece.worker
    if fits(here) and (piece.claims or wanted.fits(here.free)):
        return here
    if not piece.claims and piece.group is None and job.adjacency == jobs.ANYWHERE:
        for worker in _workers_with_free(cluster, wanted):
            slice_fits = piece.guarantee.shape.fits(worker.unreserved)
            if slice_fits and fits(worker) and allows(piece.guarantee.selector, worker):
                return worker
    return here if fits(here) else _any_other_worker(cluster, piece, fits)


def _workers_with_free(cluster, wanted):
    for zone in cluster.zones:
        yield from itertools.islice(
            cluster.candidates(zone, wanted), _RELOCATION_CANDIDATES
        )


def _any_other_worker(cluster, piece, fits):
    """Return any worker that could hold an unclaimed slice, or None."""
    if piece.claims or piece.group is not None:
        return None
    for zone in cluster.zones:
        for worker in cluster.usable_in(zone):
            slice_fits = piece.guarantee.shape.fits(worker.unreserved)
            if slice_fits and fits(worker) and allows(piece.guarantee.selector, worker):
                return worker
    return None


def _choose(parts, members, shape):
    """Choose the parts that need the least preemption, tightest slices first."""

    def rank(part):
        shortage = shape.times(part.members).minus(part.worker.free)
        return (max(0, shortage.accelerators), part.members, part.piece.key)

    chosen = []
    for part in sorted(parts, key=rank):
        taken = min(part.members, members)
        chosen.append(part._replace(members=taken))
        members -= taken
        if members == 0:
            break
    return chosen


def accelerators_to_preempt(parts, shape):
    """Return the accelerators that must be freed by preemption for the parts."""
    total = 0
    for part in parts:
        shortage = shape.times(part.members).minus(part.worker.free)
        total += max(0, shortage.accelerators)
    return total
