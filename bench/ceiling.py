"""Highest shares of value that anybody could have reached on a logged day.

``python -m bench.ceiling SITE DAY LOG...`` prints for each kind of job and each zone
the share of value that was earned by the log, its *ceiling* and the day's floor. A
group whose ceiling is below its floor is short whatever the scheduler does.

The ceiling takes the jobs of the log and the earliest end of each by `bench.bound`:

- A job that nobody could store in its caller's time is owed and earns nothing.
- A job whose earliest end is later than its objective earns the value of a late one.
- A job that its caller cancels, or that goes on after the day, counts in full if it
  could have ended before, and is not owed otherwise.
- A request that the summary at the end of the log counts as failed and that is in no
  entry's log reached none of them. It has the mean value of its group.

A job has the value of its kind times ``0.3 + 0.7 x work / mean work of the kind``, and
at most 4 times. A job that no entry stored has the work that the refusals logged, or
the mean of its kind. Jobs that were submitted before the traffic began, or whose
callers have no right to be served, are not counted. Zones are those of the entries that
callers reached first: while a zone has no entry in rotation, another one's.
"""

import collections
import re
import statistics
from typing import NamedTuple

import defopt

from bench.bound import BoundedDay, RunTimes, bound_of
from bench.late import parse_log
from bench.site_file import read_site_values
from samphiredeal.policy.graphs.ordering import TOO_LATE_FACTOR

# Name, asked, in time, late, refused, failed, not owed, share of value.
_SUMMARY_ROW = re.compile(
    r"(?P<name>[\w-]+) +(?P<asked>\d+) +\d+ +\d+ +(?P<refused>\d+) +(?P<failed>\d+)"
    r" +(?P<not_owed>\d+) +(?P<earned>[\d.]+) "
)
_BASE_WEIGHT, _WORK_WEIGHT, _MAX_WEIGHT = 0.3, 0.7, 4.0


class Share(NamedTuple):
    """What a group of jobs earned and could have earned at best, of what is owed.

    `lost` has the ids of the jobs of which nobody could have earned all, `unreached`
    is the number of requests that reached no entry. Unless `is_complete`, the log has
    other jobs of the group than the benchmark counted, and the ceiling may be wrong.
    """

    name: str
    earned: float
    ceiling: float
    owed: int
    floor: float | None
    lost: tuple
    unreached: int = 0
    is_complete: bool = True

    @property
    def is_short(self):
        """Whether less than the floor was earned."""
        return self.floor is not None and self.earned < self.floor

    @property
    def is_avoidable(self):
        """Whether anybody could have reached the floor."""
        return self.floor is None or self.ceiling >= self.floor


class _Outcome(NamedTuple):
    """A job's value in full, what it earned and what it could have earned at best.

    `owed` and `owed_at_best` are 0 where the job would not be owed.
    """

    job: str
    kind: str
    zone: str
    value: float
    is_served: bool
    earned: float
    owed: float
    best: float
    owed_at_best: float


class ValuedDay(BoundedDay):
    """A day with what its jobs are worth and who cancelled them."""

    def __init__(self, events):
        self.cancelled_at = {}
        self.zones = {}
        self.work_core_s = {}
        self._priorities = {}
        self._queue_paths = {}
        self._first_tries = {}
        super().__init__(events)

    def _on_call_answered(self, at, node, fields):
        super()._on_call_answered(at, node, fields)
        queue_path, _, job = fields["path"].rpartition("/")
        self._queue_paths.setdefault(job, queue_path)
        begun_at = at - fields["took_ms"] / 1000
        if fields["verb"] == "cancel":
            self.cancelled_at.setdefault(job, at)
        elif fields["verb"] == "submit":
            known = self._first_tries.get(job, (begun_at, node))
            self._first_tries[job] = min(known, (begun_at, node))

    def _on_job_not_stored(self, at, node, fields):
        self._priorities.setdefault(fields["job"], fields["priority"])
        self.work_core_s.setdefault(fields["job"], fields["work_core_s"])

    def _on_job_seen(self, at, node, fields):
        super()._on_job_seen(at, node, fields)
        self._priorities.setdefault(fields["job"], fields["priority"])

    def priority_of(self, job):
        """Return a job's priority, if need be that of others on its queue, or None."""
        if job in self._priorities:
            return self._priorities[job]
        path = self._queue_paths.get(job)
        return next(
            (
                priority
                for other, priority in self._priorities.items()
                if self._queue_paths.get(other) == path
            ),
            None,
        )

    def zone_of(self, job, zones):
        """Return the zone of the entry that a job's caller tried first."""
        node = self._first_tries[job][1]
        return next((zone for zone in zones if f"-{zone}-" in node), "")

    @property
    def ends_at(self):
        """The time of the last line of the log."""
        return self._ends_at


