"""Attempts from admission to release: capacity, preemption and starts.

An admitted attempt is counted on its workers at once, so that its capacity is not
assigned to others, and starts when the preempted attempts there have stopped.
"""

from samphiredeal.model.shape import NOTHING
from samphiredeal.policy.actions import StartAttempt, StopAttempt
from samphiredeal.policy.queue import WaitingJob
from samphiredeal.policy.reclaim import choose_victims

# Time for a preempted attempt to write its checkpoint. Urgent work must start within
# 5.7 s of its request; the rest is for the stop, the reservation and the start.
RECLAIM_GRACE_S = 2.5

AWAITING_CAPACITY = "awaiting-room"
RUNNING = "running"
STOPPING = "stopping"


class Attempt:
    """One attempt at running a job."""

    __slots__ = (
        "covered",
        "id",
        "job",
        "movable",
        "places",
        "progress_s",
        "protected_until",
        "shape",
        "since",
        "started_at",
        "state",
    )

    def __init__(self, attempt_id, waiting, places, shape, covered):
        self.id = attempt_id
        self.job = waiting.job
        self.since = waiting.since
        self.progress_s = waiting.progress_s
        self.places = places
        self.shape = shape
        self.covered = covered
        self.movable = True
        self.protected_until = 0.0
        self.state = AWAITING_CAPACITY
        self.started_at = None


class Admission:
    """The attempts of a scheduler; actions to carry out are appended to `actions`."""

    def __init__(self, cluster, ledger, queue, actions):
        self._cluster = cluster
        self._ledger = ledger
        self._queue = queue
        self._actions = actions
        self._attempts = {}
        self._attempt_of = {}
        self._awaiting = {}
        self._usage = {}

    @property
    def attempts(self):
        """Attempts by id."""
        return self._attempts

    def attempt_of(self, job_id):
        """Return the current attempt at a job, or None."""
        return self._attempts.get(self._attempt_of.get(job_id))

    def usage(self, account):
        """Return the total shape of an account's attempts."""
        return self._usage.get(account, NOTHING)

    def adopt(self, attempt, now):
        """Add an attempt that already runs."""
        self.admit(attempt, now)
        attempt.state = RUNNING
        attempt.started_at = now
        self._awaiting.pop(attempt.id, None)

    def admit(self, attempt, now):
        """Add an attempt on its workers and preempt others to free its capacity."""
        self._attempts[attempt.id] = attempt
        self._attempt_of[attempt.job.id] = attempt.id
        self._awaiting[attempt.id] = attempt
        for name, shape in self._shapes_of(attempt):
            worker = self._cluster.workers[name]
            self._cluster.occupy(worker, attempt.id, shape, attempt.covered)
        account = attempt.job.account
        self._usage[account] = self._usage.get(account, NOTHING).plus(attempt.job.total)
        self._preempt_for(attempt, now)

    def _preempt_for(self, attempt, now):
        workers = [self._cluster.workers[name] for name in attempt.places]

        def may_preempt(other):
            if other.id == attempt.id or other.state == STOPPING:
                return False
            if not other.movable:
                return False
            if attempt.covered:
                return True
            return other.protected_until <= now

        victims = choose_victims(
            workers, self._attempts, may_preempt, now, self._shortage_on
        )
        for victim in victims or ():
            self.stop(victim, RECLAIM_GRACE_S, f"preempted for {attempt.job.id}")

    def _shortage_on(self, worker):
        """Return the capacity a worker lacks once its stopping attempts have ended."""
        free = worker.free
        for attempt_id, (shape, _covered) in worker.attempts.items():
            if self._attempts[attempt_id].state == STOPPING:
                free = free.plus(shape)
        return type(free)(*[max(0, -amount) for amount in free])

    def stop(self, attempt_id, grace_s, reason):
        """Stop an attempt with a checkpoint; requeue it if it has not started."""
        attempt = self._attempts[attempt_id]
        if attempt.state == STOPPING:
            return
        if attempt.state == AWAITING_CAPACITY:
            self.release(attempt)
            self._queue.add(WaitingJob(attempt.job, attempt.since, attempt.progress_s))
            return
        attempt.state = STOPPING
        self._actions.append(StopAttempt(attempt_id, True, grace_s, reason))

    def start_ready(self, now):
        """Start attempts whose capacity is free, in the order of admission.

        An attempt does not wait for the capacity of attempts admitted after it.
        """
        later = self._awaited_shapes()
        for attempt in list(self._awaiting.values()):
            for name, shape in self._shapes_of(attempt):
                later[name] = later[name].minus(shape)
            if attempt.id not in self._awaiting:
                # It was requeued when capacity was freed for another attempt.
                continue
            if sum(attempt.places.values()) < attempt.job.members:
                self.stop(attempt.id, 0.0, "a worker was removed")
            elif self._can_start(attempt, later):
                del self._awaiting[attempt.id]
                attempt.state = RUNNING
                self._actions.append(
                    StartAttempt(
                        attempt.id, attempt.job, dict(attempt.places), attempt.covered
                    )
                )
            else:
                self._preempt_for(attempt, now)

    def _awaited_shapes(self):
        """Return the total shape of the awaiting attempts, by worker."""
        shapes = {}
        for attempt in self._awaiting.values():
            for name, shape in self._shapes_of(attempt):
                shapes[name] = shapes.get(name, NOTHING).plus(shape)
        return shapes

    def _shapes_of(self, attempt):
        """Yield (worker name, shape) for each worker of an attempt."""
        for name, count in attempt.places.items():
            yield name, attempt.shape.times(count)

    def _can_start(self, attempt, later):
        """Return whether capacity is free, disregarding attempts admitted later."""
        return all(
            min(self._cluster.workers[name].free.plus(later[name])) >= 0
            for name in attempt.places
        )

    def release(self, attempt):
        """Remove an attempt and release its capacity and slices."""
        for name in attempt.places:
            worker = self._cluster.workers.get(name)
            if worker is not None:
                self._cluster.release(worker, attempt.id)
        self._ledger.release(attempt.id)
        self._awaiting.pop(attempt.id, None)
        self._attempts.pop(attempt.id, None)
        self._attempt_of.pop(attempt.job.id, None)
        account = attempt.job.account
        self._usage[account] = self._usage[account].minus(attempt.job.total)
        self._cluster.bump_version()
