"""Plays of gangs whose runs fail, with writes in parts and takeovers, by machine.

A run of a gang that fails costs its job one attempt, however many members fail in it,
whoever reports their ends and whichever scheduler counts. A play is a job, how the
members of its gangs end, and what happens between the reports of their ends. Its name
holds all of it, so that a name reproduces a play:

    gang,128,all,up,1,4,20,1600,2,complete,bwt

is a gang of 128 members that all fail, told by index in 1 batch of reports; 4 other
jobs compete for the room of a write, which takes 20 operations and rows of 1600 bytes;
the job has 2 attempts, and completes once it runs again. The script: a batch is
reported, a write stored, and a new scheduler takes over (see `_Stage.play_script`).
Where the script is played again, a slash divides its first and its second form, and
that of the ends: `none/all` is a run that costs no attempt, and one that fails.

`run_play` runs it with the production scheduler, records and progress store, in memory
and beside simulated workers, and returns what was broken, as seen from outside. Some
thousand plays by hand, from the root of the repository, with the packages installed:

    PYTHONPATH=tests python tests/charge_enumeration.py --most 5000 --jobs 3 --seed 1
"""

import collections
import itertools
import math
import multiprocessing
import random
import re
from typing import NamedTuple

import defopt
from graph_builders import make_facts, make_record, make_step
from progress_rows_store import Store

from samphiredeal.model import runs
from samphiredeal.model.graph import GraphSpec, TaskName
from samphiredeal.model.runs import Ended, Refused, Report, RunId, Running
from samphiredeal.model.shape import Shape
from samphiredeal.platform.table import Limits
from samphiredeal.policy.graphs import records
from samphiredeal.policy.graphs.scheduler import GraphScheduler
from samphiredeal.policy.graphs.state import COMPLETED, FAILED, FINAL_STATES

# What the job has besides one gang: a large step that runs all the time, placed before
# the gang or while its members end; a second gang, at the same time or after the first;
# a second occurrence; checkpoints; or a worker that is not heard and given up. Instead
# of a gang, single tasks beside a large step that is placed while they end.
KINDS = (
    "gang",
    "large",
    "growing",
    "two",
    "after",
    "repeat",
    "checkpoint",
    "given-up",
    "tasks",
)
SIZES = (2, 3, 31, 32, 33, 40, 64, 96, 128)
# All members fail; one fails and the others are broken, first, last or between; mixes
# by their number; none fails; one fails, and the others as they are stopped.
ENDS = ("all", "first", "middle", "last", "mix1", "mix2", "mix3", "none", "answer")
# The order of the members' ends: by index, by index from the last, or shuffled.
ORDERS = ("up", "down", "shuffled")
# Batches of reports; `worker` has one for each worker.
BATCHES = ("1", "2", "3", "worker")
OTHERS = tuple(range(7))
OPERATIONS = (20, 100)
# Rows of 64 members take 1500 bytes and those of 96 take 2240, so that some gangs are
# in one row that is almost full. The last is that of the real store.
ROW_BYTES = (1000, 1600, 2300, 65_536)
# A row of single tasks takes up to 1800 bytes, and 2800 with a charge of each.
_TASKS_ROW_BYTES = (3200, 65_536)
# Small writes are drawn more often: the others hold all.
_DRAWN_OPERATIONS = (20, 20, 20, 100)
# More single tasks than this take long to play.
_MAX_TASKS = 40
ATTEMPTS = (1, 2, 3)
# What the next runs do: complete, fail whole, or be played as well and then complete.
THENS = ("complete", "fail", "again")
# What becomes of writes between reports: none, one, two, all are stored; one is stored
# without an answer, and composed again or not; one is lost.
STORED = ("", "w", "ww", "W", "u", "uw", "uW", "wu", "fw")
# A new scheduler, or two in a row, that have heard of the workers and written or not.
TAKEOVERS = ("", "", "t", "tr", "tt", "trt", "trwt", "trpwt", "trpWp", "trput")

