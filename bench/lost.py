"""Count the work that was thrown away: ``python -m bench.lost DAY.log``.

Reads the output of a benchmark run with all logs. Each run that ended without
finishing its task counts with the core-seconds from its start to its end, or with
`RESUME_S` seconds if it left a checkpoint, under one of these causes:

    cancelled   its job was cancelled by its caller
    reclaimed   its room was needed for urgent work
    leaving     its worker announced that it leaves, or left after that
    evicted     its worker did not respond until its lease had expired
    crashed     its worker's incarnation ended without an announcement
    lapsed      its lease expired on its worker
    hung        it made no progress, or far less than its siblings
    incomplete  its gang did not start as a whole
    refused     a member of its gang was refused
    failed      it failed, or its job had failed
    other       none of these

All members of a gang count under the first known cause among them: those that end
because another one has ended are often reported before it.
"""

import collections
from typing import NamedTuple

import defopt

from bench.late import parse_log

CAUSES = (
    "cancelled",
    "reclaimed",
    "leaving",
    "evicted",
    "crashed",
    "lapsed",
    "hung",
    "incomplete",
    "refused",
    "failed",
    "other",
)
# The beginnings of logged reasons, and the causes that they stand for.
_CAUSES_BY_REASON = {
    "its job is cancelled": "cancelled",
    "its job is failed": "failed",
    "its room is reclaimed": "reclaimed",
    "its worker is leaving": "leaving",
    "its worker's incarnation has ended": "crashed",
    "no response until its lease": "evicted",
    "its agent has known no worker": "evicted",
    "it stands still": "hung",
    "it runs far slower": "hung",
    "its gang did not start as a whole": "incomplete",
    "a member of its gang was refused": "refused",
    "a member of its gang failed": "failed",
    "a member of its gang was lost": "crashed",
}
# What a run that left a checkpoint loses: about the time to restore it.
RESUME_S = 1.0


class LostRun(NamedTuple):
    """A run that did not finish its task, and the core-seconds that it lost."""

    at: float
    task: str
    cause: str
    core_s: float


class Day:
    """The unfinished runs of a day, by the events of its log."""

    def __init__(self, events):
        # Cores of a member, by unit: (job, occurrence, step) or that and the index.
        self._cores = {}
        self._run_starts = {}
        self._leaving = set()
        self._ends = []
        self._counted = set()
        for at, node, fields in events:
            handle = getattr(self, f"_on_{fields.get('message_type')}", None)
            if handle is not None:
                handle(at, node, fields)

    def lost_runs(self):
        """Return the `LostRun` of each run, in the order of their ends."""
        causes = {}
        for unit_run, lost_run in self._ends:
            if causes.get(unit_run, "other") == "other":
                causes[unit_run] = lost_run.cause
        return [one._replace(cause=causes[unit_run]) for unit_run, one in self._ends]

    def _on_unit_placed(self, at, node, fields):
        unit = (fields["job"], *fields["unit"].split("."))
        self._cores[unit] = fields.get("cores", 0.0)

    def _on_worker_leaving(self, at, node, fields):
        if "worker" in fields:
            self._leaving.add(fields["worker"])

    def _on_run_start(self, at, node, fields):
        if fields["outcome"] == "started":
            self._run_starts.setdefault((fields["task"], fields["run"]), at)

    def _on_run_ended(self, at, node, fields):
        if fields["how"] == "done":
            return
        cause = _cause_of(fields.get("reason", ""))
        if fields["how"] in ("failed", "lapsed"):
            cause = fields["how"]
        self._record_end(at, fields, cause)

    def _on_run_lost(self, at, node, fields):
        cause = _cause_of(fields["reason"])
        if cause == "crashed" and fields["worker"] in self._leaving:
            cause = "leaving"
        self._record_end(at, fields, cause)

    def _record_end(self, at, fields, cause):
        task, run = fields["task"], fields["run"]
        begun_at = self._run_starts.get((task, run))
        if begun_at is None or (task, run) in self._counted:
            return
        self._counted.add((task, run))
        worked_s = at - begun_at
        if fields.get("saved"):
            worked_s = min(worked_s, RESUME_S)
        unit = self._unit_of(task)
        core_s = self._cores.get(unit, 0.0) * worked_s
        self._ends.append(((*unit, run), LostRun(at, task, cause, core_s)))

    def _unit_of(self, task):
        """Return the key of a task's unit: that of its gang, or its own."""
        name = tuple(task.split("."))
        return name[:3] if name[:3] in self._cores else name


def _cause_of(reason):
    for begin, cause in _CAUSES_BY_REASON.items():
        if reason.startswith(begin):
            return cause
    return "other"


def totals(runs):
    """Return {cause: (number of runs, number of jobs, core-seconds)}."""
    by_cause = collections.defaultdict(list)
    for one in runs:
        by_cause[one.cause].append(one)
    return {
        cause: (
            len(found),
            len({one.task.split(".")[0] for one in found}),
            sum(one.core_s for one in found),
        )
        for cause, found in by_cause.items()
    }


def main(*paths: str, jobs: int = 10):
    """Print the work thrown away for each cause, and the jobs that lost most.

    :param paths: logs of days, each from one benchmark run with all logs
    :param jobs: how many jobs to print
    """
    found = []
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as lines:
            day = Day(sorted(parse_log(lines), key=lambda event: event[0]))
        found += day.lost_runs()
    by_cause = totals(found)
    for cause in CAUSES:
        if cause in by_cause:
            runs, job_count, core_s = by_cause[cause]
            print(f"{cause:10} {core_s:9.0f} core-s {runs:5} runs {job_count:4} jobs")
    by_job = collections.Counter()
    for one in found:
        by_job[(one.task.split(".")[0], one.cause)] += one.core_s
    for (job, cause), core_s in by_job.most_common(jobs):
        print(f"  {job} {cause:10} {core_s:9.0f} core-s")


if __name__ == "__main__":
    defopt.run(main)
