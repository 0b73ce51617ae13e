"""How long the lease of an incarnation may last beyond what the agent has counted.

A worker that starts again under its id has a new clock. A call that was meant for its
former life names a deadline far ahead on that clock, so that the lease lasts for as
long as the worker allows at all.
"""

import pytest
from agent_bench import TASK, AgentBench

from samphiredeal.model.runs import RunId

LONGEST_LEASE_S = 10.0
RUN = RunId(TASK, 1)


def make_bench():
    """Return a bench whose worker allows a longer lease than the agent asks for."""
    bench = AgentBench(seconds=60.0, lease_s=LONGEST_LEASE_S)
    return bench.run(2 * LONGEST_LEASE_S)


def run_silently(bench):
    """Run beside a worker that refuses connections; check what is said to have ended.

    Any incarnation counts: a scheduler starts the runs that it placed on one that has
    ended elsewhere, and the worker may run them in its next life.
    """
    bench.worker.faults.down = True
    for _ in range(round(2 * LONGEST_LEASE_S / 0.05)):
        bench.run(0.05)
        report = bench.run_manager.report()
        is_given_up = bool(report.ended_life) and RUN not in report.pending
        assert not (is_given_up and RUN in bench.worker.running)
    assert bench.run_manager.report().ended_life
    assert bench.worker.running == []


# Guards against TWICE: a poll that was meant for the former life of a worker had
# extended the lease of the next one by more than the agent counted.
@pytest.mark.parametrize("heard_after_s", [0.0, 0.1, 0.3])
def test_lease_that_a_call_for_the_former_life_has_extended_is_waited_for(
    heard_after_s,
):
    bench = make_bench()
    bench.worker.crash()
    bench.run(heard_after_s)
    bench.heartbeat().run(0.2)
    assert bench.run_manager.report().worker == bench.worker.facts
    bench.order([1]).run(0.1)
    assert bench.worker.running == [RUN]
    run_silently(bench)


# Guards against TWICE: a start that was meant for the former life of a worker was
# carried out by the next one, and given up before its lease had expired.
@pytest.mark.parametrize("carried_out_after_s", [0.0, 0.2, 0.4])
def test_start_that_the_next_life_carries_out_is_not_given_up_within_its_lease(
    carried_out_after_s,
):
    bench = make_bench()
    former = bench.worker.facts.life
    bench.worker.crash()
    bench.worker.faults.late_s = carried_out_after_s
    bench.order([1], life=former)
    bench.run(carried_out_after_s)
    run_silently(bench)
