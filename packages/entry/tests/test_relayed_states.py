"""States of jobs that other entries have told.

They outlast older rows of this entry, and no longer: the id of a job may be used again
once its rows are deleted.
"""

from twisted.internet.task import Clock

from samphiredeal.entry.graphs.relayed_states import RelayedStates


def test_later_state_of_the_two_is_returned():
    told = RelayedStates(Clock())
    told.record("a1", "running")
    assert told.furthest("a1", "queued") == "running"
    assert told.furthest("a1", "completed") == "completed"
    assert told.furthest("a2", "queued") == "queued"


def test_earlier_state_of_another_entry_changes_nothing():
    told = RelayedStates(Clock())
    told.record("a1", "completed")
    told.record("a1", "running")
    assert told.furthest("a1", "queued") == "completed"


# Guards against `completed` for a new job under the id of one that was deleted.
def test_state_told_long_ago_is_forgotten():
    clock = Clock()
    told = RelayedStates(clock)
    told.record("a1", "completed")
    clock.advance(5.0)
    assert told.furthest("a1", "running") == "completed"
    clock.advance(15.0)
    assert told.furthest("a1", "queued") == "queued"


def test_number_of_states_is_bounded():
    told = RelayedStates(Clock())
    for number in range(6000):
        told.record(f"a{number}", "completed")
    assert told.furthest("a0", "running") == "running"
    assert told.furthest("a5999", "running") == "completed"
