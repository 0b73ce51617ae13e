"""States of jobs that other entries have told this one's callers.

An entry that does not hear the store has other entries answer. When none of these can,
it answers by its own rows, which may be older: a state must not fall back by that. What
another entry told is by stored rows, so it stays true.
"""

import collections

from samphiredeal.policy.graphs.state import ACTIVE, FINAL_STATES, QUEUED

# Longer than the age of the oldest rows that are told: those told later include the
# state. Far below the time for which the rows of an ended job are kept, after which its
# id may name another job.
_KEPT_S = 10.0
# Bounds the memory.
_MAX_STATES = 5000


class RelayedStates:
    """The furthest state told of each job of late, oldest first."""

    def __init__(self, clock):
        self._clock = clock
        self._states = collections.OrderedDict()

    def record(self, job_id, state):
        """Record a state that another entry gave."""
        state = self.furthest(job_id, state)
        self._states[job_id] = (state, self._clock.seconds())
        self._states.move_to_end(job_id)
        if len(self._states) > _MAX_STATES:
            self._states.popitem(last=False)

    def furthest(self, job_id, state):
        """Return a job's state by the rows here, or the one told if it is later.

        >>> told = RelayedStates(Clock())  # doctest: +SKIP
        >>> told.record("a1", "completed")  # doctest: +SKIP
        >>> told.furthest("a1", "running")  # doctest: +SKIP
        'completed'
        """
        self._drop_expired()
        told, _at = self._states.get(job_id, (state, 0.0))
        return told if _rank(told) > _rank(state) else state

    def _drop_expired(self):
        oldest = self._clock.seconds() - _KEPT_S
        while self._states and next(iter(self._states.values()))[1] < oldest:
            self._states.popitem(last=False)


def _rank(state):
    if state in FINAL_STATES:
        return 2
    return {QUEUED: 0, ACTIVE: 1}.get(state, 0)
