"""Reservations of workers, which keep large gangs from starving.

Small jobs that keep arriving would otherwise take all capacity that becomes free. A
job that has waited for `RESERVE_AFTER_S` gets a reservation on the workers where the
least work would be lost. Until the reservation is due, only work that is expected to
complete earlier may start there; when it is due, the remaining work is preempted.
"""

from samphiredeal.policy.cluster import allows
from samphiredeal.policy.placement import group_of
from samphiredeal.policy.reclaim import lost_work

# Waiting time after which a job gets a reservation.
RESERVE_AFTER_S = 900.0
# Time for running work to complete on reserved workers before it is preempted.
DRAIN_S = 30.0
# Work started through a reservation is not preempted for uncovered work before this.
PROTECTED_S = 1800.0
# Delay before the search is repeated for a job for which no workers were found.
RETRY_S = 60.0
# Jobs that may hold a reservation at a time.
MAX_RESERVATIONS = 2


class Reservation:
    """Workers reserved for one job until `due`.

    `places` maps the names of the workers to the number of the job's members on each.
    """

    def __init__(self, job_id, places, due):
        self.job_id = job_id
        self.places = places
        self.due = due


def choose_workers(cluster, job, shape, attempts, now, admit):
    """Return places for a job on capacity that could be freed, or None.

    Capacity counts if it is free or held by preemptible work only. The places are
    those where preemption loses the least work.
    """
    groups = {}
    for worker in cluster.workers.values():
        if not worker.usable or worker.held_for is not None:
            continue
        if shape.fits(worker.lendable) and admit(worker):
            freeable = _freeable(worker, attempts, now)
            copies = shape.copies_in(freeable)
            if copies and allows(job.selector, worker):
                loss = _lost_work_on(worker, attempts, now)
                key = group_of(worker, job.adjacency)
                groups.setdefault(key, []).append((loss / copies, worker.name, copies))
    best = None
    for key, group in groups.items():
        if sum(copies for _, _, copies in group) >= job.members:
            places, loss = _places_of_least_loss(group, job.members)
            if best is None or (loss, str(key)) < best[0]:
                best = ((loss, str(key)), places)
    return best and best[1]


def _freeable(worker, attempts, now):
    freeable = worker.lendable
    for attempt_id, (shape, covered) in worker.attempts.items():
        if not covered and not is_preemptible(attempts[attempt_id], now):
            freeable = freeable.minus(shape)
    return freeable


def is_preemptible(attempt, now):
    """Return whether an attempt may be preempted for a reservation."""
    if attempt.covered or not attempt.movable:
        return False
    return attempt.protected_until <= now


def _lost_work_on(worker, attempts, now):
    return sum(
        lost_work(attempts[attempt_id], now)
        for attempt_id, (_shape, covered) in worker.attempts.items()
        if not covered
    )


def _places_of_least_loss(group, members):
    places, total = {}, 0.0
    for loss, name, copies in sorted(group):
        taken = min(copies, members)
        places[name] = taken
        total += loss * taken
        members -= taken
        if members == 0:
            break
    return places, total
