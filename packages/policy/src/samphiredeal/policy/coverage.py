"""Placing a job within its account's guarantee.

A plan lists (slice, members, worker): the slice's place is moved to that
worker first if it is elsewhere. What others were lent there is reclaimed.
"""

import itertools
from typing import NamedTuple

from samphiredeal.model import job as jobs
from samphiredeal.policy.cluster import allows
from samphiredeal.policy.placement import group_of

# How many workers with free room are looked at for one slice.
_REHOME_TRIES = 8


class Part(NamedTuple):
    """Members of a job in one slice of its account, placed on a worker."""

    piece: object
    members: int
    worker: object


def within_guarantee(ledger, job, shape):
    """Return whether the account's unclaimed slices could hold the job."""
    left = job.members
    for piece in ledger.of(job.account):
        if piece.worker is not None:
            left -= shape.copies_in(piece.room)
            if left <= 0:
                return True
    return False


def plan(ledger, cluster, job, shape, admit, rehome=True):
    """Return the parts that place a job within its guarantee, or None.

    Prefers places that displace nobody, moving unclaimed slices to free room
    unless `rehome` is false.
    """
    options = {}
    for piece in ledger.of(job.account):
        copies = shape.copies_in(piece.room)
        if piece.worker is None or not copies:
            continue
        if rehome:
            worker = _place_for(cluster, piece, job, shape, copies, admit)
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
            rank = (displaced(chosen, shape), str(key))
            if best is None or rank < best[0]:
                best = (rank, chosen)
    return best and best[1]


def _place_for(cluster, piece, job, shape, copies, admit):
    """Return the worker on which to use a slice, or None if none is allowed."""

    def fits(worker):
        return allows(job.selector, worker) and admit(worker)

    wanted = shape.times(min(copies, job.members))
    here = piece.worker
    if fits(here) and (piece.claims or wanted.fits(here.free)):
        return here
    if not piece.claims and piece.group is None and job.adjacency == jobs.ANYWHERE:
        for worker in _free_room(cluster, wanted):
            movable = piece.line.shape.fits(worker.unreserved)
            if movable and fits(worker) and allows(piece.line.selector, worker):
                return worker
    return here if fits(here) else _elsewhere(cluster, piece, fits)


def _free_room(cluster, wanted):
    for zone in cluster.zones:
        yield from itertools.islice(cluster.candidates(zone, wanted), _REHOME_TRIES)


def _elsewhere(cluster, piece, fits):
    """Return any worker that could hold an unclaimed slice, or None."""
    if piece.claims or piece.group is not None:
        return None
    for zone in cluster.zones:
        for worker in cluster.usable_in(zone):
            room = piece.line.shape.fits(worker.unreserved)
            if room and fits(worker) and allows(piece.line.selector, worker):
                return worker
    return None


def _choose(parts, members, shape):
    """Take the parts that displace the least, tightest slices first."""

    def rank(part):
        lack = shape.times(part.members).minus(part.worker.free)
        return (max(0, lack.accelerators), part.members, part.piece.key)

    chosen = []
    for part in sorted(parts, key=rank):
        taken = min(part.members, members)
        chosen.append(part._replace(members=taken))
        members -= taken
        if members == 0:
            break
    return chosen


def displaced(parts, shape):
    """Return the accelerators that must be reclaimed for the parts."""
    total = 0
    for part in parts:
        lack = shape.times(part.members).minus(part.worker.free)
        total += max(0, lack.accelerators)
    return total