def _job_work(job, day, run_times):
    """Return the core-seconds that a job takes, or None if no log describes it."""
    steps = run_times.steps.get(job)
    if steps is None:
        return day.work_core_s.get(job)
    return sum(
        step.count * (step.cores or 1.0) * run_times.work_s(job, number)[0]
        for number, step in enumerate(steps)
    )


def _outcome(name, day, run_times, value, kind, zone, last_end_s):
    """Return the `_Outcome` of a job whose value in time and late is `value`."""
    job, (in_time, late) = day.jobs[name], value
    day_end = min(day.ends_at, last_end_s)
    cancelled_at = day.cancelled_at.get(name, float("inf"))
    until = min(cancelled_at, day_end)
    bound = bound_of(name, day, run_times)

    def value_at(age_s):
        if bound is None or age_s <= bound.objective_s:
            return in_time
        return late if age_s <= TOO_LATE_FACTOR * bound.objective_s else 0.0

    if not job.is_served:
        earned, owed = 0.0, in_time
        if cancelled_at < float("inf"):
            owed = 0.0
    elif job.read_at is not None and job.read_at < until:
        earned, owed = value_at(job.read_at - job.submitted_at), in_time
    else:
        is_due = bound and job.submitted_at + bound.objective_s <= day_end
        is_owed = is_due and cancelled_at > day_end
        earned, owed = 0.0, in_time if is_owed else 0.0
    if bound is None:
        return _Outcome(
            name, kind, zone, in_time, job.is_served, earned, owed, in_time, in_time
        )
    if bound.end_s == float("inf"):
        best, owed_at_best = 0.0, owed
    elif job.submitted_at + bound.end_s < until:
        best, owed_at_best = value_at(bound.end_s), in_time
    else:
        best, owed_at_best = 0.0, owed
    if earned > best:
        # The bound is an estimate: what was reached is possible.
        best, owed_at_best = earned, in_time
    return _Outcome(
        name, kind, zone, in_time, job.is_served, earned, owed, best, owed_at_best
    )


def outcomes_of(day, run_times, values):
    """Return the outcomes of the jobs of a `ValuedDay`, by the site's `values`."""
    kinds, works = {}, collections.defaultdict(list)
    for name, job in day.jobs.items():
        if not job.attempts or name in day.rejected or job.submitted_at < 0:
            continue
        kind = values.kinds.get(day.priority_of(name))
        if kind is None:
            continue
        kinds[name] = kind
        work = _job_work(name, day, run_times)
        if work is not None:
            works[kind.name].append(work)
    outcomes = []
    for name, kind in kinds.items():
        mean = statistics.mean(works[kind.name] or [1.0])
        work = _job_work(name, day, run_times)
        weight = _BASE_WEIGHT + _WORK_WEIGHT * (mean if work is None else work) / mean
        weight = min(weight, _MAX_WEIGHT)
        value = (weight * kind.in_time, weight * kind.late)
        zone = day.zone_of(name, values.zones)
        outcomes.append(
            _outcome(name, day, run_times, value, kind.name, zone, values.last_end_s)
        )
    return outcomes


