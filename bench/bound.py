"""Earliest ends that anybody could have reached: ``python -m bench.bound DAY.log``.

For each job of a logged day that was refused, late or unfinished, prints the earliest
time at which it could have ended, as seconds since its caller's first attempt, beside
its objective:

- It is stored as soon as a running entry reaches the store.
- Each step begins as soon as those before it have ended. As many of its tasks run at
  once as fit on all workers if those are empty and as fast as the fastest one. A step
  that takes more than a quarter of them is expected in waves, as its objective is.
- While no VM is up nothing begins. If all workers are lost too, a step that runs then
  begins anew, unless it saves checkpoints; then it only pauses.
- Its end is told as soon as a running entry reaches the store.

If that is later than the objective, the job's lateness is ``nobody's``; else it is
``ours``. The work of a task is the time that its run took, by the speed of its worker,
which is estimated from all runs of the logs; several logs of a day give more. Of steps
that never ran to their end it is the estimate, corrected by the job's other steps; such
bounds are marked ``by estimate``.
"""

import collections
from itertools import pairwise
from typing import NamedTuple

import defopt

from bench.late import Day, parse_log
from samphiredeal.model import answers
from samphiredeal.policy.graphs.speeds import Sample, WorkerSpeeds

# Sweeps over all workers in which the beliefs on their speeds settle.
_SWEEPS = 10
# Answers to callers who have no right to be served.
_REJECTIONS = (answers.UNKNOWN_KEY, answers.MALFORMED, answers.NO_QUEUE)
# An entry that reaches the store for so long can store a job. Resolution of the search.
_STORE_WINDOW_S = 0.051
_STORE_STEP_S = 0.005
# No VM is up if nothing is logged for at least this long, and then only starts are.
_DARK_MIN_S = 0.4
_STARTS = {"entry_started", "agent_started"}
# How long after the first one the other VMs are back, and their workers heard.
_RETURN_SPREAD_S = 0.3
_WORKERS_HEARD_S = 3.0
# A step that takes more than this part of all workers is expected in waves.
_WAVE_DIVISOR = 4


