"""When refused callers are told to come back, while the store is silent for all."""

import pytest
from graph_world import STEP_S, make_graph_world
from test_incident_logs import STEP

from samphiredeal.model import answers


def refused_after(outage_s, wait_s):
    """Return the answer to a caller with `wait_s` left, `outage_s` into an outage."""
    world = make_graph_world()
    for entry in ("e0", "e1", "e2"):
        world.nodes[entry].faults.silent = True
    world.run(outage_s)
    world.specs["a1"] = {"steps": [STEP]}
    body = b'{"spec":"p","steps":[{"count":1,"cpu":1000,"mem-mb":1,"gpu":1}]}'
    called_at = world.clock.seconds()
    answer = world.wait_for_answer(
        world.call("e0", answers.SUBMIT, "/normal/a1", body, wait_s=wait_s)
    )
    assert answer.kind == answers.NOT_DONE
    return answer, wait_s - (world.clock.seconds() - called_at)


# inc-short, third report: a caller with 3.00 s left was told 4.0 s, and one that keeps
# to it never comes back.
@pytest.mark.parametrize("wait_s", [1.5, 2.0, 3.0])
def test_refused_caller_is_told_to_come_back_while_it_waits(wait_s):
    answer, left_s = refused_after(5.0, wait_s)
    assert 1.0 <= answer.retry_after_s <= left_s - STEP_S


def test_refused_caller_with_much_time_comes_back_after_the_length_of_the_outage():
    answer, _left_s = refused_after(3.0, 10.0)
    # The last response may be as old as a poll, 0.6 s, when the outage begins.
    assert 3.0 <= answer.retry_after_s <= 3.7


# The header has whole seconds.
def test_refused_caller_without_time_is_told_the_shortest_delay():
    answer, _left_s = refused_after(5.0, 0.9)
    assert answer.retry_after_s == 1.0
