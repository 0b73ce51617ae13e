"""Telling callers the state that a job has as they ask."""

import pytest
from graph_world import STEP_S, make_graph_world

from samphiredeal.model import answers

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}


@pytest.fixture
def world():
    """Return a world in which a job of one task is at work."""
    world = make_graph_world()
    world.submit("e0", "a1", [STEP])
    world.run_until(lambda: world.state("e1", "a1") == "running", 5.0)
    return world


def ended(world):
    return any(event.kind == "end" for event in world.event_log.events)


# inc-short: callers who asked as the last task ended were told "running" and lost
# a round of polling, a quarter of a second of each job.
def test_caller_who_asks_as_the_last_task_ends_learns_of_the_end(world):
    world.run_until(lambda: ended(world), 5.0)
    got = world.call("e1", answers.GET_STATE, "/normal/a1")
    world.run(0.2)
    assert got[0].state == "completed"


def test_state_of_a_job_that_goes_on_is_told_soon(world):
    got = world.call("e1", answers.GET_STATE, "/normal/a1")
    world.run(0.25 + STEP_S)
    assert got[0].state == "running"


def test_caller_with_little_time_is_answered_in_time(world):
    got = world.call("e1", answers.GET_STATE, "/normal/a1", wait_s=0.2)
    world.run(0.1)
    assert got[0].state == "running"


def test_cancel_is_told_to_those_who_wait_for_the_end(world):
    got = world.call("e1", answers.GET_STATE, "/normal/a1")
    world.call("e0", answers.CANCEL, "/normal/a1")
    world.run(0.1)
    assert got[0].state == "cancelled"
