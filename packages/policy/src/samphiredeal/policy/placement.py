"""Placement of all members of a job, or of none (gang placement).

Places are a mapping of worker name to the number of members placed on it.
"""

from samphiredeal.model import job as jobs
from samphiredeal.policy.cluster import allows

# Fitting workers scored for each number of free accelerators.
_SCORED_PER_CLASS = 4


def find_places(cluster, job, shape, score, admit):
    """Return places for a job on free capacity, or None.

    `shape` is the corrected shape of one member; `admit(worker)` returns whether
    the job may be placed on the worker.
    """

    def admitted(worker):
        return allows(job.selector, worker) and admit(worker)

    if job.adjacency == jobs.SAME_WORKER:
        total = shape.times(job.members)
        worker = _best_worker(cluster, total, score, admitted)
        return worker and {worker.name: job.members}
    if job.members == 1:
        worker = _best_worker(cluster, shape, score, admitted)
        return worker and {worker.name: 1}
    return _spread(cluster, job, shape, admitted)


def _best_worker(cluster, shape, score, admitted):
    """Return the fitting worker with the lowest score, or None."""
    best, best_score = None, None
    for zone in cluster.zones:
        for worker in _sampled(cluster.candidates(zone, shape), admitted):
            worker_score = score(worker, shape)
            if best is None or worker_score < best_score:
                best, best_score = worker, worker_score
    return best


def _sampled(candidates, admitted):
    """Yield at most `_SCORED_PER_CLASS` admitted workers per free accelerator count."""
    yielded, free = 0, None
    for worker in candidates:
        if worker.free.accelerators != free:
            yielded, free = 0, worker.free.accelerators
        if yielded < _SCORED_PER_CLASS and admitted(worker):
            yielded += 1
            yield worker


def _spread(cluster, job, shape, admitted):
    """Return places for a gang on one or more adjacent workers, or None."""
    groups = {}
    for zone in cluster.zones:
        for worker in cluster.candidates(zone, shape):
            if admitted(worker):
                key = group_of(worker, job.adjacency)
                copies = shape.copies_in(worker.free)
                groups.setdefault(key, []).append((worker, copies))
    fitting = [
        group for group in groups.values() if sum(n for _, n in group) >= job.members
    ]
    if not fitting:
        return None
    tightest = min(fitting, key=lambda group: sum(n for _, n in group))
    return _fill(tightest, job.members, shape)


def group_of(worker, adjacency):
    """Return the key shared by workers that are adjacent to each other."""
    if adjacency == jobs.SAME_WORKER:
        return worker.name
    if adjacency == jobs.SAME_RACK:
        return (worker.zone, worker.rack)
    return worker.zone if adjacency == jobs.SAME_ZONE else None


def _fill(group, members, shape):
    """Return places for the members, on workers that leave the fewest unused first.

    Unused are the accelerators left free on a worker that holds all members it can;
    among equals, workers that hold the most members come first.
    """

    def rank(entry):
        worker, copies = entry
        return (worker.free.accelerators - copies * shape.accelerators, -copies)

    places = {}
    for worker, copies in sorted(group, key=rank):
        taken = min(copies, members)
        places[worker.name] = taken
        members -= taken
        if members == 0:
            break
    return places


def infeasibility_reason(cluster, job, account_selector=""):
    """Return why the job would not fit even on empty workers, or None if it would.

    Unusable workers count too, since their zones may become usable again.
    """
    allowed = [
        worker
        for worker in cluster.workers.values()
        if allows(job.selector, worker) and allows(account_selector, worker)
    ]
    if not allowed:
        return f"no worker is allowed by selector {job.selector or account_selector!r}"
    groups = {}
    for worker in allowed:
        key = group_of(worker, job.adjacency)
        copies = job.shape.copies_in(worker.capacity)
        groups[key] = groups.get(key, 0) + copies
    key, most = max(groups.items(), key=lambda item: item[1])
    if most >= job.members:
        return None
    where = {jobs.ANYWHERE: "all allowed workers", jobs.SAME_ZONE: f"zone {key}"}.get(
        job.adjacency, f"{job.adjacency} {key}"
    )
    largest = max(worker.capacity.accelerators for worker in allowed)
    return (
        f"{job.members} members of {tuple(job.shape)} within {job.adjacency}: "
        f"{where} holds {most} at most; the largest allowed worker has "
        f"{largest} accelerators"
    )
