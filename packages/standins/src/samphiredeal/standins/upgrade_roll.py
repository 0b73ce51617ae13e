"""A rolling replacement of one build by another: forward, back, and forward again.

Entries and agents are replaced one at a time, in an order that a seed determines, with
jobs of all kinds at work: steps, a repeated job, a lasting one, a gang of which members
fail in parts, and one whose progress is split into rows. Jobs are cancelled, some that
run, wait or have ended. In between the scheduler is moved by SIGTERM, by SIGKILL, and
by SIGSTOP until it is replaced.

What must hold is read from outside, from answers to callers and histories of workers.
One limit: ae33cb2 and earlier builds charge each failed member of a gang as an attempt,
so all jobs have more attempts than these use up.
"""

import contextlib
import http
import math
import random
import signal
import time

from samphiredeal.model import runs
from samphiredeal.standins import soak_checks, upgrade_jobs
from samphiredeal.standins.launch import STARTUP_TIMEOUT_S, wait_for
from samphiredeal.standins.soak_calls import StateAsker, clock
from samphiredeal.standins.upgrade_cluster import (
    TIMEOUT_S,
    MixedCluster,
    faults_of,
    gangs_unlike_the_platform,
)

ENTRIES = 3
WORKERS = 4
# Each failed run of a gang uses up as many as it has members, by the earliest builds.
_ATTEMPTS = 4 * upgrade_jobs.MEMBERS
_FAILS_AFTER_S = 1.0


