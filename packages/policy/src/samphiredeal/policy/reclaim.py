"""Choosing victims: the movable work of least loss that frees a shape."""

from samphiredeal.model.shape import NOTHING

# Seconds of work that a restart costs beyond what the checkpoint keeps.
RESTART_COST_S = 30.0


def lost_work(attempt, now):
    """Return the accelerator-seconds that stopping an attempt loses.

    Work without accelerators counts a hundredth of one for each core.
    """
    size = max(attempt.job.total.accelerators, attempt.job.total.cpu_milli / 100_000)
    running_s = now - attempt.started_at if attempt.started_at is not None else 0.0
    since_checkpoint = 0.0 if attempt.movable else running_s
    return size * (RESTART_COST_S + since_checkpoint)


def choose_victims(workers, attempts, may_move, now, short_of):
    """Return attempts to stop so that no worker is short of room, or None.

    `short_of(worker)` gives the shape that is missing there (no negatives).
    Victims are taken by least loss for each relieved accelerator, then those
    that turn out not to be needed are spared.
    """
    missing = {worker.name: short_of(worker) for worker in workers}
    missing = {name: shape for name, shape in missing.items() if any(shape)}
    held = {}
    for worker in workers:
        if worker.name in missing:
            for attempt_id, (shape, covered) in worker.attempts.items():
                if not covered and may_move(attempts[attempt_id]):
                    held.setdefault(attempt_id, {})[worker.name] = shape
    chosen = []
    left = dict(missing)
    for attempt_id in _by_relief(held, attempts, missing, now):
        if not left:
            break
        if any(name in left for name in held[attempt_id]):
            chosen.append(attempt_id)
            left = _relieved(left, held[attempt_id])
    return None if left else _pruned(chosen, held, missing)


def _by_relief(held, attempts, missing, now):
    """Return attempt ids, cheapest for what they relieve first."""

    def rank(attempt_id):
        relief = sum(
            _useful(shape, missing[name]) for name, shape in held[attempt_id].items()
        )
        return (lost_work(attempts[attempt_id], now) / max(relief, 1e-9), attempt_id)

    return sorted(held, key=rank)


def _useful(shape, missing):
    """Return how much of what is missing a shape relieves, as a number."""
    accelerators = min(shape.accelerators, missing.accelerators)
    return accelerators + min(shape.cpu_milli, missing.cpu_milli) / 100_000


def _relieved(left, shapes):
    """Return what is still missing once the shapes are freed."""
    result = {}
    for name, missing in left.items():
        rest = missing.minus(shapes.get(name, NOTHING))
        rest = type(rest)(*[max(0, amount) for amount in rest])
        if any(rest):
            result[name] = rest
    return result


def _pruned(chosen, held, missing):
    """Drop victims, dearest first, without which the room still suffices."""
    needed = list(chosen)
    for candidate in reversed(chosen):
        left = missing
        for attempt_id in needed:
            if attempt_id != candidate:
                left = _relieved(left, held[attempt_id])
        if not left:
            needed.remove(candidate)
    return needed