_MIXED = (
    runs.FAILED,
    runs.GANG_BROKEN,
    runs.GANG_INCOMPLETE,
    runs.LAPSED,
    runs.STOPPED,
)
_JOB = "a"
_GPUS = 8
_ESTIMATE_MS = 10_000
_LARGE_COUNT = 96
_LATE_LABEL = "late"
_CHECKPOINT = "c1"
_WRITE_BYTES = 700_000
# Of the workers' names.
_DIGITS = 3
_BATCH_S = 0.05
_ROUND_S = 0.3
_MAX_ROUNDS = 60


class Play(NamedTuple):
    """A play; see the constants of this module for what the fields can be."""

    kind: str
    size: int
    ends: str
    order: str
    batches: str
    others: int
    operations: int
    row_bytes: int
    attempts: int
    then: str
    script: str


def name_of(play):
    """Return the name from which a play can be run again."""
    return ",".join(map(str, play))


def parse_play(name):
    """Return the play of a name.

    >>> name_of(parse_play("gang,128,all,up,1,4,20,1600,2,complete,bwt"))
    'gang,128,all,up,1,4,20,1600,2,complete,bwt'
    """
    kinds = Play.__annotations__.values()
    parts = zip(kinds, name.split(","), strict=True)
    return Play(*(kind(part) for kind, part in parts))


# Which plays there are


def plays():
    """Yield plays of one gang that fails whole in its second run, in a fixed order.

    After each batch something is stored, and then a new scheduler takes over or not.
    The first run costs no attempt, so that the failures do not tell the charged run.
    """
    for size, batches, others, operations, row_bytes in itertools.product(
        SIZES, BATCHES, OTHERS, OPERATIONS, ROW_BYTES
    ):
        for planned, stored, takeover in itertools.product(
            ("", "p"), ("", "w", "ww", "W", "u"), ("", "t", "tt", "trwt")
        ):
            script = ("b" + planned + stored + takeover) * _count_scripted(batches)
            yield Play(
                "gang",
                size,
                "none/all",
                "up",
                batches,
                others,
                operations,
                row_bytes,
                2,
                "again",
                f"bW/{script}",
            )


def draw_plays(most, seed, kinds=KINDS):
    """Return `most` plays, each drawn once by a seed."""
    rng, drawn = random.Random(f"charges-{seed}"), {}
    while len(drawn) < most:
        kind, batches, then = map(rng.choice, (kinds, BATCHES, THENS))
        size, ends, order = map(rng.choice, (SIZES, ENDS, ORDERS))
        script = _draw_script(rng, kind, _count_scripted(batches))
        if then == "again" and rng.random() < 0.7:
            ends = f"{rng.choice(ENDS)}/{rng.choice(ENDS)}"
            first = "".join(_draw_part(rng) for _ in range(_count_scripted(batches)))
            script = f"{first}/{script}"
        if kind == "tasks":
            size = min(size, _MAX_TASKS)
        row_bytes = _TASKS_ROW_BYTES if kind == "tasks" else ROW_BYTES
        drawn[
            Play(
                kind,
                size,
                ends,
                order,
                batches,
                rng.choice(OTHERS),
                rng.choice(_DRAWN_OPERATIONS),
                rng.choice(row_bytes),
                rng.choice(ATTEMPTS),
                then,
                script,
            )
        ] = None
    return list(drawn)


def _count_scripted(batches):
    """Return how many batches scripts contain; later ones are told as they settle."""
    return 4 if batches == "worker" else int(batches)


def _draw_script(rng, kind, count):
    parts = [_draw_part(rng) for _ in range(count)]
    if kind in ("growing", "tasks"):
        parts.insert(rng.randrange(count + 1), "n" + rng.choice(("", "p", "pw")))
    if kind == "given-up":
        given_up = rng.randrange(count + 1)
        parts.insert(given_up, "g" + rng.choice(("", "p", "pw", "W", "t", "tg", "pWp")))
        heard = rng.randrange(given_up + 1, count + 2)
        parts.insert(heard, "h" + rng.choice(("", "t", "w", "wt")))
    return "".join(parts)


