"""Choice of preemption victims: those whose stop loses the least work."""

from samphiredeal.model.shape import NOTHING

# Work lost by a restart, in addition to the work since the last checkpoint.
RESTART_COST_S = 30.0


def lost_work(attempt, now):
    """Return the accelerator-seconds lost by stopping an attempt.

    Work without accelerators counts as 0.01 accelerators per CPU core.
    """
    size = max(attempt.job.total.accelerators, attempt.job.total.cpu_milli / 100_000)
    running_s = now - attempt.started_at if attempt.started_at is not None else 0.0
    since_checkpoint = 0.0 if attempt.movable else running_s
    return size * (RESTART_COST_S + since_checkpoint)


def choose_victims(workers, attempts, may_preempt, now, shortage_on):
    """Return attempts to stop so that no worker lacks capacity, or None.

    `shortage_on(worker)` returns the missing shape (without negative amounts).
    Victims are chosen by least lost work per accelerator freed; those that prove
    unnecessary are then dropped.
    """
    missing = {worker.name: shortage_on(worker) for worker in workers}
    missing = {name: shape for name, shape in missing.items() if any(shape)}
    preemptible = {}
    for worker in workers:
        if worker.name in missing:
            for attempt_id, (shape, covered) in worker.attempts.items():
                if not covered and may_preempt(attempts[attempt_id]):
                    preemptible.setdefault(attempt_id, {})[worker.name] = shape
    chosen = []
    remaining = dict(missing)
    for attempt_id in _by_cost(preemptible, attempts, missing, now):
        if not remaining:
            break
        if any(name in remaining for name in preemptible[attempt_id]):
            chosen.append(attempt_id)
            remaining = _remaining_shortage(remaining, preemptible[attempt_id])
    return None if remaining else _drop_unneeded(chosen, preemptible, missing)


def _by_cost(preemptible, attempts, missing, now):
    """Return attempt ids in order of lost work per missing accelerator freed."""

    def rank(attempt_id):
        relief = sum(
            _relief(shape, missing[name])
            for name, shape in preemptible[attempt_id].items()
        )
        return (lost_work(attempts[attempt_id], now) / max(relief, 1e-9), attempt_id)

    return sorted(preemptible, key=rank)


def _relief(shape, missing):
    """Return how much of the missing shape a shape covers, in accelerators."""
    accelerators = min(shape.accelerators, missing.accelerators)
    return accelerators + min(shape.cpu_milli, missing.cpu_milli) / 100_000


def _remaining_shortage(remaining, shapes):
    """Return the shapes still missing, by worker, once `shapes` are freed."""
    result = {}
    for name, missing in remaining.items():
        rest = missing.minus(shapes.get(name, NOTHING))
        rest = type(rest)(*[max(0, amount) for amount in rest])
        if any(rest):
            result[name] = rest
    return result


def _drop_unneeded(chosen, preemptible, missing):
    """Drop victims that are not needed, most expensive first."""
    needed = list(chosen)
    for candidate in reversed(chosen):
        remaining = missing
        for attempt_id in needed:
            if attempt_id != candidate:
                remaining = _remaining_shortage(remaining, preemptible[attempt_id])
        if not remaining:
            needed.remove(candidate)
    return needed
