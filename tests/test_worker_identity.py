"""Workers whose identity is in doubt, with real processes.

Guards, by the workers' own histories, against tasks with two runs at a time, tasks that
start again after their end was recorded, accepted jobs that do not complete, and
workers that get no starts any more after a fault.
"""

import pytest

from samphiredeal.standins import identity

SEED = 1


# Guards against conclusions about a worker's life that its answers do not prove.
@pytest.mark.parametrize("kind", identity.FAULTS)
def test_runs_are_single_and_the_worker_is_used_again(kind, tmp_path):
    shown = identity.play(str(tmp_path), kind, SEED)
    assert not shown.violations, "\n".join(shown.violations)


# Guards against overlaps that are not seen by the check itself.
def test_overlaps_are_found():
    first = (1.0, True, "worker-0", "a1", 1)
    events = [
        first,
        (2.0, True, "worker-1", "a1", 2),
        (2.5, False, "worker-0", "a1", 1),
        (3.0, False, "worker-1", "a1", 2),
        (3.0, True, "worker-0", "a1", 3),
    ]
    overlaps = [("a1", (1, 2), ("worker-0", "worker-1"), 0.5)]
    assert identity.overlaps_of(events) == overlaps