class Step(NamedTuple):
    """A step of a job, as logged when the job was first seen.

    `fitting` is the number of its tasks that fit on all workers and `cores` the demand
    of one, both 0 if unknown.
    """

    estimate_s: float
    count: int
    checkpointing: bool
    after: tuple
    fitting: int = 0
    cores: float = 0.0

    @property
    def rounds(self):
        """How many times the longest task has to run one after another."""
        return -(-self.count // self.fitting) if self.fitting else 1

    @property
    def waves(self):
        """In how many waves its user expects it to run."""
        if not self.fitting:
            return 1
        return -(-self.count // max(1, self.fitting // _WAVE_DIVISOR))


class DarkSpan(NamedTuple):
    """A time in which no VM was up, and whether all workers were lost with them."""

    begin: float
    end: float
    are_workers_lost: bool


class Bound(NamedTuple):
    """When a job could have ended at best, in seconds since its first attempt.

    `end_s` is infinity if no entry could store the job before its caller gave up.
    """

    end_s: float
    objective_s: float
    is_measured: bool

    @property
    def is_ours(self):
        """Whether the job could have ended within its objective."""
        return self.end_s <= self.objective_s


class RunTimes:
    """The durations of whole runs in some logs, and the speeds that follow."""

    def __init__(self):
        self.steps = {}
        self._started = {}
        self._resumed = set()
        self._ended = []
        self._speeds = WorkerSpeeds()
        self._work_s = {}
        self._workers = set()

    def read(self, log_number, events):
        """Read the events of one log."""
        for at, _node, fields in events:
            kind = fields.get("message_type")
            if kind == "job_seen" and fields["job"] not in self.steps:
                if "steps" not in fields:
                    raise ValueError("the log is of an earlier build, without steps")
                self.steps[fields["job"]] = [
                    Step(estimate_s, count, checkpointing, tuple(after), *rest)
                    for estimate_s, count, checkpointing, after, *rest in fields[
                        "steps"
                    ]
                ]
            elif kind == "unit_placed" and fields["checkpoint"]:
                unit = (fields["job"], *fields["unit"].split("."))
                self._resumed.add((log_number, unit, fields["run"]))
            elif kind == "run_start" and fields["outcome"] == "started":
                run = (log_number, fields["task"], fields["run"])
                self._started.setdefault(run, at)
            elif kind == "run_ended" and fields["how"] == "done":
                self._record_end(log_number, at, fields)

    def _record_end(self, log_number, at, fields):
        run = (log_number, fields["task"], fields["run"])
        job, occurrence, step, index = fields["task"].split(".")
        units = ((job, occurrence, step), (job, occurrence, step, index))
        is_whole = not any(
            (log_number, unit, fields["run"]) in self._resumed for unit in units
        )
        if is_whole and run in self._started and job in self.steps:
            took_s = at - self._started[run]
            self._ended.append((log_number, fields, int(step), took_s))

    def settle(self):
        """Estimate the speeds of the workers, and the work of each step."""
        for log_number, fields, step, took_s in self._ended:
            worker, job = fields["worker"], fields["task"].split(".")[0]
            self._workers.add(worker)
            estimate_s = self.steps[job][step].estimate_s
            self._speeds.record(
                worker,
                job,
                f"{log_number} {fields['task']}",
                fields["run"],
                Sample(estimate_s, took_s, 0.0),
            )
        for _ in range(_SWEEPS):
            for worker in self._workers:
                self._speeds.refresh(worker)
        by_task = collections.defaultdict(list)
        for _log, fields, step, took_s in self._ended:
            speed = self._speeds.speed_of(fields["worker"])
            job = fields["task"].split(".")[0]
            by_task[job, step, fields["task"]].append(took_s * speed)
        for (job, step, _task), work_s in by_task.items():
            least = min(work_s)
            self._work_s[job, step] = max(self._work_s.get((job, step), 0.0), least)

    @property
    def fastest(self):
        """The speed of the fastest worker."""
        speeds = [self._speeds.speed_of(worker) for worker in self._workers]
        return max(speeds, default=1.0)

    def work_s(self, job, step):
        """Return the work of a step's longest task, and whether it was measured."""
        if (job, step) in self._work_s:
            return self._work_s[job, step], True
        estimate_s = self.steps[job][step].estimate_s
        return estimate_s / self._speeds.pace_of(job), False


class BoundedDay(Day):
    """A day with the times in which no VM was up."""

    def __init__(self, events):
        # Times at which agents logged a worker's incarnation, and when it was born.
        self._births = []
        self.seen = {}
        # Jobs that are not to be served, by an answer to their caller.
        self.rejected = set()
        self._ends_at = max((at for at, _node, _fields in events), default=0.0)
        super().__init__(events)
        self.dark_spans = self._find_dark_spans(events)

    def _on_call_answered(self, at, node, fields):
        super()._on_call_answered(at, node, fields)
        if fields["answer"] in _REJECTIONS:
            self.rejected.add(fields["path"].rsplit("/", 1)[-1])

    def _on_worker_life(self, at, node, fields):
        born_at = int(fields["life"].rsplit("/", 1)[1]) / 1000
        self._births.append((at, born_at - fields["timestamp"] + at))

    def _on_job_seen(self, at, node, fields):
        super()._on_job_seen(at, node, fields)
        self.seen.setdefault(fields["job"], fields)

    def is_due(self, job, bound):
        """Return whether the log covers all of the time in which a job should end."""
        return job.submitted_at + bound.objective_s <= self._ends_at

    def _find_dark_spans(self, events):
        """Return the gaps in the log after which every node begins with its start."""
        spans = []
        for (before_at, *_before), (first_at, *_first) in pairwise(events):
            if first_at - before_at < _DARK_MIN_S:
                continue
            first_lines = {}
            for at, node, fields in events:
                if first_at <= at <= first_at + _RETURN_SPREAD_S:
                    first_lines.setdefault(node, fields.get("message_type"))
            if len(first_lines) > 1 and set(first_lines.values()) <= _STARTS:
                spans.append(self._dark_span(before_at, first_at))
        return spans

    def _dark_span(self, begin, first_start_at):
        heard = [
            born_at
            for logged_at, born_at in self._births
            if 0 <= logged_at - first_start_at < _WORKERS_HEARD_S
        ]
        are_lost = bool(heard) and min(heard) > begin
        end = min(first_start_at, *heard) if are_lost else first_start_at
        return DarkSpan(begin, end, are_lost)

    def told_at(self, ended_at):
        """Return when the end of a job could be stored, and so be told, at best."""
        stored_at = self.earliest_store(ended_at, self._ends_at)
        return ended_at if stored_at is None else stored_at

    def earliest_store(self, begin, end):
        """Return the first time at which an entry could store a job, or None."""
        at = begin
        while at < end:
            if self.could_store(at, min(end, at + _STORE_WINDOW_S)):
                return at
            at += _STORE_STEP_S
        return None


def advance(at, work_s, checkpointing, dark_spans):
    """Return when work that begins at `at` ends, if it runs whenever it can.

    >>> advance(1.0, 4.0, False, [DarkSpan(3.0, 4.0, True)])
    8.0
    >>> advance(1.0, 4.0, True, [DarkSpan(3.0, 4.0, True)])
    6.0
    """
    left_s = work_s
    for span in dark_spans:
        if span.end <= at:
            continue
        if at >= span.begin:
            at = span.end
        elif at + left_s <= span.begin:
            break
        elif span.are_workers_lost:
            left_s = left_s - (span.begin - at) if checkpointing else work_s
            at = span.end
    return at + left_s


def bound_of(job_id, day, run_times):
    """Return the `Bound` of a job, or None if the log does not describe its steps."""
    job = day.jobs[job_id]
    steps = run_times.steps.get(job_id)
    begun_at = job.submitted_at
    accepted_at = job.accepted_at
    until = job.caller_deadline if accepted_at is None else accepted_at
    stored_at = day.earliest_store(begun_at, until) or accepted_at
    if stored_at is None:
        return Bound(float("inf"), 0.0, True)
    if steps is None or job_id not in day.seen:
        return None
    ends, chain, is_measured = [], [], True
    for number, step in enumerate(steps):
        work_s, measured = run_times.work_s(job_id, number)
        is_measured = is_measured and measured
        ready_at = max((ends[one] for one in step.after), default=stored_at)
        ends.append(
            advance(
                ready_at,
                step.rounds * work_s / run_times.fastest,
                step.checkpointing,
                day.dark_spans,
            )
        )
        before_s = max((chain[one] for one in step.after), default=0.0)
        chain.append(before_s + step.waves * work_s)
    seen = day.seen[job_id]
    objective_s = seen["stretch"] * max(chain) + seen["target_s"]
    return Bound(day.told_at(max(ends)) - begun_at, objective_s, is_measured)


def verdict(job_id, day, run_times):
    """Return a line on a job that was not served in time, or None if it was."""
    job = day.jobs[job_id]
    if not job.attempts or job_id in day.rejected:
        return None
    bound = bound_of(job_id, day, run_times)
    if not job.is_served:
        outcome = "refused"
        if bound is None:
            # Which steps the job had is in no log.
            return "refused: ours, an entry could have stored it"
    elif bound is None or (job.ended and job.ended["state"] != "completed"):
        return None
    elif job.read_at is None:
        if not day.is_due(job, bound):
            return None
        outcome = "unfinished"
    elif job.read_at - job.submitted_at <= bound.objective_s:
        return None
    else:
        outcome = f"ended after {job.read_at - job.submitted_at:.2f} s"
    whose = "ours" if bound.is_ours else "nobody's"
    if bound.end_s == float("inf"):
        return f"{outcome}: {whose}, no entry could store it in its caller's time"
    return (
        f"{outcome}: {whose}, possible after {bound.end_s:.2f} s,"
        f" objective {bound.objective_s:.2f} s"
        + ("" if bound.is_measured else " (by estimate)")
    )


def main(*paths: str):
    """Print the bound of each job that was not served in time.

    :param paths: logs of plays of one day, each with all logs
    """
    run_times, days = RunTimes(), {}
    for number, path in enumerate(paths):
        with open(path, encoding="utf-8", errors="replace") as lines:
            events = sorted(parse_log(lines), key=lambda event: event[0])
        days[path] = BoundedDay(events)
        run_times.read(number, events)
    run_times.settle()
    for path, day in days.items():
        for span in day.dark_spans:
            lost = "with all workers" if span.are_workers_lost else "workers run on"
            print(f"{path} no VM from {span.begin:.2f} to {span.end:.2f} s, {lost}")
        for name, job in day.jobs.items():
            line = verdict(name, day, run_times)
            if line is not None:
                print(f"{path} {name} at {job.submitted_at:.2f} s {line}")


if __name__ == "__main__":
    defopt.run(main)
