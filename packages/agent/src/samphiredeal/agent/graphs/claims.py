"""Heartbeats that name an incarnation of the worker that has not answered yet.

A heartbeat is only a claim: it may be late, or come from another process. Start times
do not order two incarnations either, as the time of day jumps.
"""

import collections
from typing import NamedTuple

from samphiredeal.model.runs import WorkerFacts

# A worker and its predecessors; the rest are of other writers.
_MAX_CLAIMS = 8


class Claim(NamedTuple):
    """The newest heartbeat of an incarnation."""

    facts: WorkerFacts
    sequence: int


class Claims:
    """The newest claims, one for each worker id."""

    def __init__(self):
        self._by_id = collections.OrderedDict()

    @property
    def newest_first(self):
        """The claims in the order in which to examine them."""
        return list(reversed(self._by_id.values()))

    def add(self, facts, sequence):
        """Add a claim; return False for a late heartbeat of a claimed incarnation."""
        known = self._by_id.get(facts.id)
        is_same = known is not None and known.facts.life == facts.life
        if is_same and sequence <= known.sequence:
            return False
        self._by_id[facts.id] = Claim(facts, sequence)
        self._by_id.move_to_end(facts.id)
        while len(self._by_id) > _MAX_CLAIMS:
            self._by_id.popitem(last=False)
        return True

    def add_former(self, facts, sequence):
        """Add the claim of an incarnation that has left, unless its id is claimed."""
        if facts.id not in self._by_id:
            self._by_id[facts.id] = Claim(facts, sequence)

    def pop(self, worker_id, born_ms):
        """Remove and return the claim of an incarnation, or None."""
        claim = self._by_id.get(worker_id)
        if claim is None or claim.facts.born_ms != born_ms:
            return None
        return self._by_id.pop(worker_id)