def _draw_part(rng):
    """Return what happens from one batch of reports to the next."""
    planned = rng.choice(("", "p"))
    if rng.random() < 0.25:
        # A write is on its way as the ends are reported.
        part = "cb" + planned + rng.choice("adf") + rng.choice(("", "w", "W"))
    else:
        part = "b" + planned + rng.choice(STORED) + rng.choice(("", "", "p"))
    return part + rng.choice(TAKEOVERS)


# One play


class _Rows(Store):
    """Rows of all jobs, with a check of the conditions of each write."""

    def __init__(self, scheduler, limits):
        super().__init__(scheduler, limits)
        self.versions = {}
        self._states = {}

    def put_rows(self, batch):
        for key, version in batch.conditions:
            assert self.versions.get(key, 0) == version, f"a condition on {key}"
        super().put_rows(batch)
        self.versions.update((put.key, self.version) for put in batch.puts)
        for job in batch.jobs:
            head = records.decode(self.rows[f"progress/{job.id}"], records.Progress)
            self._states[job.id] = head.state

    def load(self, job_id):
        """Return the (head, {name: unit rows}) of a job, or (None, {}) as a scheduler.

        Rows of units count only for a head that says that there are any. They are in
        the order in which they were written.
        """
        key = f"progress/{job_id}"
        if key not in self.rows:
            return None, {}
        head = records.decode(self.rows[key], records.Progress)
        prefix = f"units/{job_id}/"
        keys = [key for key in self.rows if key.startswith(prefix) and head.is_split]
        keys.sort(key=self.versions.get)
        units = {
            key.removeprefix(prefix): records.decode(self.rows[key], records.UnitRows)
            for key in keys
        }
        return head, units

    def state_of(self, job_id):
        """Return the stored state of a job, or an empty string."""
        return self._states.get(job_id, "")

    def listed_members(self, job_id):
        """Return the (task, run) of all members that the rows name."""
        head, rows = self.load(job_id)
        every_unit = [head.units] if head is not None else []
        every_unit += [row.units for row in rows.values()]
        return {
            (TaskName(job_id, *_step_of(key), place.index).text, record.run)
            for units in every_unit
            for key, record in units.items()
            for place in record.places
        }

    def taken_over_by(self, job_records, now):
        """Return the same rows with a new scheduler that has loaded all jobs."""
        other = _Rows(GraphScheduler(), self.limits)
        other.rows, other.version = self.rows, self.version
        other.versions, other._states = self.versions, self._states
        for record in job_records:
            head, rows = self.load(record.id)
            progress = None
            if head is not None:
                version = self.versions[f"progress/{record.id}"]
                other.progress.track(record.id, version, rows, head.units)
                progress = records.join(head, rows.values())
            other.scheduler.add_job(record, progress, now)
        return other


class _Worker:
    """A simulated worker and its agent: runs, ends that are not acknowledged."""

    def __init__(self, name, facts):
        self.name = name
        self.facts = facts
        self.running = {}
        self.ends = []
        self.refused = []
        self.highest = {}
        self.completions = 0
        self.is_heard = True

    def end(self, run, how, checkpoint=""):
        del self.running[run]
        self.completions += 1
        self.ends.append(Ended(self.completions, *run, how, checkpoint))

    def refuse(self, run, reason):
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        if not any((end.task, end.run) == run for end in self.ends):
            self.refused.append(Refused(*run, reason))

    def report(self, looks, checkpoint):
        listed = tuple(Running(*run, checkpoint, looks % 90) for run in self.running)
        return Report(
            self.facts,
            looks=looks,
            running=listed,
            ended=tuple(self.ends),
            refused=tuple(self.refused),
        )


