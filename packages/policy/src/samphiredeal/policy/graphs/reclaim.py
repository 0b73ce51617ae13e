"""Making room for urgent work by moving other work aside.

Victims are chosen by the work that stopping them throws away: a checkpoint is
written at a stop, so work that can be resumed costs little. Stopping one
member of a gang stops all of it.
"""

from samphiredeal.policy.graphs import fitting
from samphiredeal.policy.graphs.state import RESUME_COST_S

# What an accelerator counts for beside processors, in cores.
_ACCELERATOR_CORES = 8
# Displacing urgent work of an account beyond its guarantee is a last resort.
_URGENT_COST = 10.0


def _cores(unit):
    """Return what one member takes, in cores."""
    shape = unit.spec.shape
    return shape.cpu_milli / 1000 + shape.accelerators * _ACCELERATOR_CORES


def own_work(unit):
    """Return the core-seconds that a unit is said to take."""
    return _cores(unit) * unit.count * unit.estimate_s


def lost_work(unit, now):
    """Return the core-seconds that stopping a unit now throws away."""
    total_s = 0.0
    for placement in unit.placements.values():
        if placement.running_since is None:
            continue
        worked_s = now - placement.running_since
        if unit.spec.checkpointing:
            worked_s = min(worked_s, RESUME_COST_S)
        # A scheduler that took over knows of the time before only by the progress.
        total_s += max(worked_s, placement.unsaved_s)
    return _cores(unit) * total_s


def find(unit, workers, may_displace, far_allowed, now):
    """Return (cost, places, victims) that let the whole unit start soon, or None.

    `may_displace(victim)` says which units may be stopped. Only if `far_allowed`
    may the unit run where it takes longer.
    """
    best = None
    for group in fitting.near_groups(unit, workers):
        found = _find_in(unit, group, may_displace, now)
        if found is not None and (best is None or found[0] < best[0]):
            best = found
    if best is None and far_allowed:
        best = _find_in(unit, workers, may_displace, now)
    return best


def _find_in(unit, workers, may_displace, now):
    """Return (cost, places, victims) within a group of workers, or None.

    Takes the cheapest next member each time; units already chosen are free.
    """
    rooms = {worker.name: _room_when_stopped(unit, worker) for worker in workers}
    places, victims, total = {}, {}, 0.0
    for _member in range(unit.count):
        best = None
        for worker in workers:
            if places.get(worker.name, 0) >= fitting.spread_room(unit, worker):
                continue
            step = _next_member(unit, worker, rooms, victims, may_displace, now)
            if step is not None and (best is None or step[0] < best[0]):
                best = (*step, worker)
        if best is None:
            return None
        cost, chosen, worker = best
        for victim in chosen:
            _give_back(victim, rooms)
            victims[id(victim)] = victim
        rooms[worker.name] = rooms[worker.name].minus(unit.room)
        places[worker.name] = places.get(worker.name, 0) + 1
        total += cost
    return total, places, list(victims.values())


def _room_when_stopped(unit, worker):
    """Return the room on a worker once all that is being stopped is gone."""
    room = worker.room_for(unit)
    for placement in worker.placements.values():
        if placement.stopping:
            room = room.plus(placement.shape)
    return room


def _next_member(unit, worker, rooms, victims, may_displace, now):
    """Return (cost, victims) to fit one more member on the worker, or None."""
    room = rooms[worker.name]
    chosen, cost = [], 0.0
    if unit.room.fits(room):
        return fitting.run_cost(unit, worker, 1.0) * 1e-3, chosen
    candidates = {
        id(placement.unit): placement.unit
        for placement in worker.placements.values()
        if not placement.stopping
        and id(placement.unit) not in victims
        and may_displace(placement.unit)
    }
    for victim in sorted(candidates.values(), key=lambda one: _cost(one, now)):
        freed = [p for p in victim.placements.values() if p.worker == worker.name]
        if not any(_helps(unit, room, placement) for placement in freed):
            continue
        for placement in freed:
            room = room.plus(placement.shape)
        chosen.append(victim)
        cost += _cost(victim, now)
        if unit.room.fits(room):
            return cost, chosen
    return None


def _helps(unit, room, placement):
    """Return whether a placement takes anything of which the room is short."""
    return any(
        need > have and taken > 0
        for need, have, taken in zip(unit.room, room, placement.shape, strict=True)
    )


def _cost(victim, now):
    cost = lost_work(victim, now)
    return cost * _URGENT_COST + 1.0 if victim.job.urgent else cost


def _give_back(victim, rooms):
    for placement in victim.placements.values():
        if placement.worker in rooms and not placement.stopping:
            room = rooms[placement.worker]
            rooms[placement.worker] = room.plus(placement.shape)
