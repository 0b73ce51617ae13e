"""Places where work ends sooner than in the free capacity of the moment.

Urgent work has little time to spare, and the fastest workers are often full of work
that could wait or run elsewhere. It then waits for runs that are about to end there, or
takes their places, if the chance that it gains to end in time is worth more than what
others lose. A run that can be resumed and would end late moves to a faster worker once
one has room.
"""

from typing import NamedTuple

from samphiredeal.policy.graphs import fitting, ordering, reclaim
from samphiredeal.policy.graphs.chances import Outlook
from samphiredeal.policy.graphs.state import LISTED

# What another start has to gain at least, as a chance to end in time.
_MIN_GAIN = 0.03
# Times at which awaited capacity is looked for. Work within its account's guarantee
# must begin within 2.7 s, preemption included.
_AWAITED_S = (0.25, 0.5, 0.8)
WAIT_MAX_S = 1.0
# A stop, its report and a start after it usually take less.
DISPLACE_S = 0.3
# How late awaited capacity may become free.
_PATIENCE_S = 0.3
# What a move of a run that can be resumed takes, from its stop until it works again,
# and what it has to gain at least, in seconds and as a share of the time left.
_MOVE_S = 1.0
_MOVE_MIN_GAIN_S = 1.5
_MOVE_MIN_GAIN_SHARE = 0.15
_MOVE_MIN_SPEEDUP = 1.15


class Option(NamedTuple):
    """Where a unit could start instead, and the chance that its job ends in time then.

    `victims` are the units to stop for it, `cost` the work that they lose in
    core-seconds, and `free_in_s` when the places are expected to be free.
    """

    chance: float
    places: dict
    victims: list
    cost: float
    free_in_s: float


def run_s(unit, places, workers, far_factor):
    """Return how long a unit is expected to run at some places."""
    cost = max(fitting.run_cost(unit, workers[name], far_factor) for name in places)
    if fitting.is_split(unit, places, workers):
        cost *= far_factor
    return unit.expected_s * cost


def outlook(unit, places, workers, far_factor, context, delay_s):
    """Return the `Outlook` of a unit that starts at some places after a delay."""
    job = unit.job
    path_s = ordering.remaining_path_s(job.record.spec, unit.step) / job.pace
    return Outlook(
        ordering.age_s(unit, context) + delay_s,
        run_s(unit, places, workers, far_factor),
        # What is left after this step takes as long as on an average worker.
        path_s - unit.expected_s,
        job.record.stretch * ordering.critical_path_s(job, context),
        job.record.target_latency_ms / 1000,
    )


def ends_within(unit, expected_run_s, context, share):
    """Return whether the job ends in a share of its objective, by this run time."""
    limit_s = share * ordering.objective_s(unit.job, context)
    # What is left after this step takes as long as on an average worker.
    rest_s = ordering.remaining_path_s(unit.job.record.spec, unit.step)
    rest_s = rest_s / unit.job.pace - unit.expected_s
    return ordering.age_s(unit, context) + expected_run_s + rest_s <= limit_s


def is_almost_certain(chance):
    """Return whether no other start could gain enough."""
    return chance > 1 - _MIN_GAIN


def best_option(unit, here, options):
    """Return the `Option` that is worth more than to start at once, or None.

    `here` is the chance to end in time of a start at once. The work that others lose
    counts against the value that the job has in time.
    """
    value = reclaim.value_in_time(unit)

    def gain(option):
        return (option.chance - here) * value - option.cost

    options = [one for one in options if one is not None]
    best = max(options, key=gain, default=None)
    if best is None or gain(best) < _MIN_GAIN * value:
        return None
    return best


def find_awaited(unit, workers, chance_at, far_factor, now):
    """Return the best `Option` to wait for runs that are about to end, or None.

    `chance_at(places, delay_s)` returns the chance to end in time.
    """
    usable = list(workers.values())
    best = None
    for wait_s in _AWAITED_S:
        found = fitting.find_places(
            unit,
            usable,
            lambda worker, wait_s=wait_s: _free_within(
                unit, worker, wait_s, far_factor, now
            ),
            far_factor,
            remote_allowed=False,
        )
        if found is None:
            continue
        # They may go on for a while.
        chance = chance_at(found, wait_s + _PATIENCE_S / 2)
        if best is None or chance > best.chance:
            best = Option(chance, found, [], 0.0, wait_s)
    return best


