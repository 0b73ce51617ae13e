"""Preemption of other work for urgent units.

Victims are chosen by the work lost when they are stopped. A checkpoint is written at
a stop, so work that can be resumed costs little. Stopping one member of a gang stops
all of it.
"""

from typing import NamedTuple

from samphiredeal.policy.graphs import fitting
from samphiredeal.policy.graphs.state import LISTED, RESUME_COST_S

# Preempting urgent work of an account beyond its guarantee is a last resort.
_URGENT_COST_FACTOR = 10.0
# Weight of the time that urgent work takes against work that is lost: in time it has
# about this many times the value that it has when it is late.
_URGENT_TIME_FACTOR = 3.0
# Runs that have reached this percentage are about to free their capacity.
_NEARLY_DONE_PERCENT = 90
# How long work within its account's guarantee waits for them. Together with a stop and
# a start it has to stay below the 2.7 s within which such work must begin.
_NEARLY_DONE_WAIT_S = 0.8
# A stop takes 0.9 s at most. A run that is still there after this time is not expected
# to end; other work is preempted instead.
STOP_OVERDUE_S = 1.2
# A lasting task that is at work reports this percentage.
_AT_WORK_PERCENT = 100


def member_cores(unit):
    """Return the resources of one member, in cores."""
    return unit.spec.shape.cores


def required_core_s(unit):
    """Return the core-seconds that a unit is expected to take."""
    return member_cores(unit) * unit.count * unit.expected_s


def value_in_time(unit):
    """Return how many core-seconds of other work it is worth that a job ends in time.

    An urgent job that does has about this many times the value of a late one.
    """
    return _URGENT_TIME_FACTOR * required_core_s(unit)


def lost_core_s(unit, now):
    """Return the core-seconds of work lost if the unit is stopped now.

    A lasting task has no result to lose, only the time to restart.
    """
    if unit.spec.lasting:
        return member_cores(unit) * len(unit.placements) * RESUME_COST_S
    total_s = 0.0
    for placement in unit.placements.values():
        if placement.running_since is None:
            continue
        worked_s = now - placement.running_since
        if unit.spec.checkpointing:
            worked_s = min(worked_s, RESUME_COST_S)
        # After a takeover only the progress shows the work done before it.
        total_s += max(worked_s, placement.unsaved_s)
    return member_cores(unit) * total_s


def preemption_rule(unit, covered_jobs, now):
    """Return `may_preempt(victim, chosen)` for an urgent unit.

    It returns whether the victim may be stopped in addition to the `chosen` units. A
    guarantee holds against all work that is not within one itself: other accounts only
    borrow what is idle. Urgent work beyond its guarantee preempts no lasting work, but
    filling tasks, which only use what others leave.
    """
    is_covered = unit.job.id in covered_jobs
    waited_s = now - (now if unit.ready_since is None else unit.ready_since)
    spares_nearly_done = not is_covered or waited_s < _NEARLY_DONE_WAIT_S

    def may_preempt(victim, chosen):
        if victim.done or victim.job.is_held or not may_be_away(victim, chosen):
            return False
        if victim.spec.lasting and not (is_covered or victim.spec.fills):
            return False
        if victim.job.record.priority > unit.job.record.priority:
            return not (spares_nearly_done and _is_nearly_done(victim))
        return is_covered and victim.job.urgent and victim.job.id not in covered_jobs

    return may_preempt


def may_be_away(victim, chosen):
    """Return whether a step tolerates that this lasting task is stopped.

    Unless the step sets a limit, any number of its tasks may be away.
    """
    limit = victim.spec.may_be_away
    if not limit or not victim.spec.lasting or not _is_at_work(victim):
        return True
    away = sum(
        1
        for other in victim.job.units.values()
        if other is not victim
        and (other.occurrence, other.step) == (victim.occurrence, victim.step)
        and (other in chosen or not _is_at_work(other))
    )
    return away < limit


def _is_at_work(unit):
    placements = unit.placements.values()
    return bool(placements) and all(
        p.status == LISTED and p.percent >= _AT_WORK_PERCENT and not p.stopping
        for p in placements
    )


def _is_nearly_done(unit):
    """Return whether a unit will soon end by itself; a lasting task never does."""
    placements = unit.placements.values()
    if unit.spec.lasting or not placements:
        return False
    return all(p.percent >= _NEARLY_DONE_PERCENT for p in placements)


def is_stop_overdue(placement, now):
    """Return whether a run has not stopped in due time after it was ordered to."""
    ordered_at = placement.stop_ordered_at
    return ordered_at is not None and now - ordered_at > STOP_OVERDUE_S


class Reclaim(NamedTuple):
    """Places for a unit and the victims to stop for it.

    `cost` is the work lost, `score` that and the time that the unit takes there, both
    in core-seconds.
    """

    score: float
    cost: float
    places: dict
    victims: list


