"""Order in which waiting units are placed.

Work within its account's guarantee comes first, then other urgent work, then the
rest. Within each class units are sorted by the time left to start and still end in
time; those too late to be useful come last.
"""

from typing import NamedTuple

# A job that ends later than this many times its objective has no value to its user.
TOO_LATE_FACTOR = 3.0


class OrderingContext(NamedTuple):
    """Wall-clock time and expected parallelism.

    `share(job, step)` returns how many tasks of a step users expect to run at once;
    a wider step is expected to run in waves.
    """

    wall_ms: int
    share: object

    def waves(self, job, number):
        """Return the number of waves in which a step is expected to run."""
        count = job.record.spec.steps[number].count
        return -(-count // self.share(job, number))


def objective_s(job, context):
    """Return the time after the due time within which the user expects the end."""
    record = job.record
    path_s = critical_path_s(job, context)
    return record.stretch * path_s + record.target_latency_ms / 1000


def critical_path_s(job, context):
    """Return the length of the job's critical path in seconds.

    Estimates are off by about the same factor for all tasks of a job, so its pace so
    far corrects those of the steps to come as well.
    """
    ends = []
    for number, step in enumerate(job.record.spec.steps):
        start = max((ends[earlier] for earlier in step.after), default=0.0)
        work_s = step.estimate_ms / 1000 / job.pace * context.waves(job, number)
        ends.append(start + work_s)
    return max(ends)


def remaining_path_s(spec, step):
    """Return the longest path from the start of a step to the job's end by estimate."""
    left = [0.0] * len(spec.steps)
    for number in range(len(spec.steps) - 1, -1, -1):
        left[number] += spec.steps[number].estimate_ms / 1000
        for earlier in spec.steps[number].after:
            left[earlier] = max(left[earlier], left[number])
    return left[step]


def latest_start_s(unit, context):
    """Return within how many seconds the unit must start to end in time."""
    return objective_s(unit.job, context) - _age_at_end_s(unit, context)


def is_too_late(unit, context):
    """Return whether the unit can no longer end in time to be useful."""
    limit_s = TOO_LATE_FACTOR * objective_s(unit.job, context)
    return _age_at_end_s(unit, context) > limit_s


def age_s(unit, context):
    """Return the time since the unit's occurrence of its job was due."""
    return (context.wall_ms - unit.job.due_ms(unit.occurrence)) / 1000


def _age_at_end_s(unit, context):
    """Return the age at which the job ends if the unit starts now."""
    path_s = remaining_path_s(unit.job.record.spec, unit.step) / unit.job.pace
    return age_s(unit, context) + path_s


def rank(unit, covered, context):
    """Return a sort key; `covered` is whether the unit is within a guarantee."""
    job = unit.job
    lasting = unit.spec.lasting
    return (
        not covered,
        job.record.priority > 0,
        not lasting and is_too_late(unit, context),
        0.0 if lasting else latest_start_s(unit, context),
        job.record.accepted_ms,
        job.id,
        unit.step,
        unit.indexes[0],
    )