class Roll:
    """Replaces the processes of a cluster under load, and checks what was seen."""

    def __init__(self, cluster, seed):
        self._cluster = cluster
        self._random = random.Random(seed)
        self._asker = StateAsker(seed)
        self._documents = {}
        self._accepted = {}
        self._cancelled = set()
        self.moves = []

    def start(self):
        """Begin to ask all entries for the states of the jobs."""
        self._asker.start(self._cluster.caller_ports)

    def stop(self):
        """End the questions."""
        self._asker.stop()

    def play_pass(self, number, program):
        """Replace all processes by a program, with jobs at work."""
        cluster = self._cluster
        for kind in (upgrade_jobs.RUNNING, upgrade_jobs.WAITING, upgrade_jobs.LASTING):
            self.submit(kind, number)
        names = [*cluster.entries, *(f"agent-{name}" for name in cluster.workers)]
        before, replaced = cluster.program_of, set()
        cluster.program_of = lambda name: program if name in replaced else before(name)
        for act, arguments in upgrade_jobs.plan_pass(self._random, names, number):
            if act == "replace":
                replaced.update(arguments)
                self.submit(upgrade_jobs.SMALL, f"{number}{len(replaced)}")
            getattr(self, act)(*arguments)
        cluster.program_of = lambda name: program

    # Steps of a pass

    def replace(self, name):
        """Replace a process, gracefully or not; the scheduler as `move` does."""
        cluster = self._cluster
        if name == cluster.scheduler():
            number = self._random.choice(upgrade_jobs.SIGNALS)
            self._lose_scheduler(number)
            if number == signal.SIGSTOP:
                self._end(name, signal.SIGTERM)
        else:
            self._end(name, self._random.choice((signal.SIGTERM, signal.SIGKILL)))
        self._start_again(name)

    def move(self, number):
        """Make another entry the scheduler by a signal to the present one."""
        name = self._lose_scheduler(number)
        if number != signal.SIGSTOP:
            self._start_again(name)

    def submit(self, kind, number):
        """Submit a job of a kind; return its id."""
        job_id = f"{kind}{number}"
        document = upgrade_jobs.make_job(kind, int(time.time() * 1000))
        self._documents[job_id] = document
        self._call_until_done("POST", job_id, document)
        self._accepted[job_id] = clock()
        self._asker.add_job(job_id)
        return job_id

    def submit_large(self, number):
        """Submit a job, and wait until its progress is split into rows."""
        prefix = f"units/{self.submit(upgrade_jobs.LARGE, number)}/"
        wait_for(
            lambda: self._cluster.row_keys(prefix),
            TIMEOUT_S,
            f"rows {prefix} are there",
        )

    def cancel(self, job_id):
        """Cancel a job that runs or waits."""
        self._cancelled.add(job_id)
        self._call_until_done("DELETE", job_id)

    def cancel_ended(self):
        """Cancel a job whose end callers have been told, if there is one."""
        ended = {one.job for one in self._asker.answers if one.state == "completed"}
        if ended:
            self._call_until_done("DELETE", self._random.choice(sorted(ended)))

    def fail_gang(self, number):
        """Let members of a gang fail, and move the scheduler between their reports."""
        cluster, job_id = self._cluster, f"{upgrade_jobs.GANG}{number}"
        faulty = self._random.sample(cluster.workers, self._random.randint(2, WORKERS))
        for name in faulty:
            fault = {"count": 1, "after_s": _FAILS_AFTER_S, "job": job_id}
            assert cluster.disturb_worker(name, "fail_starts", **fault)
        self.submit(upgrade_jobs.GANG, number)
        places = wait_for(
            lambda: self._places(job_id), TIMEOUT_S, f"the gang {job_id} has started"
        )
        failing = [name for name in places if name in faulty]
        heard = self._random.choice(failing)
        unheard = [f"agent-{name}" for name in failing if name != heard]
        for agent in unheard:
            cluster.signal(agent, signal.SIGSTOP)
        wait_for(
            lambda: self._has_recorded(heard, job_id),
            TIMEOUT_S,
            f"a failed member of {job_id} is recorded at {heard}",
        )
        number = self._random.choice(upgrade_jobs.SIGNALS)
        name = self._lose_scheduler(number)
        for agent in unheard:
            cluster.signal(agent, signal.SIGCONT)
        if number != signal.SIGSTOP:
            self._start_again(name)

    # Ends

    def finish(self):
        """Wait until all jobs have ended; return what was seen, as a text.

        Raises `AssertionError` with the faults, `TimeoutError` for a job that is lost.
        """
        for job_id in self._documents:
            if job_id.startswith(upgrade_jobs.LASTING):
                self.cancel(job_id)
        for job_id in self._documents:
            self._cluster.wait_for_state(job_id, self._end_of(job_id))
        self.stop()
        events = self._cluster.events()
        faults = [
            *gangs_unlike_the_platform(events, upgrade_jobs.GANG, upgrade_jobs.MEMBERS),
            *faults_of(events),
            *self._tasks_not_done(events),
            *self._violations(),
        ]
        assert not faults, f"{len(faults)} faults: {'; '.join(faults[:10])}"
        failed = {
            (task.split(".")[0], run)
            for *_, task, run, how in events
            if how == "failed"
        }
        assert failed, "no member of a gang has failed"
        starts = sum(kind == "start" for _, kind, *_ in events)
        return (
            f"{len(self._documents)} jobs in {starts} runs of tasks, "
            f"{len(failed)} runs of gangs failed; scheduler: {' '.join(self.moves)}"
        )

    def _end_of(self, job_id):
        return "cancelled" if job_id in self._cancelled else "completed"

    def _tasks_not_done(self, events):
        """Return a line for each task of a completed job that no run has done."""
        done = {task for _, kind, task, _, how in events if how == runs.DONE}
        return [
            f"{task} was not done"
            for job_id, document in self._documents.items()
            if self._end_of(job_id) == "completed"
            for task in upgrade_jobs.task_names(job_id, document)
            if task not in done
        ]

    def _violations(self):
        cluster, workers = self._cluster, self._cluster.workers
        record = soak_checks.Record(
            [
                soak_checks.Event(*event, name)
                for name in workers
                for event in cluster.history(name)
            ],
            [
                soak_checks.RecordedEnd(*end)
                for name in workers
                for end in cluster.recorded_ends(name)
            ],
            self._accepted,
            set(),
            self._asker.answers,
        )
        # Tasks use accelerators in different numbers.
        return soak_checks.find_violations(record, math.inf)

    # Processes

    def _lose_scheduler(self, number):
        """End or pause the scheduler until another one has taken over."""
        cluster, name = self._cluster, self._cluster.scheduler()
        if number == signal.SIGSTOP:
            cluster.signal(name, number)
        else:
            self._end(name, number)
        after = cluster.wait_for_takeover(name)
        if number == signal.SIGSTOP:
            cluster.signal(name, signal.SIGCONT)
        self.moves.append(f"{signal.Signals(number).name}>{after}")
        return name

    def _end(self, name, number):
        self._cluster.signal(name, number)
        status = self._cluster.wait(name)
        assert number == signal.SIGKILL or status == 0, f"{name}: {status}"

    def _start_again(self, name):
        """Start a process, and wait until it serves."""
        cluster = self._cluster

        def leases():
            return cluster.log_of(name).count('"lease_extending"')

        before = leases()
        cluster.start_again(name)
        if name in cluster.entries:
            cluster.wait_until_ready()
        else:
            wait_for(
                lambda: leases() > before,
                STARTUP_TIMEOUT_S,
                f"{name} extends the lease of its worker",
            )

    # Calls

    def _call_until_done(self, verb, job_id, document=None):
        """Make a call at any entry until one carries it out."""

        def is_done():
            entry = self._random.choice(self._cluster.entries)
            reply = self._cluster.call(entry, verb, f"/normal/{job_id}", document)
            return reply.status == http.HTTPStatus.OK

        wait_for(is_done, TIMEOUT_S, f"{verb} {job_id} is answered with 200")

    def _places(self, job_id):
        """Return the workers of the gang of a job once all its members have started."""
        names = [
            name
            for name in self._cluster.workers
            for _, kind, task, *_ in self._cluster.history(name)
            if kind == "start" and task.startswith(f"{job_id}.")
        ]
        return names if len(names) >= upgrade_jobs.MEMBERS else None

    def _has_recorded(self, worker, job_id):
        return any(
            task.startswith(f"{job_id}.") and how == runs.FAILED
            for _, task, _, how in self._cluster.recorded_ends(worker)
        )


def roll(folder, first, second, seed=1, passes=3):
    """Replace all processes of a cluster by another build, back, and so on.

    Returns what was seen, as a text. Raises `AssertionError` or `TimeoutError`.
    """
    cluster = MixedCluster(folder, lambda name: first)
    with contextlib.ExitStack() as stack:
        stack.callback(cluster.close)
        cluster.start_all(ENTRIES, WORKERS, max_attempts=_ATTEMPTS)
        play = Roll(cluster, seed)
        stack.callback(play.stop)
        play.start()
        for number in range(passes):
            play.play_pass(number, (second, first)[number % 2])
        return play.finish()
