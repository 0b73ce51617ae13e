"""Checks of the states that callers were told, beside what workers have run.

The functions compare lists of `Told` and of starts. Checks return a line for each
broken invariant.
"""

from typing import NamedTuple

# Callers are told a state by rows that are at most this old: the time for which an
# entry answers from memory, with the wait for an end that is about to be stored.
MAX_CONTRADICTION_S = 4.25
_RANKS = {"queued": 0, "running": 1, "completed": 2, "failed": 2, "cancelled": 2}
FINAL_STATES = ("completed", "failed", "cancelled")
ALL_STATES = tuple(_RANKS)


class Told(NamedTuple):
    """A state that an entry gave to a caller, and when it was asked and answered."""

    asked_at: float
    at: float
    entry: str
    job: str
    state: str


def first_told(told, job_id, state):
    """Return when a caller was first told a state, or None."""
    times = [one.at for one in told if (one.job, one.state) == (job_id, state)]
    return min(times, default=None)


def starts_after_completed(told, starts):
    """Return the starts, with `task`, `run` and `at`, after `completed` was told."""
    lines = []
    for start in starts:
        told_at = first_told(told, start.task.split(".")[0], "completed")
        if told_at is not None and start.at > told_at:
            lines.append(
                f"{start.task} run {start.run} starts at {start.at:.2f}, "
                f"its job was shown as completed at {told_at:.2f}"
            )
    return lines


def states_that_fall_back(told):
    """Return the states of one entry that are followed by an earlier one."""
    lines, newest = [], {}
    for one in sorted(told, key=lambda told: (told.at, told.asked_at)):
        key = (one.entry, one.job)
        before = newest.get(key)
        if before is None:
            newest[key] = one
        elif one.asked_at >= before.at:
            if falls_back(before.state, one.state):
                lines.append(
                    f"{one.entry} says {one.state} of {one.job} at {one.at:.2f}, "
                    f"{before.state} at {before.at:.2f}"
                )
            newest[key] = one
    return lines


def contradictions(told, earlier=FINAL_STATES):
    """Return the states that fall back from what another entry said long before.

    `earlier` are the states from which no entry may fall back.
    """
    lines, firsts = [], {}
    for one in sorted(told, key=lambda told: told.at):
        if one.state in earlier:
            firsts.setdefault((one.job, _RANKS[one.state]), one)
    for one in told:
        for (job, _rank), first in firsts.items():
            is_late = one.asked_at >= first.at + MAX_CONTRADICTION_S
            if job == one.job and is_late and falls_back(first.state, one.state):
                lines.append(
                    f"{one.entry} says {one.state} of {one.job} at {one.at:.2f}, "
                    f"{first.entry} said {first.state} at {first.at:.2f}"
                )
    return lines


def unknown_jobs(refused):
    """Return a line for each answer that a job is not known."""
    return [f"{one.entry} does not know {one.job} at {one.at:.2f}" for one in refused]


def unfinished(told, job_ids):
    """Return the jobs whose last known state is not final."""
    last = {one.job: one.state for one in sorted(told, key=lambda told: told.at)}
    return [job_id for job_id in job_ids if _RANKS.get(last.get(job_id), 0) < 2]


def falls_back(before, state):
    """Return whether a state may not follow another one.

    >>> falls_back("completed", "running"), falls_back("queued", "running")
    (True, False)
    """
    is_final = _RANKS[before] == 2
    return _RANKS[state] < _RANKS[before] or (is_final and state != before)
