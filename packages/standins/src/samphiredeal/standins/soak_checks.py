"""Invariants between what callers were told and what workers ran.

The checks read recorded data only and return a line for each violation.
"""

import itertools
from typing import NamedTuple

from samphiredeal.model import runs

# Entries answer from rows that are at most 4 s old, after a wait of at most 0.25 s.
MAX_CONTRADICTION_S = 4.25
MAX_UNKNOWN_S = 3.0
_RANKS = {"queued": 0, "running": 1, "completed": 2, "failed": 2, "cancelled": 2}
_ENDED = ("completed", "failed")


class Event(NamedTuple):
    """A start or end of a run on a worker; `how` is empty for a start."""

    at: float
    kind: str
    task: str
    run: int
    how: str
    worker: str


class RecordedEnd(NamedTuple):
    """An end of a run that the worker's agent has confirmed."""

    at: float
    task: str
    run: int
    how: str


class Record(NamedTuple):
    """What a soak has seen from outside.

    `accepted` maps each accepted job to the time of the answer, `refused` holds the
    jobs that were refused, and `answers` are `StateAnswer`s.
    """

    events: list
    recorded_ends: list
    accepted: dict
    refused: set
    answers: list


def find_violations(record, accelerators):
    """Return the violations; a worker has this number of accelerators."""
    return [
        *find_overlaps(record, accelerators),
        *find_refused_that_run(record),
        *find_starts_after_told_end(record),
        *find_starts_after_recorded_end(record),
        *find_states_that_fall_back(record),
        *find_contradictions(record),
        *find_unknown_jobs(record),
    ]


def find_overlaps(record, accelerators):
    """Return tasks with two runs at a time, and workers with more than fit."""
    lines, running, used = [], {}, {}
    for at, kind, task, run, _how, worker in sorted(
        record.events, key=lambda event: (event.at, event.kind == "start")
    ):
        present = running.setdefault(task, set())
        if kind == "start":
            if present:
                lines.append(f"{task} run {run} at {at:.3f} beside {present}")
            present.add((worker, run))
            used[worker] = used.get(worker, 0) + 1
            if used[worker] > accelerators:
                lines.append(f"{worker} is overfull at {at:.3f}")
        elif (worker, run) in present:
            present.discard((worker, run))
            used[worker] -= 1
    return lines


def find_refused_that_run(record):
    """Return the starts of tasks whose job was refused."""
    return [
        f"{start.task} runs though its job was refused"
        for start in _starts(record)
        if _job(start.task) in record.refused
    ]


def find_starts_after_told_end(record):
    """Return the starts of tasks after a caller was told that their job has ended."""
    told = {}
    for answer in sorted(record.answers, key=lambda answer: answer.answered_at):
        if answer.state in _ENDED:
            told.setdefault(answer.job, answer)
    return [
        f"{start.task} run {start.run} starts on {start.worker} at {start.at:.3f}, "
        f"{end.entry} said {end.state} at {end.answered_at:.3f}"
        for start in _starts(record)
        if (end := told.get(_job(start.task))) and start.at > end.answered_at
    ]


def find_starts_after_recorded_end(record):
    """Return the starts of tasks after an end of theirs was recorded as done."""
    done = {}
    for end in sorted(record.recorded_ends):
        if end.how == runs.DONE:
            done.setdefault(end.task, end)
    return [
        f"{start.task} run {start.run} starts on {start.worker} at {start.at:.3f}, "
        f"the end of run {end.run} was recorded at {end.at:.3f}"
        for start in _starts(record)
        if (end := done.get(start.task)) and start.at > end.at
    ]


def find_states_that_fall_back(record):
    """Return the states that fall back from what the same entry had said before."""
    return _find_falls(record, lambda answer: (answer.job, answer.entry), 0.0)


def find_contradictions(record):
    """Return the states that fall back from what an entry had said long before."""
    return _find_falls(record, lambda answer: answer.job, MAX_CONTRADICTION_S)


def find_unknown_jobs(record):
    """Return the answers 410 for jobs that were accepted long before."""
    return [
        f"{answer.entry} does not know {answer.job}, asked at {answer.asked_at:.3f}, "
        f"accepted at {record.accepted[answer.job]:.3f}"
        for answer in record.answers
        if answer.status == 410
        and answer.job in record.accepted
        and answer.asked_at > record.accepted[answer.job] + MAX_UNKNOWN_S
    ]


def _find_falls(record, key, allowed_s):
    """Return the first state of each key that falls back from an earlier one.

    An answer is compared with those that were received more than `allowed_s` before
    it was asked for.
    """
    answers = [answer for answer in record.answers if answer.state in _RANKS]
    lines = []
    for _key, group in itertools.groupby(sorted(answers, key=key), key):
        asked = sorted(group)
        received = sorted(asked, key=lambda answer: answer.answered_at)
        position, highest = 0, None
        for answer in asked:
            while received[position].answered_at + allowed_s < answer.asked_at:
                highest = _higher(highest, received[position])
                position += 1
            if highest is not None and _falls_back(highest.state, answer.state):
                lines.append(
                    f"{answer.entry} says {answer.state} of {answer.job}, asked at "
                    f"{answer.asked_at:.3f}, {highest.entry} said {highest.state} at "
                    f"{highest.answered_at:.3f}"
                )
                break
    return lines


def _higher(first, second):
    if first is None or _RANKS[second.state] > _RANKS[first.state]:
        return second
    return first


def _falls_back(before, after):
    if _RANKS[before] == 2:
        return after != before
    return _RANKS[after] < _RANKS[before]


def _starts(record):
    return [event for event in record.events if event.kind == "start"]


def _job(task):
    return task.split(".")[0]
