"""A worker that leaves as it announced, and what only looks like it.

The pattern: a worker announces that it leaves in some seconds, deregisters after that,
and exits. Its runs are over then; an agent that is lost soon after has to have said so.
"""

import pytest
from agent_bench import TASK, AgentBench

from samphiredeal.model.runs import RunId
from samphiredeal.model.timing import lease_expiry_s

RUN = RunId(TASK, 1)
STAYS_S = 3.0
ID = "i-w"


def make_leaving_bench(number=100):
    """Return a bench whose worker runs a task and has announced that it leaves."""
    bench = AgentBench().run(0.5)
    bench.order([1]).run(0.5)
    bench.number = number
    bench.heartbeat(leaving=True, leaving_in_ms=int(STAYS_S * 1000)).run(0.1)
    assert bench.run_manager.facts.leaving
    return bench


def exit_worker(bench):
    bench.worker.crash()
    bench.worker.faults.down = True


def ended_after_s(bench, limit_s=10.0):
    """Return after how long the agent reports the worker's life as ended."""
    began_at = bench.clock.seconds()
    while not bench.run_manager.report().ended_life:
        assert bench.clock.seconds() - began_at < limit_s
        bench.run(0.05)
    return bench.clock.seconds() - began_at


# A task on a worker that had left was lost with its agent and started again 18.7 s
# later, after an eviction and the longest lease (inc-short, fifth report, trouble-3
# --seed 85006; LOST on sick-workers --seed 879688843848).
@pytest.mark.parametrize("is_farewell_late", [False, True])
def test_worker_that_left_as_announced_has_ended(is_farewell_late):
    bench = make_leaving_bench().run(STAYS_S)
    if not is_farewell_late:
        bench.run_manager.record_farewell(ID)
    exit_worker(bench)
    if is_farewell_late:
        bench.run(0.4)
        bench.run_manager.record_farewell(ID)
    assert ended_after_s(bench) <= 0.5


def wait_for_lease(bench):
    assert ended_after_s(bench) >= lease_expiry_s(bench.lease_s) - 1.5


def test_worker_that_announced_nothing_has_not_ended():
    bench = AgentBench().run(0.5)
    bench.order([1]).run(3.5)
    bench.run_manager.record_farewell(ID)
    exit_worker(bench)
    wait_for_lease(bench)


def test_worker_that_leaves_before_its_time_has_not_ended():
    bench = make_leaving_bench().run(STAYS_S - 1.0)
    bench.run_manager.record_farewell(ID)
    exit_worker(bench)
    wait_for_lease(bench)


@pytest.mark.parametrize("worker_id", ["", "i-", "i-w2", "other"])
def test_farewell_of_another_worker_ends_nothing(worker_id):
    bench = make_leaving_bench().run(STAYS_S)
    bench.run_manager.record_farewell(worker_id)
    exit_worker(bench)
    wait_for_lease(bench)


def test_worker_that_only_refuses_connections_after_its_time_has_not_ended():
    bench = make_leaving_bench().run(STAYS_S)
    exit_worker(bench)
    wait_for_lease(bench)


# Another process sent the farewell; the port was closed for a moment afterwards.
def test_worker_that_answers_after_its_farewell_has_not_ended():
    bench = make_leaving_bench().run(STAYS_S)
    bench.run_manager.record_farewell(ID)
    bench.run(2.0)
    bench.worker.faults.down = True
    bench.run(1.0)
    assert not bench.run_manager.report().ended_life
    bench.worker.faults.down = False
    bench.run(1.5)
    assert RUN in {
        RunId(one.task, one.run) for one in bench.run_manager.report().running
    }


def test_worker_that_stays_after_all_has_not_ended():
    bench = make_leaving_bench().run(1.0)
    for number in range(201, 206):
        bench.number = number
        bench.heartbeat().run(0.1)
    assert not bench.run_manager.facts.leaving
    bench.run(STAYS_S)
    bench.run_manager.record_farewell(ID)
    exit_worker(bench)
    wait_for_lease(bench)


# A start in flight may be carried out by the worker that comes next.
def test_worker_with_a_start_in_doubt_has_not_ended():
    bench = AgentBench().run(0.5)
    bench.worker.faults.late_s = 1.0
    bench.order([1]).run(0.05)
    bench.number = 100
    bench.heartbeat(leaving=True, leaving_in_ms=50).run(0.1)
    bench.run_manager.record_farewell(ID)
    exit_worker(bench)
    bench.run(0.6)
    assert RUN in bench.run_manager.report().pending
    assert not bench.run_manager.report().ended_life
