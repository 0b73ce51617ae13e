"""What an agent concludes after its VM was suspended, with the worker's clock.

The worker's clock stops meanwhile, and the agent's goes on (`lease_expiry.py`).
"""

import pytest
from agent_bench import TASK, AgentBench
from twisted.internet.defer import succeed

from samphiredeal.model import runs
from samphiredeal.model.runs import Refused, RunId

RUN = RunId(TASK, 1)


def suspend(bench, seconds):
    """Suspend the VM: time passes at once, and not on the worker's clock."""
    bench.worker.stop_clock(seconds)
    bench.clock.advance(seconds)


# Guards against TWICE: a start without an answer counted as expired by the agent's
# clock, while it had time left on that of the worker.
@pytest.mark.parametrize("suspended_s", [1.0, 3.0, 10.0])
def test_start_in_flight_while_the_vm_is_suspended_is_not_given_up(suspended_s):
    bench = AgentBench().run(3.0)
    # It is carried out 1 s after it was sent, by the worker's clock.
    bench.worker.faults.late_s = suspended_s + 1.0
    bench.order([1])
    bench.worker.faults.late_s = 0.0
    bench.worker.faults.down = True
    bench.run(0.1)
    suspend(bench, suspended_s)
    bench.worker.faults.down = False
    for _ in range(60):
        bench.run(0.05)
        assert not (RUN in bench.worker.running and bench.refused())


# Guards against TWICE: an incarnation counted as ended by the agent's clock.
@pytest.mark.parametrize("suspended_s", [3.0, 10.0, 30.0])
def test_lease_does_not_expire_while_the_vm_is_suspended(suspended_s):
    bench = AgentBench(seconds=60.0).order([1]).run(3.0)
    bench.worker.faults.down = True
    bench.run(1.0)
    suspend(bench, suspended_s)
    for _ in range(200):
        bench.run(0.05)
        assert not (bench.worker.running and bench.run_manager.report().ended_life)
    assert bench.run_manager.report().ended_life


def refuse_starts(bench):
    """Let the worker refuse starts as unhealthy; return a function that ends that."""
    start = bench.worker.start

    def refuse(order, *_args):
        return succeed(Refused(order.task, order.run, runs.UNHEALTHY))

    bench.worker.start = refuse

    def recover():
        bench.worker.start = start

    return recover


# Guards against a start that is tried again long after it was ordered: the VM is
# suspended between two tries, and the zone may be out of service since.
@pytest.mark.parametrize("suspended_s", [2.0, 10.0])
def test_start_is_not_tried_again_after_its_vm_was_suspended(suspended_s):
    bench = AgentBench().run(3.0)
    recover = refuse_starts(bench)
    bench.order([1]).run(0.05)
    recover()
    suspend(bench, suspended_s)
    bench.run(3.0)
    assert bench.starts() == []
    assert bench.refused() == {1: runs.UNANSWERED}


# Guards against a start on a worker that has announced to leave since it was ordered.
def test_start_is_not_tried_again_on_a_worker_that_leaves():
    bench = AgentBench().run(3.0)
    recover = refuse_starts(bench)
    bench.order([1]).run(0.05)
    bench.heartbeat(leaving=True, leaving_in_ms=9000)
    recover()
    bench.run(3.0)
    assert bench.starts() == []
    assert bench.refused() == {1: runs.LEAVING}
