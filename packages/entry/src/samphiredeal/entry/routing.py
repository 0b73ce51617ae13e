"""Routing of requests to agents, and the queue of requests that wait for a slot."""

import heapq
import itertools

from twisted.internet.defer import Deferred, succeed

from samphiredeal.model import verdict
from samphiredeal.model.job import URGENT

# The maximum length of an entry's queue of requests that wait for a slot.
MAX_WAITING = 2000
# Requests that are not urgent may use this share of the queue.
NORMAL_QUEUE_SHARE = 0.8

_SERVICE_WEIGHT = 0.1


class SlotRequest:
    """A request for a slot, valid until its deadline; `skip` names excluded agents."""

    __slots__ = ("deadline", "granted", "klass", "skip")

    def __init__(self, klass, deadline, skip=()):
        self.klass = klass
        self.deadline = deadline
        self.skip = frozenset(skip)
        self.granted = Deferred()


class ServiceTime:
    """A moving average of the time for which requests hold a slot, in seconds."""

    def __init__(self):
        self._mean_s = 0.0

    @property
    def mean_s(self):
        """The moving average; 0 before the first observation."""
        return self._mean_s

    def observe(self, seconds):
        """Add the time for which one request held its slot."""
        if not self._mean_s:
            self._mean_s = seconds
        self._mean_s += _SERVICE_WEIGHT * (seconds - self._mean_s)


class Router:
    """Grants slots: urgent before normal, earlier deadlines first.

    `allowed(session)` returns whether an agent may receive work now.
    `pick(sessions)` returns two sessions, possibly the same; of the two, the one
    with more free slots is used.
    """

    def __init__(self, clock, sessions, allowed, zone, pick):
        self._clock = clock
        self._sessions = sessions
        self._allowed = allowed
        self._zone = zone
        self._pick = pick
        self._waiting = []
        self._order = itertools.count()
        self._service = ServiceTime()

    @property
    def waiting(self):
        """The number of requests that wait for a slot."""
        return len(self._waiting)

    @property
    def service(self):
        """The average time for which requests hold a slot."""
        return self._service

    def slots(self):
        """Return the total number of slots of the usable agents."""
        return sum(s.info.slots for s in self._usable_sessions())

    def has_other(self, skip):
        """Return whether there is a usable agent besides the skipped ones."""
        return any(s.info.name not in skip for s in self._usable_sessions())

    def acquire(self, request):
        """Return a Deferred of a session with a free slot, or of a `Reason`."""
        session = None if self._waiting else self._free_session(request.skip)
        if session is not None:
            return succeed(session)
        reason = self._refusal_reason(request)
        if reason is not None:
            return succeed(reason)
        not_urgent = request.klass != URGENT
        item = (not_urgent, request.deadline, next(self._order), request)
        heapq.heappush(self._waiting, item)
        return request.granted

    def grant_waiting(self):
        """Grant free slots; refuse requests that can no longer finish in time."""
        now = self._clock.seconds()
        while self._waiting:
            request = self._waiting[0][-1]
            if now + self._service.mean_s > request.deadline:
                heapq.heappop(self._waiting)
                request.granted.callback(verdict.DEADLINE)
                continue
            session = self._free_session(request.skip)
            if session is None:
                break
            heapq.heappop(self._waiting)
            request.granted.callback(session)
        self._refuse_late(now)

    def _refuse_late(self, now):
        """Refuse waiting requests that cannot be served before their deadline."""
        limit = now + self._service.mean_s
        late = [item for item in self._waiting if item[1] < limit]
        if late:
            self._waiting = [item for item in self._waiting if item[1] >= limit]
            heapq.heapify(self._waiting)
            for item in late:
                item[-1].granted.callback(verdict.DEADLINE)

    def _refusal_reason(self, request):
        """Return the reason for which a request is not queued, or None."""
        urgent = request.klass == URGENT
        limit = MAX_WAITING * (1.0 if urgent else NORMAL_QUEUE_SHARE)
        if len(self._waiting) >= limit:
            return verdict.OVERLOADED
        slots = self.slots()
        if not slots:
            return verdict.NO_UPSTREAM
        ahead = sum(
            1
            for not_urgent, deadline, _order, _request in self._waiting
            if (not_urgent, deadline) <= (not urgent, request.deadline)
        )
        expected = self._service.mean_s * (ahead / slots + 1)
        if self._clock.seconds() + expected > request.deadline:
            return verdict.DEADLINE
        return None

    def _usable_sessions(self):
        return [s for s in self._sessions if s.is_executor and self._allowed(s)]

    def _free_session(self, skip):
        """Return the less loaded of two random agents, from this zone if possible."""
        free = [
            s for s in self._usable_sessions() if s.free > 0 and s.info.name not in skip
        ]
        near = [s for s in free if s.info.zone == self._zone]
        if not free:
            return None
        first, second = self._pick(near or free)
        return first if first.free >= second.free else second


class RetryBudget:
    """Allows retries in proportion to first runs."""

    SHARE = 0.1
    MAX_SAVED = 10.0

    def __init__(self):
        self._saved = 1.0

    def earn(self):
        """Add to the budget; called before each dispatch until one may have run."""
        self._saved = min(self.MAX_SAVED, self._saved + self.SHARE)

    def spend(self):
        """Return whether one more retry is allowed, and count it."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
