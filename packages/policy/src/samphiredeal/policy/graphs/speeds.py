"""Estimates of how fast each worker runs, from the progress of its runs.

A run's rate is the estimated work that it completes per second. It depends on the
worker's speed, on the error of its job's estimates, which is about the same for all
tasks of a job, and on the task. Tasks of one job on several workers tell the workers
apart; several jobs on one worker tell its speed from the errors of the estimates.

The model is additive in logarithms: ``log(rate) = speed of the worker + pace of the
job + noise``, with normal priors. It is solved by belief propagation: a job sends to
each worker what its runs there say, given the other workers of the job, and a worker
sends to each of its jobs what it knows from the other jobs.

>>> speeds = WorkerSpeeds()
>>> for task in range(20):
...     speeds.record("w1", "job", f"{task}", 1, Sample(6.0, 10.0, 0.1))
...     speeds.record("w2", "job", f"{task}a", 1, Sample(9.0, 10.0, 0.1))
>>> for _ in range(9):
...     _ = speeds.refresh("w1"), speeds.refresh("w2")
>>> round(speeds.speed_of("w2") / speeds.speed_of("w1"), 1)
1.5
"""

import math
from typing import NamedTuple

# Standard deviations of logarithms: of the speeds of workers, of the paces of jobs
# and of the tasks of one job.
_SPEED_SPREAD = 0.2
_PACE_SPREAD = 0.35
_TASK_SPREAD = 0.17
# A sample that deviates by more than this many standard deviations counts less: the
# worker may hang or be slow for a few seconds only.
_OUTLIER_DEVIATIONS = 3.0
# Bounds what past runs weigh, so that a worker that was exchanged is learnt again.
_MAX_PRECISION = 150.0
# A sample with a larger relative error tells too little about a run's rate.
_MAX_ERROR = 0.2
# A belief is worth storing again once it has changed by as much.
_STORED_CHANGE = 0.05
_STORED_PRECISION_FACTOR = 2.0

_PRIOR_PRECISION = 1 / _SPEED_SPREAD**2
_PACE_PRECISION = 1 / _PACE_SPREAD**2


class Sample(NamedTuple):
    """Progress of one run: estimated work done, in how long, and the error of it.

    `worked_s` and `error_s` are seconds of work by the estimate, `observed_s` seconds
    in which the run was seen to make progress.
    """

    worked_s: float
    observed_s: float
    error_s: float


class Belief(NamedTuple):
    """The logarithm of a worker's speed, and the precision of it (1 / variance)."""

    log_speed: float
    precision: float

    @property
    def speed(self):
        """The speed relative to an average worker."""
        return math.exp(self.log_speed)


UNKNOWN = Belief(0.0, _PRIOR_PRECISION)


class _Pair:
    """What the runs of one job on one worker say.

    `message` is the `Belief` that the job sends to the worker, and `evidence` the one
    that the worker sends to the job.
    """

    def __init__(self):
        self.samples = {}
        self.message = Belief(0.0, 0.0)
        self.evidence = Belief(0.0, 0.0)

    def mean(self, pace, speed):
        """Return the mean of the samples, in which outliers count less.

        `pace` and `speed` are the `Belief`s from which the samples are expected.
        """
        expected = pace.log_speed + speed.log_speed
        variance = _TASK_SPREAD**2 + 1 / pace.precision + 1 / speed.precision
        total, weight = 0.0, 0.0
        for rate, precision in self.samples.values():
            square = (rate - expected) ** 2 / variance
            precision /= 1 + square / _OUTLIER_DEVIATIONS**2
            total += precision * rate
            weight += precision
        return Belief(total / weight, weight)


class _Job:
    """The sum of what all workers say of a job's pace; `workers` are their names."""

    def __init__(self):
        self.precision = 0.0
        self.weighted = 0.0
        self.workers = set()

    def add(self, belief, sign=1):
        self.precision += sign * belief.precision
        self.weighted += sign * belief.precision * belief.log_speed

    @property
    def pace(self):
        """The `Belief` on the pace, with its prior."""
        precision = _PACE_PRECISION + self.precision
        return Belief(self.weighted / precision, precision)


