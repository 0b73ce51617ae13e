"""Actions that the scheduler returns to its host."""

from typing import NamedTuple

from samphiredeal.model.job import Job


class StartAttempt(NamedTuple):
    """Start all members of a job; `places` maps workers to member counts."""

    attempt_id: str
    job: Job
    places: dict
    covered: bool


class StopAttempt(NamedTuple):
    """Stop an attempt, after a checkpoint if `checkpoint` is true."""

    attempt_id: str
    checkpoint: bool
    grace_s: float
    reason: str


class FinishJob(NamedTuple):
    """Finish a job as ``done``, ``failed`` or ``cancelled``, with the reason."""

    job_id: str
    state: str
    reason: str
