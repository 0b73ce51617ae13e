"""The chance that a job ends within its objective, from the spread of run times.

Estimates of work are off by a factor that is about the same for all tasks of a job, and
objectives follow the actual work. So a job of twice the estimated work takes twice as
long and has twice the time; what counts against it is the time that has passed, and how
far its workers are from what is believed of them.

>>> spread = RunSpread()
>>> fresh = Outlook(age_s=0.1, run_s=5.0, rest_s=0.0, scaled_s=7.5, fixed_s=0.25)
>>> round(in_time_chance(fresh, spread.deviation), 2)
1.0
>>> round(in_time_chance(fresh._replace(run_s=6.2), spread.deviation), 2)
0.92
"""

import math
from typing import NamedTuple

# Standard deviations of logarithms: of actual work against estimates, and of run times
# against those that follow from the actual work and the believed speed.
_WORK_SPREAD = 0.25
_RUN_SPREAD = 0.15
_MIN_RUN_SPREAD = 0.05
# How many ends the figure that is assumed first counts for.
_PRIOR_ENDS = 20
# A run that took so many times longer, or shorter, counts as this: it was started again
# or its worker hung.
_MAX_LOG_RATIO = 1.0
# Nodes and weights that stand for a normal distribution (Gauss and Hermite).
_NODES = ((-math.sqrt(3), 1 / 6), (0.0, 2 / 3), (math.sqrt(3), 1 / 6))


class RunSpread:
    """The spread of run times that is not due to estimates, learnt from ends."""

    def __init__(self):
        self._ends = _PRIOR_ENDS
        self._sum = _PRIOR_ENDS * _RUN_SPREAD**2

    @property
    def deviation(self):
        """The standard deviation of the logarithm of a run time."""
        return max(_MIN_RUN_SPREAD, math.sqrt(max(0.0, self._sum / self._ends)))

    def record(self, expected_s, took_s, speed_deviation=0.0):
        """Record the run time of a unit beside what was expected as it started."""
        if min(expected_s, took_s) <= 0:
            return
        ratio = math.log(took_s / expected_s)
        ratio = min(max(ratio, -_MAX_LOG_RATIO), _MAX_LOG_RATIO)
        self._ends += 1
        self._sum += ratio**2 - _WORK_SPREAD**2 - speed_deviation**2


class Outlook(NamedTuple):
    """A job as it would go on from some places, in seconds.

    It is `age_s` old; its next run is expected to take `run_s`, and what follows
    `rest_s`. Its objective is `scaled_s`, which follows the actual work, and `fixed_s`.
    """

    age_s: float
    run_s: float
    rest_s: float
    scaled_s: float
    fixed_s: float


def in_time_chance(outlook, deviation):
    """Return the chance that a job ends within its objective.

    `deviation` is that of the logarithm of the run time, without that of estimates.
    """
    chance = 0.0
    for node, weight in _NODES:
        work = math.exp(node * _WORK_SPREAD)
        # Relative to the estimate, what the age leaves of the objective.
        limit_s = outlook.scaled_s + (outlook.fixed_s - outlook.age_s) / work
        limit_s -= outlook.rest_s
        if limit_s > 0:
            deviations = math.log(limit_s / outlook.run_s) / deviation
            chance += weight * _normal_cdf(deviations)
    return chance


def _normal_cdf(value):
    return 0.5 * (1 + math.erf(value / math.sqrt(2)))
