"""Attempts from admission to release: room, victims and starts.

An admitted attempt counts on its workers at once, so nobody else takes its
room, and starts when those in its way have stopped.
"""

from samphiredeal.model.shape import NOTHING
from samphiredeal.policy.actions import StartAttempt, StopAttempt
from samphiredeal.policy.queue import WaitingJob
from samphiredeal.policy.reclaim import choose_victims

# Grace for a checkpoint. Urgent work must start within 5.7 s of asking; the
# rest of that time is for the stop, the reservation and the start.
RECLAIM_GRACE_S = 2.5

AWAITING_ROOM = "awaiting-room"
RUNNING = "running"
STOPPING = "stopping"


class Attempt:
    """One try at running a job."""

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
        self.state = AWAITING_ROOM
        self.started_at = None


class Admission:
    """The attempts of a scheduler; what is to be done is added to `actions`."""

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
        """Return the attempt of a job, or None."""
        return self._attempts.get(self._attempt_of.get(job_id))

    def usage(self, account):
        """Return what an account's attempts use together."""
        return self._usage.get(account, NOTHING)

    def adopt(self, attempt, now):
        """Count an attempt that already runs."""
        self.admit(attempt, now)
        attempt.state = RUNNING
        attempt.started_at = now
        self._awaiting.pop(attempt.id, None)

    def admit(self, attempt, now):
        """Count an attempt on its workers and move those in its way."""
        self._attempts[attempt.id] = attempt
        self._attempt_of[attempt.job.id] = attempt.id
        self._awaiting[attempt.id] = attempt
        for name, shape in self._shapes_of(attempt):
            worker = self._cluster.workers[name]
            self._cluster.occupy(worker, attempt.id, shape, attempt.covered)
        account = attempt.job.account
        self._usage[account] = self._usage.get(account, NOTHING).plus(attempt.job.total)
        self._reclaim(attempt, now)

    def _reclaim(self, attempt, now):
        workers = [self._cluster.workers[name] for name in attempt.places]

        def may_move(other):
            if other.id == attempt.id or other.state == STOPPING:
                return False
            if not other.movable:
                return False
            if attempt.covered:
                return True
            return other.protected_until <= now

        victims = choose_victims(workers, self._attempts, may_move, now, self._short_of)
        for victim in victims or ():
            self.stop(victim, RECLAIM_GRACE_S, f"room for {attempt.job.id}")

    def _short_of(self, worker):
        """Return the room a worker lacks beyond what is being freed already."""
        free = worker.free
        for attempt_id, (shape, _covered) in worker.attempts.items():
            if self._attempts[attempt_id].state == STOPPING:
                free = free.plus(shape)
        return type(free)(*[max(0, -amount) for amount in free])

    def stop(self, attempt_id, grace_s, reason):
        """Stop an attempt with a checkpoint; one that only waits is requeued."""
        attempt = self._attempts[attempt_id]
        if attempt.state == STOPPING:
            return
        if attempt.state == AWAITING_ROOM:
            self.release(attempt)
            self._queue.add(WaitingJob(attempt.job, attempt.since, attempt.progress_s))
            return
        attempt.state = STOPPING
        self._actions.append(StopAttempt(attempt_id, True, grace_s, reason))

    def start_ready(self, now):
        """Start attempts that have their room, in the order of admission.

        An attempt does not wait for the room of those admitted after it.
        """
        later = self._awaited_room()
        for attempt in list(self._awaiting.values()):
            for name, shape in self._shapes_of(attempt):
                later[name] = later[name].minus(shape)
            if attempt.id not in self._awaiting:
                # Making room for another one has put it back into the queue.
                continue
            if sum(attempt.places.values()) < attempt.job.members:
                self.stop(attempt.id, 0.0, "a worker was lost")
            elif self._has_room(attempt, later):
                del self._awaiting[attempt.id]
                attempt.state = RUNNING
                self._actions.append(
                    StartAttempt(
                        attempt.id, attempt.job, dict(attempt.places), attempt.covered
                    )
                )
            else:
                self._reclaim(attempt, now)

    def _awaited_room(self):
        """Return the room that awaiting attempts take, by worker."""
        rooms = {}
        for attempt in self._awaiting.values():
            for name, shape in self._shapes_of(attempt):
                rooms[name] = rooms.get(name, NOTHING).plus(shape)
        return rooms

    def _shapes_of(self, attempt):
        """Yield (worker name, shape) of an attempt's places."""
        for name, count in attempt.places.items():
            yield name, attempt.shape.times(count)

    def _has_room(self, attempt, later):
        """Return whether the places have room, but for later attempts."""
        return all(
            min(self._cluster.workers[name].free.plus(later[name])) >= 0
            for name in attempt.places
        )

    def release(self, attempt):
        """Take an attempt off its workers and out of its slices."""
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
        self._cluster.touch()
