"""The run manager and an in-memory worker: leases, orders and lost answers."""

import pytest
from agent_bench import LEASE_S, TASK, AgentBench
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from samphiredeal.agent.graphs.lease_authority import LeaseAuthority
from samphiredeal.model import runs
from samphiredeal.model.runs import RunId
from samphiredeal.model.timing import LEASE_AUTHORITY_S, lease_wait_s
from samphiredeal.platform.table import Unavailable


def test_lease_is_extended_while_authorized():
    bench = AgentBench().order([1]).run(12.0)
    assert bench.worker.running == [RunId(TASK, 1)]


def test_lease_expires_in_time_without_authority():
    bench = AgentBench().order([1]).run(1.0)
    bench.renew_authority = False
    bench.run(lease_wait_s(LEASE_S))
    assert bench.worker.running == []
    assert bench.run_manager.report().ended[0].how == runs.LAPSED


def test_run_survives_an_eight_second_partition():
    bench = AgentBench().order([1]).run(1.0)
    bench.renew_authority = False
    bench.run(LEASE_AUTHORITY_S + LEASE_S - 1.0)
    bench.renew_authority = True
    bench.run(3.0)
    assert bench.worker.running == [RunId(TASK, 1)]


def test_authority_counts_from_the_time_of_the_answered_report():
    """A suspended agent that resumes and reads old orders is not authorized by them."""
    clock = Clock()
    authority = LeaseAuthority(clock)
    authority.record_report_sent(1)
    clock.advance(LEASE_AUTHORITY_S + 1)
    authority.record_report_answered(1)
    assert not authority.authorized


def test_start_with_a_lost_answer_runs_once():
    bench = AgentBench()
    bench.worker.faults.lose_answers = 2
    bench.order([1]).run(3.0)
    assert bench.starts() == [1]
    assert bench.refused() == {}


def test_start_applied_late_is_refused_by_its_deadline():
    bench = AgentBench()
    bench.worker.faults.late_s = 4.0
    bench.order([1]).run(1.5)
    assert RunId(TASK, 1) in bench.run_manager.report().pending
    bench.worker.faults.late_s = 0.0
    bench.run(6.0)
    assert bench.starts() == []
    assert bench.refused() == {1: runs.UNANSWERED}


def test_stop_before_the_start_prevents_the_run():
    bench = AgentBench().order(stops=[1]).run(2.0)
    assert bench.refused() == {1: runs.STOPPED}
    bench.order([1]).run(1.0)
    assert bench.starts() == []


def test_nothing_starts_on_a_leaving_worker():
    bench = AgentBench()
    leaving = bench.worker.facts._replace(leaving=True)
    bench.run_manager.record_heartbeat(leaving, 1)
    bench.order([1]).run(0.5)
    assert bench.refused() == {1: runs.LEAVING}
    assert bench.starts() == []


def test_nothing_starts_without_authority():
    bench = AgentBench()
    bench.renew_authority = False
    bench.run(LEASE_AUTHORITY_S + 1).order([1]).run(0.5)
    assert bench.starts() == []


def test_orders_for_another_incarnation_are_ignored():
    bench = AgentBench().order([1], life="other/1").run(0.5)
    assert bench.starts() == []


def test_late_heartbeat_of_an_earlier_incarnation_is_ignored():
    bench = AgentBench()
    earlier = bench.worker.facts
    bench.begin_life(born_ms=9).heartbeat().run(0.5)
    bench.run_manager.record_heartbeat(earlier, 50)
    bench.run(0.5)
    assert bench.run_manager.facts.born_ms == 9


def test_worker_that_refuses_connections_is_absent_but_has_not_ended():
    bench = AgentBench().order([1]).run(1.0)
    bench.worker.faults.down = True
    bench.run(2.0)
    report = bench.run_manager.report()
    assert report.worker is None
    assert report.ended_life == ""