class Summary(NamedTuple):
    """What the benchmark counted of a group.

    How many jobs are owed, how many of these were not served, and the share earned.
    """

    owed: int
    failed: int
    earned: float


def read_summary(lines):
    """Return {kind or zone: `Summary`} by the tables that a play prints at its end.

    >>> read_summary(["slot-hold      7   5   0   1   1   1  0.921  5396.8  12175.3"])
    {'slot-hold': Summary(owed=6, failed=2, earned=0.921)}
    """
    summary = {}
    for line in lines:
        row = _SUMMARY_ROW.match(line)
        if row:
            failed = int(row["refused"]) + int(row["failed"])
            owed = int(row["asked"]) - int(row["not_owed"])
            summary[row["name"]] = Summary(owed, failed, float(row["earned"]))
    return summary


def shares_of(outcomes, values, day_name, summary=None):
    """Return the `Share` of each kind and each zone that is owed anything.

    What the benchmark counted goes first, where there is a `summary` of the play: it
    knows the work of each job and the zone of each caller.
    """
    summary = summary or {}
    kind_floor, zone_floor = values.floors.get(day_name, (None, None))
    names = [(one.name, "kind", kind_floor) for one in values.kinds.values()]
    names += [(zone, "zone", zone_floor) for zone in values.zones]
    shares = []
    for name, field, floor in names:
        group = [one for one in outcomes if getattr(one, field) == name]
        owed = sum(one.owed for one in group)
        owed_at_best = sum(one.owed_at_best for one in group)
        refused = sum(1 for one in group if one.owed and not one.is_served)
        counted = summary.get(name, Summary(None, refused, None))
        unreached = max(0, counted.failed - refused)
        if unreached and group:
            value = statistics.mean(one.value for one in group)
            owed += unreached * value
            owed_at_best += unreached * value
        if not owed and not owed_at_best:
            continue
        found = sum(1 for one in group if one.owed) + unreached
        earned = counted.earned
        if earned is None:
            earned = sum(one.earned for one in group) / owed if owed else 1.0
        best = sum(one.best for one in group) / owed_at_best if owed_at_best else 1.0
        shares.append(
            Share(
                name,
                earned,
                max(earned, best),
                found if counted.owed is None else counted.owed,
                floor,
                tuple(one.job for one in group if one.best < one.owed_at_best),
                unreached,
                counted.owed in (None, found),
            )
        )
    return shares


def read_shares(path, values, day_name):
    """Return the `Share` list of the log of one play."""
    with open(path, encoding="utf-8", errors="replace") as file:
        lines = file.read().splitlines()
    events = sorted(parse_log(lines), key=lambda event: event[0])
    run_times = RunTimes()
    run_times.read(0, events)
    run_times.settle()
    outcomes = outcomes_of(ValuedDay(events), run_times, values)
    return shares_of(outcomes, values, day_name, read_summary(lines))


def main(site: str, day_name: str, *paths: str):
    """Print earned shares, ceilings and floors of logged plays of a day.

    :param site: the deployment file
    :param day_name: the name of the day in that file, for its floors
    :param paths: logs of plays, each with all logs
    """
    values = read_site_values(site)
    for path in paths:
        for share in read_shares(path, values, day_name):
            floor = "no floor" if share.floor is None else f"floor {share.floor:.2f}"
            verdict = ""
            if share.is_short:
                verdict = " SHORT" if share.is_avoidable else " SHORT, nobody's"
            elif not share.is_avoidable:
                verdict = " ceiling below floor"
            lost = f" not in full: {' '.join(share.lost)}" if share.lost else ""
            if share.unreached:
                lost += f" {share.unreached} reached no entry"
            if not share.is_complete:
                lost += " (counted otherwise by the benchmark)"
            print(
                f"{path} {share.name:20} earned {share.earned:.2f},"
                f" ceiling {share.ceiling:.2f}, {floor},"
                f" {share.owed} owed{verdict}{lost}"
            )


if __name__ == "__main__":
    defopt.run(main)