def _is_of_job(run):
    return run.task.startswith(f"{_JOB}.")


def _step_of(key):
    """Return the (occurrence, step) of a unit."""
    return tuple(map(int, key.split(".")[:2]))


def _gang_of(play, task):
    """Return the name of a task's gang, or its own, within its job."""
    name = task.split(".", 1)[1]
    return name if play.kind == "tasks" else name.rpartition(".")[0]


class _Stage:
    """The system of a play, and what an observer outside knows of it."""

    def __init__(self, play):
        self.play = play
        self.broken = {}
        self.now = 0.0
        self._looks = 0
        limits = Limits(play.row_bytes, _WRITE_BYTES, play.operations)
        self._rows = _Rows(GraphScheduler(), limits)
        self._records = [_other_job(number) for number in range(play.others)]
        self._records.append(_job_of(play))
        self._steps = self._records[-1].spec.steps
        self._workers = _make_workers(play)
        # The write on its way, with the completions that it acknowledges.
        self._in_flight = None
        # Numbers of the completions told to this scheduler, by worker.
        self._told = {}
        self._is_planned = False
        # How members of a run in play will end, and the batches that are left of it.
        self._endings = {}
        self._batches = []
        # Whether members of it that are stopped end as they will.
        self._are_stops_answered = False
        self._scripts_played = collections.Counter()
        # By gang: the last run that was started, and those of which a scheduler that
        # could take note of it was told a failure.
        self._last_run = {}
        self._failed_runs = collections.defaultdict(set)
        # The members that were started.
        self._started = set()
        # The (gang, run) of those of which the present scheduler was told.
        self._known_failures = set()
        self._done = set()
        # Members that the present scheduler has given up.
        self._given_up = set()

    @property
    def scheduler(self):
        return self._rows.scheduler

    @property
    def _job(self):
        return self.scheduler.jobs[_JOB]

    @property
    def _is_failure_due(self):
        most = max(map(len, self._failed_runs.values()), default=0)
        return most >= self.play.attempts

    def _is_failure_known(self, gang):
        """Return whether nothing may start, by what is stored and the scheduler knows.

        A new scheduler that has not been told of one gang's end may start another gang
        of its job, if the one before is lost with all that it was told. Members of the
        same gang are placed until the end is told.
        """
        return self._rows.state_of(_JOB) == FAILED or any(
            len(failed) >= self.play.attempts
            and (one == gang or (one, max(failed)) in self._known_failures)
            for one, failed in self._failed_runs.items()
        )

    def run(self):
        """Run the play, and settle all."""
        for worker in self._workers.values():
            if _LATE_LABEL not in worker.facts.labels:
                self.scheduler.add_worker(worker.name, worker.facts.zone)
        for record in self._records:
            self.scheduler.add_job(record, None, self.now)
        for _ in range(_MAX_ROUNDS):
            self._settle_round()
            if self._job.state in FINAL_STATES and not self._has_runs():
                break
            self._act()
        due = FAILED if self._is_failure_due else COMPLETED
        state = self._rows.state_of(_JOB)
        if state != due:
            head, _units = self._rows.load(_JOB)
            told = {gang: sorted(runs) for gang, runs in self._failed_runs.items()}
            self._break(
                f"{state} instead of {due}",
                f"failed runs {told} of {self.play.attempts} attempts: {head.reason!r}",
            )

    def _break(self, kind, line):
        self.broken.setdefault(kind, line)

    def _has_runs(self):
        return any(
            _is_of_job(run)
            for worker in self._workers.values()
            for run in worker.running
        )

    # Phases

    def _settle_round(self):
        """Tell all, plan, store all and send orders, as if nothing was in the way."""
        self.now += _ROUND_S
        self._resolve("a")
        if self._batches:
            self._end_batch()
        for worker in self._workers.values():
            worker.is_heard = True
        self._report_all()
        self._check_charges()
        for _ in range(2):
            self._plan()
            self._write("W")
        self._plan()

    def _act(self):
        """Play the script with gangs that run whole, or let these end."""
        if self._endings or self._batches:
            return
        whole = self._whole_gangs()
        most = 2 if self.play.then == "again" else 1
        scripted = {
            gang: members
            for gang, members in whole.items()
            if self._scripts_played[gang] < most
        }
        if scripted:
            self._scripts_played.update(scripted.keys())
            turn = max(self._scripts_played[gang] for gang in scripted)
            ends = _part(self.play.ends, turn)
            self._prepare_batches(list(itertools.chain(*scripted.values())), ends)
            self.play_script(_part(self.play.script, turn))
            return
        how = runs.FAILED if self.play.then == "fail" else runs.DONE
        for gang, members in whole.items():
            for worker, run in members:
                worker.end(run, how, self._checkpoint)
            if how == runs.DONE:
                self._done.add(gang)
        if len(self._done) == self._count_gangs():
            for worker in self._workers.values():
                for run in list(worker.running):
                    if _is_of_job(run):
                        worker.end(run, runs.DONE)

    def _count_gangs(self):
        counts = {"two": 2, "after": 2, "repeat": 2, "tasks": self.play.size}
        return counts.get(self.play.kind, 1)

    def _whole_gangs(self):
        """Return ``{gang: [(worker, run)]}`` of those of which all members run."""
        members = collections.defaultdict(list)
        for worker in self._workers.values():
            for run in worker.running:
                if _is_of_job(run) and self._is_played(run.task):
                    members[_gang_of(self.play, run.task)].append((worker, run))
        return {
            gang: sorted(found, key=lambda one: int(one[1].task.rpartition(".")[2]))
            for gang, found in members.items()
            if len(found) == (1 if self.play.kind == "tasks" else self.play.size)
            and len({run.run for _worker, run in found}) == 1
        }

    def _is_played(self, task):
        """Return whether a task is a member of a gang whose runs fail."""
        step = int(task.split(".")[2])
        return self._steps[step].shape.accelerators > 0

    def _prepare_batches(self, members, ends):
        """Decide how and in which batches members end."""
        play = self.play
        rng = random.Random(f"{ends}-{play.order}-{play.size}")
        if play.order == "down":
            members.reverse()
        elif play.order == "shuffled":
            rng.shuffle(members)
        for (_worker, run), how in zip(
            members, _endings(ends, len(members)), strict=True
        ):
            self._endings[run] = how
        self._are_stops_answered = ends == "answer"
        if ends == "answer" and play.kind != "tasks":
            members = _first_of_each_gang(members, _count_scripted(play.batches))
        if play.batches == "worker":
            by_worker = collections.defaultdict(list)
            for worker, run in members:
                by_worker[worker.name].append((worker, run))
            self._batches = list(by_worker.values())
        else:
            length = math.ceil(len(members) / int(play.batches))
            starts = range(0, len(members), length)
            self._batches = [members[start : start + length] for start in starts]
        if play.kind == "given-up":
            # Its members end with the others, but nobody hears of it.
            members[0][0].is_heard = False

    def play_script(self, script):
        """Do what the letters of a script say.

        b: the next members end, and their workers report; r: all workers report;
        p: the scheduler plans and sends orders; c: it composes a write; a, d, f: that
        is stored and answered, stored without an answer, or lost; w, u: c and a or d;
        W: writes until nothing is left; t: a new scheduler takes over; n: a worker for
        the large step is added; g: a worker that is not heard is given up; h: it is
        heard again.
        """
        actions = {
            "b": self._report_batch,
            "r": self._report_all,
            "p": self._plan,
            "c": self._compose,
            "t": self._take_over,
            "n": self._add_late_worker,
            "g": self._give_up,
            "h": self._hear,
        }
        for letter in script:
            self.now += _BATCH_S
            if letter in "adf":
                self._resolve(letter)
            elif letter in "wuW":
                self._write(letter)
            else:
                actions[letter]()

    # Workers

    @property
    def _checkpoint(self):
        return _CHECKPOINT if self.play.kind == "checkpoint" else ""

    def _end_batch(self):
        """Let the next members end; return their workers."""
        batch = self._batches.pop(0) if self._batches else []
        for worker, run in batch:
            self._end_as_planned(worker, run)
        return list({worker.name: worker for worker, _run in batch}.values())

    def _end_as_planned(self, worker, run):
        how = self._endings.pop(run, None)
        if how is not None and run in worker.running:
            worker.end(run, how, self._checkpoint)

    def _report_batch(self):
        # What the others do at this time changes their progress too.
        for job in self.scheduler.jobs.values():
            for unit in job.units.values():
                if unit.run and not (job.id == _JOB and self._is_member(unit)):
                    job.touch(unit)
        for worker in self._end_batch():
            self._report(worker)

    def _is_member(self, unit):
        return unit.spec.shape.accelerators > 0

    def _report_all(self):
        for worker in self._workers.values():
            self._report(worker)

    def _report(self, worker):
        if not worker.is_heard or worker.name not in self.scheduler.workers:
            return
        self._looks += 1
        for end in worker.ends:
            member = RunId(end.task, end.run)
            if end.how == runs.FAILED and member not in self._given_up:
                gang = _gang_of(self.play, end.task)
                self._failed_runs[gang].add(end.run)
                self._known_failures.add((gang, end.run))
        report = worker.report(self._looks, self._checkpoint)
        self.scheduler.apply_report(worker.name, report, self.now)
        worker.refused.clear()
        if worker.ends:
            self._told[worker.name] = worker.ends[-1].number
        self._is_planned = False

    def _give_up(self):
        """Give up a worker that is not heard: its lease has certainly expired."""
        for worker in self._workers.values():
            if not worker.is_heard:
                for run in list(worker.running):
                    worker.end(run, self._endings.pop(run, runs.LAPSED))
                self._given_up.update(RunId(end.task, end.run) for end in worker.ends)
                self.scheduler.mark_worker_failed(worker.name, "its lease has expired")

    def _hear(self):
        for worker in self._workers.values():
            if not worker.is_heard:
                worker.is_heard = True
                self._report(worker)

    def _add_late_worker(self):
        for worker in self._workers.values():
            if _LATE_LABEL in worker.facts.labels:
                self.scheduler.add_worker(worker.name, worker.facts.zone)
                self._report(worker)

    # The scheduler

    def _plan(self):
        """Plan and send orders."""
        self.scheduler.plan(self.now, int(self.now * 1000))
        self.scheduler.take_log_entries()
        for worker in self._workers.values():
            if not worker.is_heard or worker.name not in self.scheduler.workers:
                continue
            starts, stops = self.scheduler.orders_for(worker.name, self.now)
            for order in starts:
                self._start(worker, RunId(order.task, order.run))
            for task, number in stops:
                self._stop(worker, RunId(task, number))

    def _start(self, worker, run):
        if run in worker.running:
            return
        if run.run <= worker.highest.get(run.task, 0):
            worker.refuse(run, runs.OLD_RUN)
            return
        if _is_of_job(run) and self._is_played(run.task):
            self._check_start(run)
        worker.highest[run.task] = run.run
        worker.running[run] = True

    def _check_start(self, run):
        gang = _gang_of(self.play, run.task)
        last = self._last_run.get(gang, 0)
        self._last_run[gang] = max(last, run.run)
        if self._is_failure_known(gang):
            self._break("started after its last attempt", f"{run}")
        if run.run < last:
            self._break("run number not rising", f"{run} after run {last}")
        if run in self._started:
            self._break("run number used twice", f"{run}")
        self._started.add(run)
        if run.run == last:
            return
        for worker in self._workers.values():
            for other in filter(_is_of_job, worker.running):
                if _gang_of(self.play, other.task) == gang:
                    self._break("started beside an earlier run", f"{run}, {other}")

    def _stop(self, worker, run):
        if run not in worker.running:
            worker.refuse(run, runs.STOPPED)
        elif run not in self._endings:
            worker.end(run, runs.STOPPED, self._checkpoint)
        elif self._are_stops_answered:
            self._end_as_planned(worker, run)

    def _compose(self):
        """Compose a write, unless one is on its way; as `Dispatcher` does it."""
        if self._in_flight is not None:
            return False
        dirty = self.scheduler.take_dirty()
        if not dirty:
            self._acknowledge(self._told)
            return False
        batch = self._rows.progress.next_batch(dirty)
        whole = {write.job for write in batch.writes if write.is_whole}
        for job in dirty:
            job.dirty = job not in whole
        self._in_flight = batch, dict(self._told) if batch.is_all else {}
        return True

    def _resolve(self, letter):
        """Let the write on its way be stored and answered, or not."""
        if self._in_flight is None:
            return
        (batch, told), self._in_flight = self._in_flight, None
        if letter == "a":
            self._rows.apply(batch)
            self._acknowledge(told)
            return
        if letter == "d":
            self._rows.put_rows(batch)
        for job in batch.jobs:
            job.dirty = True
            key = f"progress/{job.id}"
            self._rows.progress.raise_version(job.id, self._rows.versions.get(key, 0))

    def _write(self, letter):
        self._resolve("a")
        while self._compose():
            self._resolve("d" if letter == "u" else "a")
            if letter != "W":
                break

    def _acknowledge(self, told):
        for name, number in told.items():
            worker = self._workers[name]
            worker.ends = [end for end in worker.ends if end.number > number]

    def _take_over(self):
        """Let a new scheduler read the rows; a write on its way is lost."""
        self._in_flight = None
        self._told = {}
        self._known_failures = set()
        self._rows = self._rows.taken_over_by(self._records, self.now)
        for worker in self._workers.values():
            self.scheduler.add_worker(worker.name, worker.facts.zone)
        # It does not know what another one has given up, unless the rows say it.
        self._given_up -= self._rows.listed_members(_JOB)

    def _check_charges(self):
        """Check the attempts charged, as the scheduler has heard of all ends."""
        if not self._job.active:
            return
        for key, unit in self._job.units.items():
            due = len(self._failed_runs[key])
            if self._is_member(unit) and not unit.done and unit.failures != due:
                kind = "charged too often" if unit.failures > due else "not charged"
                told = sorted(self._failed_runs[key])
                self._break(kind, f"{unit.failures} failures of {key}, runs {told}")


