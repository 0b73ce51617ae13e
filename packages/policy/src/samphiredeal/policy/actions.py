"""What the scheduler tells its host to do."""

from typing import NamedTuple

from samphiredeal.model.job import Job


class StartAttempt(NamedTuple):
    """Start all members of a job; `places` maps workers to member counts."""

    attempt_id: str
    job: Job
    places: dict
    covered: bool


class StopAttempt(NamedTuple):
    """Stop an attempt, with a checkpoint if there is one to keep."""

    attempt_id: str
    checkpoint: bool
    grace_s: float
    reason: str


class FinishJob(NamedTuple):
    """The job is over: ``done``, ``failed`` or ``cancelled``, with the reason."""

    job_id: str
    state: str
    reason: str
