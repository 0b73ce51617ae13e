"""State queries return the state that a job has when the query arrives."""

import pytest
from graph_world import STEP_S, make_graph_world
from twisted.internet.task import Clock

from samphiredeal.entry.graphs.work import WorkView
from samphiredeal.model import answers

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}


@pytest.fixture
def world():
    """Return a world in which a job of one task is running."""
    world = make_graph_world()
    world.submit("e0", "a1", [STEP])
    world.run_until(lambda: world.state("e1", "a1") == "running", 5.0)
    return world


def any_run_ended(world):
    return any(event.kind == "end" for event in world.event_log.events)


# Queries that arrived as the last task ended were answered "running", which cost the
# caller another poll, 0.25 s per job (inc-short).
def test_query_as_the_last_task_ends_returns_completed(world):
    world.run_until(lambda: any_run_ended(world), 5.0)
    answers_received = world.call("e1", answers.GET_STATE, "/normal/a1")
    world.run(0.2)
    assert answers_received[0].state == "completed"


def test_state_of_a_running_job_is_returned_promptly(world):
    answers_received = world.call("e1", answers.GET_STATE, "/normal/a1")
    world.run(0.25 + STEP_S)
    assert answers_received[0].state == "running"


def test_query_with_a_short_deadline_is_answered_in_time(world):
    answers_received = world.call("e1", answers.GET_STATE, "/normal/a1", wait_s=0.2)
    world.run(0.1)
    assert answers_received[0].state == "running"


def test_waiting_state_query_returns_a_cancellation(world):
    answers_received = world.call("e1", answers.GET_STATE, "/normal/a1")
    world.call("e0", answers.CANCEL, "/normal/a1")
    world.run(0.1)
    assert answers_received[0].state == "cancelled"


# Guards against a caller who is told `cancelled` of a completed job, as in a snapshot
# the cancel comes before the progress (inc-twice, found by its review).
def test_waiting_caller_is_told_the_state_by_all_rows_of_a_snapshot():
    world = make_graph_world()
    world.submit("e0", "a1", [STEP])
    world.run_until(lambda: world.event_log.starts("a1.0.0.0"), 5.0)
    world.run(0.3)
    before = list(world.table.rows.values())
    world.run(3.0)
    world.wait_for_answer(world.call("e0", answers.CANCEL, "/normal/a1"))
    after = sorted(world.table.rows.values(), key=lambda row: row.key)
    view, told = WorkView(Clock(), lambda: None), []
    view.on_rows(before, is_snapshot=True)
    waiter = view.wait_until_ended("a1", 1.0)
    waiter.addCallback(lambda _: told.append(view.state_of("a1")))
    view.on_rows(after, is_snapshot=True)
    assert told == ["completed"]
