"""Placement of units in free capacity: all members at once or none.

Places are ``{worker name: member count}``.
"""

from typing import NamedTuple

from samphiredeal.model.shape import NOTHING, Shape
from samphiredeal.policy.graphs import health

# Cost of a failure score of 1, in run times; high enough to prefer any other place.
_FAILURE_COST = 3.0
# Cost of capacity left unused on a worker, in run times. A tie-breaker that keeps
# large free blocks for large members.
_PACKING_WEIGHT = 0.15
# Speed at which a fast worker that is left to urgent work counts for other work: an
# average worker is taken instead, but not a slow one.
_SPARED_SPEED = 0.9


def is_allowed(state, unit, worker):
    """Return whether the unit may run on the worker in its present state."""
    return is_eligible(state, unit, worker) and not _would_interfere(unit, worker)


def is_eligible(state, unit, worker):
    """Return whether the unit may run on the worker once it is free."""
    return (
        worker.reachable
        and not worker.leaving
        and not worker.is_closed
        and worker.service == unit.job.record.service
        and worker.zone not in state.zones_out
        and (not unit.spec.label or unit.spec.label in worker.labels)
        and not state.tickets.is_refused(unit, worker)
    )


def _would_interfere(unit, worker):
    """Return whether the unit and the tasks on the worker would interfere."""
    if any(interferes(unit, p.unit) for p in worker.placements.values()):
        return True
    if not worker.held_runs:
        return False
    steps = worker.held_runs.values()
    return any(_interferes_with(unit, step) for step in steps if step is not None)


def is_sensitive(unit):
    """Return whether there is work that the unit cannot share a worker with."""
    return unit.spec.fills or bool(unit.spec.target_latency_ms)


def interferes(unit, other):
    """Return whether tasks of two units disturb each other on one worker.

    Work that fills unused processors slows tasks with a latency target.
    """
    return _interferes_with(unit, other.spec)


def _interferes_with(unit, step):
    if unit.spec.fills:
        return bool(step.target_latency_ms)
    return bool(unit.spec.target_latency_ms) and step.fills


def spread_capacity(unit, worker):
    """Return how many more members the spread limit allows on the worker."""
    limit = unit.spec.spread_limit
    if not limit:
        return unit.count
    here = sum(
        1
        for placement in worker.placements.values()
        if placement.unit.job is unit.job
        and placement.unit.occurrence == unit.occurrence
        and placement.unit.step == unit.step
    )
    return max(0, limit - here)


def copies_in(unit, worker, capacity):
    """Return how many members fit into `capacity` on the worker."""
    copies = unit.count
    if any(unit.demand):
        copies = unit.demand.copies_in(Shape(*(max(0, amount) for amount in capacity)))
    return min(copies, spread_capacity(unit, worker), unit.count)


def slowness(unit, worker, far_factor):
    """Return how long a run takes, relative to an average worker near its data."""
    far = unit.spec.data_rack and unit.spec.data_rack not in worker.labels
    return (far_factor if far else 1.0) / worker.speed


def run_cost(unit, worker, far_factor):
    """Return the cost of the worker in run times, from distance, speed and failures."""
    cost = slowness(unit, worker, far_factor)
    cost += _FAILURE_COST * health.failure_score(worker)
    if worker.name in unit.failed_on:
        cost += _FAILURE_COST
    return cost


def preferred_groups(unit, workers):
    """Return the groups of workers on which the unit runs at full speed.

    A unit with data on a rack, or with members that run fastest on one rack, needs
    a rack that could hold it. Without such a constraint all workers are one group.
    """
    near = workers
    if unit.spec.data_rack:
        near = [one for one in workers if unit.spec.data_rack in one.labels]
    elif not _prefers_one_rack(unit):
        return [workers]
    groups = group_by_rack(near).values() if _prefers_one_rack(unit) else [near]
    return [group for group in groups if could_hold(unit, group)]


def is_constrained(unit):
    """Return whether the unit takes longer in some places than in others."""
    return bool(unit.spec.data_rack) or _prefers_one_rack(unit)


def is_split(unit, places, workers):
    """Return whether members that run fastest on one rack are on several."""
    if not _prefers_one_rack(unit):
        return False
    return len(group_by_rack(workers[name] for name in places)) > 1


def _prefers_one_rack(unit):
    return unit.spec.gang and unit.spec.one_rack and unit.count > 1


def find_places(
    unit, workers, available_on, far_factor, remote_allowed, spared=frozenset()
):
    """Return places for the whole unit in free capacity, or None.

    `workers` are those allowed; `available_on(worker)` returns the capacity to use
    there. Places where the unit takes longer are used only if `remote_allowed`. Those
    on the workers named in `spared` are left to other work if that costs little.
    """

    def cost_on(worker):
        cost = run_cost(unit, worker, far_factor)
        if worker.name in spared:
            cost += 1 / _SPARED_SPEED - 1 / worker.speed
        return cost

    best = None
    for group in preferred_groups(unit, workers):
        found = _find_places_in(unit, group, available_on, cost_on)
        if found is not None and (best is None or found[0] < best[0]):
            best = found
    if best is None and remote_allowed:
        best = _find_places_in(unit, workers, available_on, cost_on)
    return best and best[1]


class CapacityUsage(NamedTuple):
    """Capacity of a set of workers: the part in use and the total."""

    used: Shape
    whole: Shape


def capacity_of(workers):
    """Return the used and total capacity of some workers."""
    used, whole = NOTHING, NOTHING
    for worker in workers:
        used, whole = used.plus(worker.used), whole.plus(worker.capacity)
    return CapacityUsage(used, whole)


def group_by_rack(workers):
    """Return the workers grouped by availability zone and rack."""
    groups = {}
    for worker in workers:
        groups.setdefault((worker.zone, worker.rack), []).append(worker)
    return groups


def _find_places_in(unit, workers, available_on, cost_on):
    """Return (cost, places) within a group of workers, or None."""
    options = []
    for worker in workers:
        free = available_on(worker)
        copies = copies_in(unit, worker, free)
        if copies:
            left = free.minus(unit.demand.times(copies))
            waste = left.dominant_share(worker.capacity)
            cost = cost_on(worker) + _PACKING_WEIGHT * waste
            options.append((cost, worker.name, copies))
    options.sort()
    places, missing, worst = {}, unit.count, 0.0
    for cost, name, copies in options:
        count = min(copies, missing)
        places[name] = count
        missing -= count
        worst = max(worst, cost)
        if not missing:
            return worst, places
    return None


def could_hold(unit, workers):
    """Return whether the whole unit would fit on the workers if they were empty."""
    copies = sum(copies_in(unit, worker, worker.capacity) for worker in workers)
    return copies >= unit.count
