"""The baseline: arrival order, first fit, no reservations, no preemption."""

from samphiredeal.model import configuration as config
from samphiredeal.policy import placement, scoring
from samphiredeal.policy.actions import FinishJob, StartAttempt, StopAttempt
from samphiredeal.policy.cluster import Cluster, Worker
from samphiredeal.policy.queue import WaitingJob


class BaselineScheduler:
    """A scheduler with the real one's events; it skips jobs that do not fit."""

    def __init__(self):
        self._cluster = Cluster()
        self._waiting = {}
        self._running = {}
        self._actions = []
        self._configuration = config.EMPTY
        self._attempt_count = 0

    @property
    def cluster(self):
        """The workers."""
        return self._cluster

    @property
    def queue(self):
        """The waiting jobs, as returned by `all()`."""
        return self

    def all(self):
        """Return all waiting jobs."""
        return self._waiting.values()

    def worker_up(self, info, now):
        """Add a worker."""
        self._cluster.add(Worker(info, self._configuration.labels_of(info)))

    def configure(self, configuration, now):
        """Apply a configuration and stop the attempts in zones that are out."""
        self._configuration = configuration
        for worker in self._cluster.workers.values():
            out = configuration.zone_is_out(worker.zone)
            self._cluster.set_usable(worker, not out)
            for attempt_id in worker.attempts if out else ():
                stop = StopAttempt(attempt_id, True, 20.0, "zone out")
                if stop not in self._actions:
                    self._actions.append(stop)

    def submit(self, job, now, progress_s=0.0):
        """Add a job to the waiting ones."""
        self._waiting[job.id] = WaitingJob(job, now, progress_s)

    def started(self, attempt_id, now):
        """Do nothing: the baseline doesn't use start times."""

    def ended(self, attempt_id, now, state, progress_s=0.0, blame=()):
        """Record the end of an attempt; the job of a stopped one waits again."""
        waiting, places = self._running.pop(attempt_id)
        for name in places:
            self._cluster.release(self._cluster.workers[name], attempt_id)
        if state == "done":
            self._actions.append(FinishJob(waiting.job.id, "done", ""))
        else:
            self.submit(waiting.job, waiting.since, waiting.progress_s + progress_s)

    def decide(self, now):
        """Return actions; jobs that fit start in order of arrival."""
        for waiting in sorted(self._waiting.values(), key=lambda w: w.since):
            places = placement.find_places(
                self._cluster,
                waiting.job,
                waiting.job.shape,
                scoring.first_fit,
                lambda worker: True,
            )
            if places is not None:
                self._start(waiting, places)
        actions, self._actions = self._actions, []
        return actions

    def next_wakeup(self, now):
        """Return None: the baseline has no timers."""
        return

    def _start(self, waiting, places):
        job = waiting.job
        del self._waiting[job.id]
        self._attempt_count += 1
        attempt_id = f"{job.id}.{self._attempt_count}"
        self._running[attempt_id] = (waiting, places)
        for name, count in places.items():
            worker = self._cluster.workers[name]
            self._cluster.occupy(worker, attempt_id, job.shape.times(count), False)
        self._actions.append(StartAttempt(attempt_id, job, places, False))
