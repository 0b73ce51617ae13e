"""Drives a scheduler's decisions with arrivals and fakes of the workers.

Starts take effect after a moment. A stop with enough grace writes a checkpoint
first and keeps the work up to then; each restart costs time to read it. Time is
a number that events advance.
"""

import heapq
import itertools
import time
from typing import NamedTuple

from samphiredeal.model.configuration import Configuration
from samphiredeal.policy.actions import FinishJob, StartAttempt, StopAttempt
from samphiredeal.policy.coverage import within_guarantee

# Measured on the real path: reserve, start and the agents' answers.
START_S = 0.1
CHECKPOINT_S = 2.0
RESTART_S = 30.0


class Ended(NamedTuple):
    """A finished job: class of load, completion and wait in seconds."""

    kind: str
    completion_s: float
    wait_s: float


class Running:
    """An attempt that was told to start."""

    def __init__(self, action, at, progress_s):
        self.action = action
        self.job = action.job
        self.at = at
        self.progress_s = progress_s
        self.restart_s = RESTART_S if progress_s else 0.0
        self.stopping = False

    @property
    def accelerators(self):
        """The accelerators of all members."""
        return self.job.shape.accelerators * self.job.members


class Drive:
    """One run of a scheduler over arrivals."""

    def __init__(self, scheduler, deployment_workers, accounts, arrivals):
        self.scheduler = scheduler
        self.now = 0.0
        self.ended = []
        self.lost_accel_s = 0.0
        self.useful = []
        self.decision_s = []
        self.starts = []
        self.asked_within = set()
        self._wakeup = -1.0
        self.fragmentation = []
        self._events = []
        self._order = itertools.count()
        self._running = {}
        self._run_s = {a.job.id: a.run_s for a in arrivals}
        self._arrived = {a.job.id: a.at for a in arrivals}
        self._kinds = {a.job.id: a.job.kind for a in arrivals}
        self._progress = {}
        self._first_start = {}
        self._configuration = Configuration(1, accounts)
        scheduler.configure(self._configuration, 0.0)
        for info in deployment_workers:
            scheduler.worker_up(info, 0.0)
        for arrival in arrivals:
            self.at(arrival.at, self._arrive, arrival.job)

    def at(self, when, action, *arguments):
        """Do something at a time."""
        heapq.heappush(self._events, (when, next(self._order), action, arguments))

    def run(self, until):
        """Go through the events until a time."""
        while self._events and self._events[0][0] <= until:
            when, _order, action, arguments = heapq.heappop(self._events)
            self._measure(when)
            self.now = when
            action(*arguments)
            self.decide()
        self.now = until

    def decide(self):
        """Decide now and carry the actions out."""
        begun = time.perf_counter()
        actions = self.scheduler.decide(self.now)
        self.decision_s.append(time.perf_counter() - begun)
        for action in actions:
            if isinstance(action, StartAttempt):
                self._start(action)
            elif isinstance(action, StopAttempt):
                self._stop(action)
            elif isinstance(action, FinishJob):
                self._finish(action)
        self._plan_wakeup()

    def _plan_wakeup(self):
        """Decide again when the scheduler says so; one such event at a time."""
        wakeup = self.scheduler.next_wakeup(self.now)
        if wakeup is not None and not self.now < self._wakeup <= wakeup:
            self._wakeup = max(wakeup, self.now + 1.0)
            self.at(self._wakeup, lambda: None)

    def set_zone(self, zone, state):
        """Mark a zone out or in."""
        zones = {**self._configuration.zones, zone: {"state": state}}
        revision = self._configuration.revision + 1
        self._configuration = self._configuration._replace(
            revision=revision, zones=zones
        )
        self.scheduler.configure(self._configuration, self.now)

    def useful_between(self, begin, end):
        """Return the useful accelerator-seconds of work within a time span."""
        return sum(
            max(0.0, min(stop, end) - max(start, begin)) * accelerators
            for start, stop, accelerators in self.useful
        )

    def _arrive(self, job):
        ledger = getattr(self.scheduler, "ledger", None)
        if ledger is not None and within_guarantee(ledger, job, job.shape):
            self.asked_within.add(job.id)
        self.scheduler.submit(job, self.now)

    def _start(self, action):
        job_id = action.job.id
        running = Running(action, self.now + START_S, self._progress.get(job_id, 0.0))
        self._running[action.attempt_id] = running
        wait_s = running.at - self._arrived[job_id]
        if job_id not in self._first_start:
            self._first_start[job_id] = wait_s
            self.starts.append((action.job, wait_s))
        left_s = max(0.0, self._run_s[job_id] - running.progress_s)
        self.scheduler.started(action.attempt_id, running.at)
        self.at(running.at + running.restart_s + left_s, self._done, action.attempt_id)

    def _done(self, attempt_id):
        running = self._running.get(attempt_id)
        if running is None or running.stopping:
            return
        self._end(attempt_id, self.now)
        self.scheduler.ended(attempt_id, self.now, "done")

    def _stop(self, action):
        running = self._running.get(action.attempt_id)
        if running is None or running.stopping:
            return
        running.stopping = True
        grace_s = min(action.grace_s, CHECKPOINT_S)
        self.at(self.now + grace_s, self._stopped, action.attempt_id)

    def _stopped(self, attempt_id):
        running = self._running[attempt_id]
        worked_s = max(0.0, self.now - running.at)
        kept_s = max(0.0, worked_s - CHECKPOINT_S - running.restart_s)
        self._progress[running.job.id] = running.progress_s + kept_s
        self.lost_accel_s += (worked_s - kept_s) * running.accelerators
        self._end(attempt_id, running.at + running.restart_s + kept_s)
        self.scheduler.ended(attempt_id, self.now, "stopped", kept_s)

    def _end(self, attempt_id, useful_until):
        running = self._running.pop(attempt_id)
        began = running.at + running.restart_s
        self.useful.append((began, useful_until, running.accelerators))

    def _finish(self, action):
        job_id = action.job_id
        completion_s = self.now - self._arrived[job_id]
        wait_s = self._first_start.get(job_id, completion_s)
        self.ended.append(Ended(self._kinds[job_id], completion_s, wait_s))

    def _measure(self, until):
        """Weigh the unusable share of free accelerators by its duration."""
        largest = max(
            (w.job.shape.accelerators for w in self.scheduler.queue.all()), default=0
        )
        if not largest or until <= self.now:
            return
        free = unusable = 0
        for worker in self.scheduler.cluster.workers.values():
            if worker.usable and worker.free.accelerators > 0:
                free += worker.free.accelerators
                unusable += worker.free.accelerators % largest
        if free:
            self.fragmentation.append((until - self.now, unusable / free))
