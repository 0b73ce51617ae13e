"""The order in which waiting units are given room.

Urgent work goes first, work within its account's guarantee before the rest of
it; then whatever has the least time left to start and still end in time. Work
that can no longer earn anything goes last.
"""

# Past this many times its objective a job's end is worth nothing to its user.
_WORTHLESS_FACTOR = 3.0


def objective_s(job):
    """Return how long after it is due the job's user expects its end."""
    record = job.record
    chain_s = chain_length_s(record.spec)
    return record.stretch * chain_s + record.target_latency_ms / 1000


def chain_length_s(spec):
    """Return the longest chain of estimated work in seconds."""
    ends = []
    for step in spec.steps:
        start = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(start + step.estimate_ms / 1000)
    return max(ends)


def work_left_s(spec, step):
    """Return the longest chain from the start of a step to the end."""
    left = [0.0] * len(spec.steps)
    for number in range(len(spec.steps) - 1, -1, -1):
        left[number] += spec.steps[number].estimate_ms / 1000
        for earlier in spec.steps[number].after:
            left[earlier] = max(left[earlier], left[number])
    return left[step]


def latest_start_s(unit, wall_ms):
    """Return in how many seconds the unit must start to end in time."""
    job = unit.job
    age_s = (wall_ms - job.due_ms(unit.occurrence)) / 1000
    left_s = work_left_s(job.record.spec, unit.step)
    return objective_s(job) - age_s - left_s


def is_worthless(unit, wall_ms):
    """Return whether the unit can no longer end within a useful time."""
    job = unit.job
    age_s = (wall_ms - job.due_ms(unit.occurrence)) / 1000
    left_s = work_left_s(job.record.spec, unit.step)
    return age_s + left_s > _WORTHLESS_FACTOR * objective_s(job)


def rank(unit, covered, wall_ms):
    """Return a sort key; `covered` says that a guarantee pays for the unit."""
    job = unit.job
    if unit.spec.lasting:
        slack_s = 0.0
    else:
        slack_s = latest_start_s(unit, wall_ms)
    return (
        not covered,
        job.record.priority > 0,
        is_worthless(unit, wall_ms) and not unit.spec.lasting,
        slack_s,
        job.record.accepted_ms,
        job.id,
        unit.step,
        unit.indexes[0],
    )