def test_restarted_worker_is_a_new_incarnation():
    bench = AgentBench().order([1]).run(1.0)
    bench.worker.crash()
    bench.run(1.0)
    report = bench.run_manager.report()
    assert report.worker is None and report.ended_life == ""
    bench.run_manager.record_heartbeat(bench.worker.facts, 0)
    bench.run(1.0)
    assert bench.run_manager.report().worker.life == bench.worker.facts.life
    assert bench.run_manager.report().running == ()


@pytest.mark.parametrize("recorded", [0, 1])
def test_completions_are_reported_until_recorded(recorded):
    bench = AgentBench(seconds=1.0).order([1]).run(3.0)
    bench.order(ends_recorded=recorded).run(1.0)
    assert len(bench.run_manager.report().ended) == 1 - recorded


# Guards against slow detection of a hang (inc-short, hunt-13e8-39): a hung worker was
# polled every 0.8 s, so that three polls without progress took 2.5 s.
@pytest.mark.parametrize("hang, polls", [(True, (5, 8)), (False, (2, 4))])
def test_stalled_runs_are_polled_more_often(hang, polls):
    bench = AgentBench().order([1]).run(1.0)
    bench.worker.faults.hang = hang
    bench.run(1.0)
    before = bench.run_manager.report().looks
    bench.run(2.0)
    assert polls[0] <= bench.run_manager.report().looks - before <= polls[1]


# Guards against slow detection of a hang (inc-short, hunt-13e8-39): the poll that was
# blocking when the run started returned 0.8 s later, so that detection took 1 s.
def test_run_that_hangs_from_its_start_is_detected_within_half_a_second():
    bench = AgentBench().run(1.0)
    bench.worker.faults.hang = True
    bench.order([1]).run(0.55)
    (running,) = bench.run_manager.report().running
    assert running.still_looks >= 2 and running.still_ms >= 400


def test_run_with_progress_is_not_reported_as_stalled():
    bench = AgentBench().order([1]).run(2.0)
    (running,) = bench.run_manager.report().running
    assert running.still_looks == 0 and running.percent > 0


def test_stopped_run_that_a_cut_list_leaves_out_is_not_reported_as_stopped():
    """Its completion may be among those that the worker did not list."""
    bench = AgentBench().order(starts=[1]).run(1.0)
    complete_poll = bench.worker._poll_result

    def cut_poll():
        return complete_poll()._replace(running=(), ended=(), complete=False)

    bench.worker._poll_result = cut_poll
    bench.order(stops=[1]).run(3.0)
    assert bench.run_manager.report().refused == ()
    bench.worker._poll_result = complete_poll
    bench.run(3.0)
    (ended,) = bench.run_manager.report().ended
    assert ended.how == runs.STOPPED


def pause_worker_stops(bench):
    """Let the worker answer no stop; return a function that ends that."""
    stop = bench.worker.stop

    def ignore(_run, _epoch, timeout_s, _worker_id):
        unanswered = Deferred()
        lost = Unavailable("no answer")
        bench.clock.callLater(timeout_s, unanswered.callback, lost)
        return unanswered

    bench.worker.stop = ignore

    def resume():
        bench.worker.stop = stop

    return resume


# Guards against a stop that outlasts the scheduler which decided it: repeated under the
# epoch of the next one, it ended work that this one counts on.
def test_stop_is_not_repeated_for_a_newer_scheduler():
    bench = AgentBench().order([1]).run(2.0)
    resume = pause_worker_stops(bench)
    bench.order(stops=[1]).run(1.0)
    bench.authority.observe_epoch(2)
    bench.run(0.1)
    resume()
    bench.run(3.0)
    assert bench.worker.running == [RunId(TASK, 1)]


# A newer scheduler that decides the same has the run stopped.
def test_stop_that_a_newer_scheduler_orders_again_is_carried_out():
    bench = AgentBench().order([1]).run(2.0)
    resume = pause_worker_stops(bench)
    bench.order(stops=[1]).run(1.0)
    bench.authority.observe_epoch(2)
    bench.order(stops=[1]).run(0.1)
    resume()
    bench.run(3.0)
    assert bench.worker.running == []
