"""Reservations: how a large gang gets room although small work keeps arriving.

A job that has waited for a bounded time gets a reservation on the workers where
the least work would be lost. Until the reservation is due, only work that is
expected to end before may start there; when it is due, what is left is moved.
"""

from samphiredeal.policy.cluster import allows
from samphiredeal.policy.placement import group_of
from samphiredeal.policy.reclaim import lost_work

# A job that no room was found for in this time gets a reservation.
RESERVE_AFTER_S = 900.0
# How long small work may still finish on reserved workers before it is moved.
DRAIN_S = 30.0
# Work started through a reservation is not moved for another before this.
PROTECTED_S = 1800.0
# How long to wait before workers are sought again for a job that got none.
RETRY_S = 60.0
# How many jobs may hold a reservation at a time.
MAX_RESERVATIONS = 2


class Reservation:
    """Workers kept for one job until `due`."""

    def __init__(self, job_id, places, due):
        self.job_id = job_id
        self.places = places
        self.due = due


def choose_workers(cluster, job, shape, attempts, now, admit):
    """Return places for a job on room that could be freed, or None.

    Room counts as free if it is, or if only movable work holds it. The places
    are those whose holders lose the least.
    """
    groups = {}
    for worker in cluster.workers.values():
        if not worker.usable or worker.held_for is not None:
            continue
        if shape.fits(worker.lendable) and admit(worker):
            room = _room(worker, attempts, now)
            copies = shape.copies_in(room)
            if copies and allows(job.selector, worker):
                loss = _loss(worker, attempts, now)
                key = group_of(worker, job.adjacency)
                groups.setdefault(key, []).append((loss / copies, worker.name, copies))
    best = None
    for key, group in groups.items():
        if sum(copies for _, _, copies in group) >= job.members:
            places, loss = _cheapest(group, job.members)
            if best is None or (loss, str(key)) < best[0]:
                best = ((loss, str(key)), places)
    return best and best[1]


def _room(worker, attempts, now):
    room = worker.lendable
    for attempt_id, (shape, covered) in worker.attempts.items():
        if not covered and not may_be_displaced(attempts[attempt_id], now):
            room = room.minus(shape)
    return room


def may_be_displaced(attempt, now):
    """Return whether an attempt may be moved for a reservation."""
    if attempt.covered or not attempt.movable:
        return False
    return attempt.protected_until <= now


def _loss(worker, attempts, now):
    return sum(
        lost_work(attempts[attempt_id], now)
        for attempt_id, (_shape, covered) in worker.attempts.items()
        if not covered
    )


def _cheapest(group, members):
    places, total = {}, 0.0
    for loss, name, copies in sorted(group):
        taken = min(copies, members)
        places[name] = taken
        total += loss * taken
        members -= taken
        if members == 0:
            break
    return places, total