def find_victims(unit, workers, may_preempt, remote_allowed, now):
    """Return the `Reclaim` that lets the whole unit start soon at least cost, or None.

    `may_preempt(victim, chosen)` returns whether a unit may be stopped in addition to
    those already chosen. Places where the unit takes longer are used only if
    `remote_allowed`.
    """
    best = None
    for group in fitting.preferred_groups(unit, workers):
        found = _find_victims_in(unit, group, may_preempt, now)
        if found is not None and (best is None or found.score < best.score):
            best = found
    if best is None and remote_allowed:
        best = _find_victims_in(unit, workers, may_preempt, now)
    return best


def _find_victims_in(unit, workers, may_preempt, now):
    """Return the `Reclaim` within a group of workers, or None.

    Greedily adds the cheapest next member; units already chosen cost nothing more.
    """
    free_by_worker = {
        worker.name: free_after_stops(unit, worker, now) for worker in workers
    }
    places, victims, lost, slowness = {}, {}, 0.0, 0.0
    for _member in range(unit.count):
        best = None
        for worker in workers:
            if places.get(worker.name, 0) >= fitting.spread_capacity(unit, worker):
                continue
            option = _next_member(
                unit, worker, free_by_worker, victims, may_preempt, now
            )
            if option is None:
                continue
            cost, chosen = option
            extra = _slowness_cost(unit, worker)
            if best is None or cost + extra < sum(best[:2]):
                best = (cost, extra, chosen, worker)
        if best is None:
            return None
        cost, extra, chosen, worker = best
        for victim in chosen:
            _release(victim, free_by_worker)
            victims[id(victim)] = victim
        free_by_worker[worker.name] = free_by_worker[worker.name].minus(unit.demand)
        places[worker.name] = places.get(worker.name, 0) + 1
        lost += cost
        # A gang takes as long as its slowest member.
        slowness = max(slowness, extra)
    score = lost + slowness * unit.count
    return Reclaim(score, lost, places, list(victims.values()))


def _slowness_cost(unit, worker):
    """Return the cost of the time that a member takes on the worker."""
    run_s = unit.expected_s * fitting.run_cost(unit, worker, 1.0)
    return _URGENT_TIME_FACTOR * member_cores(unit) * run_s


def free_after_stops(unit, worker, now):
    """Return the free capacity of a worker once its stopping runs have ended."""
    free = worker.capacity_for(unit)
    for placement in worker.placements.values():
        if placement.stopping and not is_stop_overdue(placement, now):
            free = free.plus(placement.shape)
    return free


def _next_member(unit, worker, free_by_worker, victims, may_preempt, now):
    """Return (cost, victims) to fit one more member on the worker, or None.

    Units that would interfere with the member have to go, whatever they free.
    """
    free = free_by_worker[worker.name]
    units = {id(p.unit): p.unit for p in worker.placements.values() if not p.stopping}
    candidates = [one for key, one in units.items() if key not in victims]
    chosen, cost = [], 0.0
    for victim in candidates:
        if not fitting.interferes(unit, victim):
            continue
        if not may_preempt(victim, (*victims.values(), *chosen)):
            return None
        free = _free_without(victim, worker, free)
        chosen.append(victim)
        cost += _victim_cost(victim, now)
    if unit.demand.fits(free):
        return cost, chosen
    for victim in sorted(candidates, key=lambda one: _victim_cost(one, now)):
        freed = [p for p in victim.placements.values() if p.worker == worker.name]
        if victim in chosen or not any(
            _reduces_shortage(unit, free, placement) for placement in freed
        ):
            continue
        if not may_preempt(victim, (*victims.values(), *chosen)):
            continue
        free = _free_without(victim, worker, free)
        chosen.append(victim)
        cost += _victim_cost(victim, now)
        if unit.demand.fits(free):
            return cost, chosen
    return None


def _free_without(victim, worker, free):
    """Return the free capacity of a worker once a unit's runs there have ended."""
    for placement in victim.placements.values():
        if placement.worker == worker.name:
            free = free.plus(placement.shape)
    return free


def _reduces_shortage(unit, free, placement):
    """Return whether a placement uses a resource that the unit still lacks."""
    return any(
        need > have and used > 0
        for need, have, used in zip(unit.demand, free, placement.shape, strict=True)
    )


def _victim_cost(victim, now):
    cost = lost_core_s(victim, now)
    return cost * _URGENT_COST_FACTOR + 1.0 if victim.job.urgent else cost


def _release(victim, free_by_worker):
    for placement in victim.placements.values():
        if placement.worker in free_by_worker and not placement.stopping:
            free = free_by_worker[placement.worker]
            free_by_worker[placement.worker] = free.plus(placement.shape)