def _part(text, turn):
    """Return the part of a play's text that holds for the first or second turn."""
    parts = text.split("/")
    return parts[min(turn, len(parts)) - 1]


def _endings(ends, count):
    """Return how each of some members ends."""
    if ends in ("all", "answer"):
        return [runs.FAILED] * count
    if ends.startswith("mix"):
        rng = random.Random(f"{ends}-{count}")
        return rng.choices(_MIXED, k=count)
    hows = [runs.GANG_BROKEN] * count
    failing = {"first": 0, "middle": count // 2, "last": -1}
    if ends in failing:
        hows[failing[ends]] = runs.FAILED
    return hows


def _first_of_each_gang(members, count):
    """Return the first `count` members of each gang, fewer than all."""
    by_gang = collections.defaultdict(list)
    for worker, run in members:
        by_gang[run.task.rpartition(".")[0]].append((worker, run))
    first = (gang[: min(count, len(gang) - 1)] for gang in by_gang.values())
    return list(itertools.chain(*first))


def _other_job(number):
    step = make_step(shape=Shape(0, 1, 0), estimate_ms=1_000_000)
    return make_record(f"b{number}", [step], max_attempts=9)


def _job_of(play):
    checkpointing = play.kind == "checkpoint"
    size = 8 if play.size <= 3 else 1
    gang = make_step(
        play.size,
        size,
        gang=play.kind != "tasks",
        estimate_ms=_ESTIMATE_MS,
        checkpointing=checkpointing,
    )
    large = make_step(
        _LARGE_COUNT, shape=Shape(0, 1, 0), gang=True, estimate_ms=1_000_000
    )
    steps = {
        "large": (large, gang),
        "growing": (gang, large._replace(label=_LATE_LABEL)),
        "tasks": (gang, large._replace(label=_LATE_LABEL)),
        "two": (gang, gang),
        "after": (gang, gang._replace(after=(0,))),
    }.get(play.kind, (gang,))
    repeats = 2 if play.kind == "repeat" else 0
    spec = GraphSpec("payload", steps, repeats, 0, 1)
    return make_record(_JOB, spec=spec, max_attempts=play.attempts)


def _make_workers(play):
    """Return workers with room for each gang twice, and one for a late step."""
    gangs = 2 if play.kind in ("two", "repeat") else 1
    per_worker = 1 if play.size <= 3 else _GPUS
    count = 2 * gangs * math.ceil(play.size / per_worker) + 2
    workers = {}
    for number in range(count + 1):
        name = f"w{number:0{_DIGITS}}"
        labels = ("kind", f"r{number // 8}") if number < count else (_LATE_LABEL, "r")
        facts = make_facts(name, "ab"[number % 2], labels=labels)
        # Room for small tasks beside eight members.
        capacity = facts.capacity._replace(memory_mb=facts.capacity.memory_mb + 500)
        if number == count:
            capacity = Shape(0, 500, 0)
        workers[name] = _Worker(name, facts._replace(capacity=capacity))
    return workers


def run_play(name):
    """Run the play of a name; return (invariant, line) for each violation."""
    stage = _Stage(parse_play(name))
    try:
        stage.run()
    except Exception as error:
        kind = re.sub(r"\d+", "N", f"{type(error).__name__}: {error}")
        stage.broken.setdefault(kind.splitlines()[0], f"{error!r}")
    return list(stage.broken.items())


def main(
    *,
    most: int = 5000,
    jobs: int = 1,
    seed: int = 1,
    listed: int = 0,
    kinds: str = ",".join(KINDS),
    first: int = 20,
    name: str = "",
):
    """Run plays and print how many were broken, by invariant, and the first names.

    :param most: plays that are drawn
    :param jobs: processes
    :param seed: seed of the draw
    :param listed: most plays of one gang in its second run; if there are more, a sample
    :param kinds: kinds of the drawn plays, separated by commas
    :param first: how many broken plays to print
    :param name: run only this play
    """
    names = [name_of(play) for play in draw_plays(most, seed, kinds.split(","))]
    if listed:
        whole = [name_of(play) for play in plays()]
        if len(whole) > listed:
            whole = random.Random(f"listed-{seed}").sample(whole, listed)
        names += whole
    if name:
        names = [name]
    broken, by_kind = [], collections.Counter()
    with multiprocessing.Pool(jobs) as pool:
        results = pool.imap(run_play, names, chunksize=8)
        for one, violations in zip(names, results, strict=True):
            if violations:
                broken.append({kind for kind, _line in violations})
                by_kind[one.partition(",")[0]] += 1
                if len(broken) <= first:
                    print(one)
                    for kind, line in violations:
                        print(f"    {kind}: {line}", flush=True)
    print(f"{len(names)} plays, {len(broken)} broken")
    for kind, number in by_kind.most_common():
        print(f"  {number} of {kind}")
    for kind, number in collections.Counter(itertools.chain(*broken)).most_common():
        print(f"  {kind}: {number}")


if __name__ == "__main__":
    defopt.run(main)
