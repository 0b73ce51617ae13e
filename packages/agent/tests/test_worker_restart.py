"""What an agent concludes about runs when its worker starts again.

An order belongs to the incarnation of the worker that it was decided for. A start in
flight while that one ends may be carried out by the next one, so it counts as pending
until the next one has answered a poll (docs/PROOFS.md, "Runs and incarnations").
"""

import pytest
from agent_bench import LEASE_S, TASK, AgentBench

from samphiredeal.model.runs import RunId
from samphiredeal.model.timing import lease_expiry_s

RUN = RunId(TASK, 1)


def is_accounted_for(report, run=RUN):
    """Return whether a report leaves open, or shows, that a run may be at work."""
    listed = {(one.task, one.run) for one in (*report.running, *report.ended)}
    return run in listed or run in report.pending


def assert_not_given_up(bench):
    """Check that the report of a run at work does not say that it has ended.

    A report of the next incarnation that does not list the run does not say so either:
    the scheduler has the run stopped there before it starts another one.
    """
    report = bench.run_manager.report()
    names_next = report.worker is not None and report.worker == bench.worker.facts
    if RUN in bench.worker.running and report.ended_life and not names_next:
        assert is_accounted_for(report)


# Guards against TWICE (inc-agent-evidence): a start that an earlier incarnation had not
# answered was carried out by the next one, and the agent reported that it had ended.
@pytest.mark.parametrize("carried_out_after_s", [0.15, 0.3, 0.45, 0.7])
@pytest.mark.parametrize("heartbeat_after_s", [0.0, 0.2, 0.6])
def test_start_in_flight_at_a_restart_is_not_given_up(
    carried_out_after_s, heartbeat_after_s
):
    bench = AgentBench().run(1.0)
    bench.worker.faults.late_s = carried_out_after_s
    bench.order([1]).run(0.1)
    bench.worker.crash()
    for step in range(40):
        if step * 0.05 >= heartbeat_after_s:
            bench.heartbeat()
        bench.run(0.05)
        assert_not_given_up(bench)
    assert RUN in bench.worker.running


@pytest.mark.parametrize("carried_out_after_s", [0.15, 0.45, 0.7, 1.2])
def test_start_in_flight_at_a_restart_is_settled_by_a_stop(carried_out_after_s):
    bench = AgentBench().run(1.0)
    bench.worker.faults.late_s = carried_out_after_s
    bench.order([1]).run(0.1)
    bench.worker.crash()
    bench.heartbeat().run(0.2)
    assert bench.run_manager.report().worker == bench.worker.facts
    bench.order(stops=[1]).run(1.5)
    report = bench.run_manager.report()
    assert bench.refused() or [one.run for one in report.ended] == [1]
    assert bench.worker.running == []


# Guards against TWICE (inc-agent-evidence): the next incarnation had answered a start
# before its heartbeat was heard, and the agent dropped the start with the earlier one.
def test_start_answered_by_an_incarnation_not_heard_yet_is_not_given_up():
    bench = AgentBench().run(1.0)
    bench.worker.crash()
    bench.order([1], life="i-w/1")
    assert bench.starts() == [1]
    for step in range(40):
        if step == 8:
            bench.heartbeat()
        bench.run(0.05)
        assert_not_given_up(bench)
    assert [(one.task, one.run) for one in bench.run_manager.report().running] == [RUN]


# Guards against TWICE: a start that the next incarnation carried out was still in
# flight when two connections were refused.
def test_start_in_flight_when_connections_are_refused_is_not_given_up():
    bench = AgentBench().run(0.7)
    bench.worker.faults.late_s = 0.5
    bench.order([1])
    bench.worker.crash()
    bench.worker.faults.down = True
    bench.run(0.4)
    report = bench.run_manager.report()
    assert report.worker is None and report.ended_life == ""
    assert RUN in report.pending
    bench.worker.faults.down = False
    bench.heartbeat().run(1.0)
    assert_not_given_up(bench)


def test_run_of_an_ended_worker_is_not_pending():
    bench = AgentBench().order([1]).run(1.0)
    bench.worker.crash()
    bench.worker.faults.down = True
    bench.run(lease_expiry_s(LEASE_S) + 0.5)
    report = bench.run_manager.report()
    assert report.ended_life == "i-w/1"
    assert report.pending == () and report.running == ()


# Guards against TWICE: a heartbeat of another writer ended the known incarnation.
@pytest.mark.parametrize("born_ms", [0, 9])
def test_heartbeat_alone_does_not_end_an_incarnation(born_ms):
    bench = AgentBench().order([1]).run(1.0)
    bench.heartbeat(born_ms=born_ms).run(0.5)
    assert bench.run_manager.report().ended_life == ""
    bench.heartbeat().run(1.0)
    report = bench.run_manager.report()
    assert report.worker == bench.worker.facts
    assert [(one.task, one.run) for one in report.running] == [RUN]


# Guards against TWICE: the first heartbeat that a restarted agent heard was of another
# writer and without a start time; the worker's next one ended that incarnation.
def test_heartbeat_without_a_start_time_names_no_incarnation():
    bench = AgentBench().order([1]).run(1.0)
    bench.restart_agent()
    bench.heartbeat(born_ms=0).run(0.5)
    assert bench.run_manager.report().worker is None
    bench.heartbeat().run(0.5)
    report = bench.run_manager.report()
    assert report.worker == bench.worker.facts
    assert report.ended_life == ""
    assert [(one.task, one.run) for one in report.running] == [RUN]


# Guards against LOST and TWICE: completions of the next incarnation were discarded by
# the number of one of the earlier incarnation.
def test_completions_of_the_next_incarnation_are_not_discarded_by_an_earlier_number():
    bench = AgentBench(seconds=0.1).order([1]).run(1.0)
    bench.order(ends_recorded=50).run(1.0)
    bench.worker.crash()
    bench.order([2], life="i-w/1").run(1.2)
    assert bench.starts() == [1, 2]
    bench.heartbeat().run(1.0)
    assert [one.run for one in bench.run_manager.report().ended] == [2]
