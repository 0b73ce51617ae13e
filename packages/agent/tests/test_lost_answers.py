"""What an agent concludes from refusals when answers of its worker are lost.

A refusal says only what became of the call that it answers. If an earlier try of the
start has no answer, the run may have begun, and may even have ended (docs/PROOFS.md,
"Runs and incarnations").
"""

import pytest
from agent_bench import TASK, AgentBench
from twisted.internet.defer import succeed

from samphiredeal.model import runs
from samphiredeal.model.runs import Refused, RunId
from samphiredeal.platform.table import Unavailable

RUN = RunId(TASK, 1)
# A task that ends before its start is tried again.
SHORT_S = 0.3


def listed_ends(bench):
    return [(one.run, one.how) for one in bench.run_manager.report().ended]


# Guards against TWICE (inc-old-run): the answers to a start and to the polls that list
# its end are lost; the refusal of the second try counted as "has never begun".
@pytest.mark.parametrize("lost_polls", range(1, 7))
def test_run_that_ended_before_its_start_was_tried_again_is_not_refused(lost_polls):
    bench = AgentBench(seconds=SHORT_S)
    bench.worker.faults.lose_answers = 1
    bench.worker.faults.lose_polls = lost_polls
    bench.order([1])
    for _ in range(80):
        bench.run(0.05)
        assert bench.refused() == {}
        is_listed = listed_ends(bench) == [(1, runs.DONE)]
        assert is_listed or RUN in bench.run_manager.report().pending
    assert listed_ends(bench) == [(1, runs.DONE)]
    assert bench.starts() == [1]


# Guards against TWICE: the same, where an earlier process of the agent sent the first
# try, so that this one knows of none.
def test_run_that_ended_before_the_agent_restarted_is_not_refused():
    bench = AgentBench(seconds=SHORT_S)
    bench.order([1]).run(0.1)
    bench.restart_agent()
    bench.heartbeat().run(0.05)
    bench.worker.faults.lose_polls = 3
    bench.order([1])
    for _ in range(60):
        bench.run(0.05)
        assert bench.refused() == {}
    assert listed_ends(bench) == [(1, runs.DONE)]


def test_run_that_the_worker_has_not_begun_is_refused_as_old():
    """A newer run of the task has ended there; a poll shows that this one has not."""
    bench = AgentBench(seconds=SHORT_S).order([2]).run(1.0)
    bench.order(ends_recorded=1).order([1]).run(1.0)
    assert bench.refused() == {1: runs.OLD_RUN}
    assert bench.starts() == [2]


def answer_starts(bench, *answers):
    """Answer the next starts so, without applying them; None loses a start."""
    calls = list(answers)
    start = bench.worker.start

    def answer(order, epoch, deadline_ms, timeout_s, worker_id):
        if not calls:
            return start(order, epoch, deadline_ms, timeout_s, worker_id)
        reason = calls.pop(0)
        if reason is None:
            faults = bench.worker.faults
            faults.late_s, before = bench.late_s, faults.late_s
            answered = start(order, epoch, deadline_ms, timeout_s, worker_id)
            faults.late_s = before
            return answered
        return succeed(Refused(order.task, order.run, reason))

    bench.worker.start = answer


# Guards against TWICE: the worker carries out an unanswered try after it has refused a
# later one, for want of room that is free again by then.
@pytest.mark.parametrize(
    "reason", [runs.NO_ROOM, runs.NO_TICKET, runs.UNHEALTHY, runs.MALFORMED]
)
@pytest.mark.parametrize("late_s", [0.7, 1.0, 1.6, 2.2])
def test_refusal_of_a_later_try_does_not_settle_an_earlier_one(reason, late_s):
    bench = AgentBench(seconds=8.0).run(3.0)
    bench.late_s = late_s
    answer_starts(bench, None, *[reason] * 8)
    bench.order([1])
    for _ in range(120):
        bench.run(0.05)
        report = bench.run_manager.report()
        is_open = RUN in report.pending or RUN in bench.worker.running
        assert is_open or bench.refused() or listed_ends(bench)
    begun = bench.starts()
    assert not (begun and bench.refused())
    assert begun or bench.refused() in ({1: reason}, {1: runs.STOPPED})


# Guards against RECLAIM (inc-progress-rows): a start that had never been sent counted
# as in doubt until its deadline, so that urgent work began elsewhere 4 s late.
def test_start_that_was_never_sent_is_refused_once_it_is_given_up():
    bench = AgentBench().run(3.0)
    calls = bench.worker.start
    unsent = Unavailable("too many calls in flight", not_applied=True)
    bench.worker.start = lambda *arguments: succeed(unsent)
    bench.order([1]).run(1.5)
    assert bench.refused() == {1: runs.UNANSWERED}
    bench.worker.start = calls
    bench.run(3.0)
    assert bench.starts() == []


def test_refusal_of_the_only_try_settles_the_start_at_once():
    bench = AgentBench().run(3.0)
    answer_starts(bench, runs.NO_ROOM)
    bench.order([1])
    assert bench.refused() == {1: runs.NO_ROOM}


# Guards against TWICE: a try of an earlier process of the agent may still be carried
# out when this process's own try is refused.
def test_refusal_soon_after_the_agent_restarted_does_not_settle_an_earlier_try():
    bench = AgentBench(seconds=8.0).run(3.0)
    bench.worker.faults.late_s = 1.5
    bench.order([1])
    bench.worker.faults.late_s = 0.0
    bench.restart_agent()
    bench.heartbeat().run(0.1)
    answer_starts(bench, runs.NO_ROOM)
    bench.order([1]).run(4.0)
    assert not (bench.starts() and bench.refused())
