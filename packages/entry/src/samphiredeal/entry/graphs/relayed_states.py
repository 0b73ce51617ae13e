"""States of jobs that other entries have told this one's callers.

An entry that does not hear the store has other entries answer. When none of these can,
it answers by its own rows, which may be older: a state must not fall back by that. What
another entry told is by stored rows, so it stays true.
"""

import collections

from samphiredeal.policy.graphs.state import ACTIVE, FINAL_STATES, QUEUED

# Bounds the memory. Rows that are older than a few seconds are not told any more.
_MAX_STATES = 5000


class RelayedStates:
    """The furthest state told of each job, oldest first."""

    def __init__(self):
        self._states = collections.OrderedDict()

    def record(self, job_id, state):
        """Record a state that another entry gave."""
        self._states[job_id] = self.furthest(job_id, state)
        self._states.move_to_end(job_id)
        if len(self._states) > _MAX_STATES:
            self._states.popitem(last=False)

    def furthest(self, job_id, state):
        """Return a job's state by the rows here, or the one told if it is later.

        >>> told = RelayedStates()
        >>> told.record("a1", "completed")
        >>> told.furthest("a1", "running")
        'completed'
        """
        told = self._states.get(job_id, state)
        return told if _rank(told) > _rank(state) else state


def _rank(state):
    if state in FINAL_STATES:
        return 2
    return {QUEUED: 0, ACTIVE: 1}.get(state, 0)