def find_displacing(unit, workers, chance_at, may_preempt, now):
    """Return the `Option` to displace other work, or None if there is none.

    See `reclaim.preemption_rule` for `may_preempt`, and `find_awaited` for `chance_at`.
    """
    found = reclaim.find_victims(unit, list(workers.values()), may_preempt, False, now)
    if found is None or not found.victims:
        return None
    chance = chance_at(found.places, DISPLACE_S)
    return Option(chance, found.places, found.victims, found.cost, DISPLACE_S)


def claim_deadline(free_in_s, unit, now):
    """Return until when a unit waits for places that should be free in some time."""
    latest = unit.ready_since + WAIT_MAX_S + _PATIENCE_S
    return min(now + free_in_s + _PATIENCE_S, latest)


def should_wait(unit, here, workers, chance_at, now):
    """Return whether a unit waits for the capacity that it claims.

    `here` is the chance to end in time of a start at once.
    """
    if now >= unit.claimed_until or not unit.claim.keys() <= workers.keys():
        return False
    return chance_at(unit.claim, 0.0) > here


def late_resumable_units(jobs, workers, fastest, far_factor, context):
    """Return the units that can be resumed and would end late where they run.

    Those on workers that are hardly slower than the speed `fastest` are left out. Work
    that ends in time stays: faster workers are worth more to what comes next.
    """
    return [
        unit
        for job in jobs
        if job.active and not job.is_held and job.record.advice is None
        for unit in job.units.values()
        if _is_resumable(unit)
        and all(
            p.worker in workers
            and workers[p.worker].reachable
            and workers[p.worker].speed * _MOVE_MIN_SPEEDUP < fastest
            for p in unit.placements.values()
        )
        and not ends_within(unit, _left_s(unit, workers, far_factor), context, 1.0)
    ]


def _is_resumable(unit):
    """Return whether all members run, and save checkpoints."""
    members = unit.placements.values()
    if not unit.spec.checkpointing or unit.spec.lasting or unit.done:
        return False
    return len(members) == unit.count and all(
        p.status == LISTED and not p.stopping and p.percent for p in members
    )


def _left_s(unit, workers, far_factor):
    """Return for how long a unit is expected to run on where it is."""
    places = {p.worker: 1 for p in unit.placements.values()}
    return _left_share(unit) * run_s(unit, places, workers, far_factor)


def _left_share(unit):
    return 1 - min(p.percent for p in unit.placements.values()) / 100


def find_move(unit, candidates, workers, far_factor):
    """Return faster places for a unit of `late_resumable_units`, or None.

    `candidates` are the workers that may be used, `workers` all by name.
    """
    here = {p.worker for p in unit.placements.values()}
    found = fitting.find_places(
        unit,
        [one for one in candidates if one.name not in here],
        lambda worker: worker.capacity_for(unit),
        far_factor,
        remote_allowed=False,
    )
    if found is None:
        return None
    here_s = _left_s(unit, workers, far_factor)
    there_s = _left_share(unit) * run_s(unit, found, workers, far_factor)
    enough_s = max(_MOVE_MIN_GAIN_S, _MOVE_MIN_GAIN_SHARE * here_s)
    return found if here_s - _MOVE_S - there_s >= enough_s else None


def remaining_s(placement, worker, far_factor, now):
    """Return for how long a run is expected to go on, by its progress."""
    unit = placement.unit
    if unit.spec.lasting or placement.status != LISTED:
        return float("inf")
    since_s = now - placement.percent_at
    whole_s = unit.expected_s * fitting.slowness(unit, worker, far_factor)
    return max(0.0, whole_s * (1 - placement.percent / 100) - since_s)


def _free_within(unit, worker, wait_s, far_factor, now):
    """Return the capacity that is expected to be free on a worker after some time."""
    free = reclaim.free_after_stops(unit, worker, now)
    for placement in worker.placements.values():
        left_s = remaining_s(placement, worker, far_factor, now)
        if not placement.stopping and left_s <= wait_s:
            free = free.plus(placement.shape)
    return free