class WorkerSpeeds:
    """The speeds of all workers and the paces of the jobs that run."""

    def __init__(self):
        # What is known of each worker from earlier jobs.
        self._base = {}
        self._beliefs = {}
        self._pairs = {}
        self._jobs = {}
        self._stored = {}

    def belief(self, worker):
        """Return the `Belief` on a worker's speed."""
        return self._beliefs.get(worker, UNKNOWN)

    def speed_of(self, worker):
        """Return a worker's expected speed, relative to an average worker."""
        return self.belief(worker).speed

    def deviation_of(self, worker):
        """Return the standard deviation of the logarithm of a worker's speed."""
        return 1 / math.sqrt(self.belief(worker).precision)

    def pace_of(self, job_id):
        """Return the expected work per second of a job on an average worker."""
        job = self._jobs.get(job_id)
        return math.exp(job.pace.log_speed) if job else 1.0

    def restore(self, worker, belief):
        """Take over a stored `Belief` on a worker, unless it has one."""
        if worker not in self._base:
            bounded = belief._replace(precision=min(belief.precision, _MAX_PRECISION))
            self._base[worker] = self._beliefs[worker] = bounded
            self._stored[worker] = bounded

    def forget_worker(self, worker):
        """Drop what is known of a worker that has gone for good."""
        for job_id, pair in self._pairs.pop(worker, {}).items():
            job = self._jobs[job_id]
            job.add(pair.evidence, -1)
            job.workers.discard(worker)
        for beliefs in (self._base, self._beliefs, self._stored):
            beliefs.pop(worker, None)

    def record(self, worker, job_id, task, run, sample):
        """Record the progress of a run so far; ignore what tells too little."""
        if min(sample.worked_s, sample.observed_s) <= 0.0:
            return
        error = sample.error_s / sample.worked_s
        if error > _MAX_ERROR:
            return
        pairs = self._pairs.setdefault(worker, {})
        pair = pairs.get(job_id)
        if pair is None:
            pair = pairs[job_id] = _Pair()
            self._jobs.setdefault(job_id, _Job()).workers.add(worker)
        precision = 1 / (_TASK_SPREAD**2 + error**2)
        rate = math.log(sample.worked_s / sample.observed_s)
        pair.samples[(task, run)] = (rate, precision)

    def refresh(self, worker):
        """Update the belief on a worker from its samples, and return it."""
        base = self._base.get(worker, UNKNOWN)
        precision, weighted = base.precision, base.precision * base.log_speed
        pairs = self._pairs.get(worker, {})
        for pair in pairs.values():
            precision += pair.message.precision
            weighted += pair.message.precision * pair.message.log_speed
        for job_id, pair in pairs.items():
            job = self._jobs[job_id]
            precision -= pair.message.precision
            weighted -= pair.message.precision * pair.message.log_speed
            others = Belief(weighted / precision, precision)
            job.add(pair.evidence, -1)
            pace = job.pace
            mean = pair.mean(pace, others)
            pair.message = Belief(
                mean.log_speed - pace.log_speed,
                1 / (1 / mean.precision + 1 / pace.precision),
            )
            pair.evidence = Belief(
                mean.log_speed - others.log_speed,
                1 / (1 / mean.precision + 1 / others.precision),
            )
            job.add(pair.evidence)
            precision += pair.message.precision
            weighted += pair.message.precision * pair.message.log_speed
        if pairs:
            self._beliefs[worker] = Belief(weighted / precision, precision)
        return self.belief(worker)

    def close_job(self, job_id):
        """Fold what an ended job has said into what is known of its workers."""
        job = self._jobs.pop(job_id, None)
        if job is None:
            return
        for worker in job.workers:
            message = self._pairs[worker].pop(job_id).message
            base = self._base.get(worker, UNKNOWN)
            precision = base.precision + message.precision
            weighted = base.precision * base.log_speed
            weighted += message.precision * message.log_speed
            self._base[worker] = Belief(
                weighted / precision, min(precision, _MAX_PRECISION)
            )

    @property
    def open_jobs(self):
        """The ids of the jobs with samples that are not folded yet."""
        return list(self._jobs)

    def changed(self):
        """Return {worker: `Belief`} of those that differ much from what is stored."""
        return {
            worker: belief
            for worker, belief in self._beliefs.items()
            if _differs(belief, self._stored.get(worker, UNKNOWN))
        }

    def mark_stored(self, beliefs):
        """Record that these beliefs are stored."""
        self._stored.update(beliefs)


def _differs(belief, stored):
    factor = min(belief.precision, _MAX_PRECISION) / stored.precision
    moved = abs(belief.log_speed - stored.log_speed)
    return moved > _STORED_CHANGE or factor > _STORED_PRECISION_FACTOR
