"""The baseline: arrival order, first fit, no reservation, no reclaim."""

from samphiredeal.model import configuration as config
from samphiredeal.policy import placement, scoring
from samphiredeal.policy.actions import FinishJob, StartAttempt, StopAttempt
from samphiredeal.policy.cluster import Cluster, Worker
from samphiredeal.policy.queue import WaitingJob


class BaselineScheduler:
    """Has the same events as the real one; a job that does not fit is passed over."""

    def __init__(self):
        self._cluster = Cluster()
        self._waiting = {}
        self._running = {}
        self._actions = []
        self._configuration = config.EMPTY
        self._count = 0

    @property
    def cluster(self):
        """The workers."""
        return self._cluster

    @property
    def queue(self):
        """The jobs that wait."""
        return self

    def all(self):
        """Return all waiting jobs."""
        return self._waiting.values()

    def worker_up(self, info, now):
        """Take in a worker."""
        self._cluster.add(Worker(info, self._configuration.labels_of(info)))

    def configure(self, configuration, now):
        """Take in a configuration; work in a zone that is out is stopped."""
        self._configuration = configuration
        for worker in self._cluster.workers.values():
            out = configuration.zone_is_out(worker.zone)
            self._cluster.set_usable(worker, not out)
            for attempt_id in worker.attempts if out else ():
                stop = StopAttempt(attempt_id, True, 20.0, "zone out")
                if stop not in self._actions:
                    self._actions.append(stop)

    def submit(self, job, now, progress_s=0.0):
        """Take in a job."""
        self._waiting[job.id] = WaitingJob(job, now, progress_s)

    def started(self, attempt_id, now):
        """Ignore: the baseline learns nothing."""

    def ended(self, attempt_id, now, state, progress_s=0.0, blame=()):
        """Take in the end of an attempt; a stopped one goes to the back."""
        waiting, places = self._running.pop(attempt_id)
        for name in places:
            self._cluster.release(self._cluster.workers[name], attempt_id)
        if state == "done":
            self._actions.append(FinishJob(waiting.job.id, "done", ""))
        else:
            self.submit(waiting.job, waiting.since, waiting.progress_s + progress_s)

    def decide(self, now):
        """Start whatever fits, in order of arrival."""
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
        """Return None: the baseline acts on events only."""
        return

    def _start(self, waiting, places):
        job = waiting.job
        del self._waiting[job.id]
        self._count += 1
        attempt_id = f"{job.id}.{self._count}"
        self._running[attempt_id] = (waiting, places)
        for name, count in places.items():
            worker = self._cluster.workers[name]
            self._cluster.occupy(worker, attempt_id, job.shape.times(count), False)
        self._actions.append(StartAttempt(attempt_id, job, places, False))
