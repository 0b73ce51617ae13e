"""Which incarnation of its worker an agent takes for present, and which for ended.

Heartbeats are claims, and start times are no order, as the time of day jumps. Only the
answers to calls that name an incarnation show that it is there, and only its expired
lease that it runs nothing any more (docs/PROOFS.md, "Runs and incarnations").
"""

import pytest
from agent_bench import LEASE_S, TASK, AgentBench

from samphiredeal.model import runs
from samphiredeal.model.runs import RunId
from samphiredeal.model.timing import MAX_CLOCK_SLOWDOWN

RUN = RunId(TASK, 1)
BORN_MS = 10_000
HEARTBEAT_S = 1.5
# Two heartbeats: an incarnation that answers is in use by then.
KNOWN_WITHIN_S = 2 * HEARTBEAT_S
# A lasting task has to be at work again by then, and the time to start it elsewhere.
LASTING_WORK_AGAIN_S = 9.0
RESTART_S = 1.0


def make_bench(**fields):
    """Return a bench whose worker, born at `BORN_MS`, is known to the agent."""
    bench = AgentBench(**fields).begin_life(born_ms=BORN_MS)
    return run_beside_heartbeats(bench, KNOWN_WITHIN_S)


def run_beside_heartbeats(bench, seconds, check=lambda: None):
    """Run with the worker's heartbeats, calling `check()` every 0.05 s."""
    for step in range(round(seconds / 0.05)):
        if step % round(HEARTBEAT_S / 0.05) == 0:
            bench.number += 1
            bench.heartbeat()
        bench.run(0.05)
        check()
    return bench


def check_conclusions(bench):
    """Check that no incarnation is said to have ended while a run is at work.

    Not even an earlier one: its runs go on if the worker has changed its id, and its
    starts may have been carried out by the next one.
    """
    report = bench.run_manager.report()
    if report.worker is None and report.ended_life:
        assert bench.worker.running == []


def listed(bench):
    report = bench.run_manager.report()
    return [RunId(one.task, one.run) for one in report.running]


def assert_in_service(bench):
    """Check that the agent knows the worker and carries out orders for it."""
    assert bench.run_manager.report().worker == bench.worker.facts
    before = len(bench.starts())
    bench.order([90 + before]).run(0.2)
    assert len(bench.starts()) == before + 1


# Guards against TWICE and workers lost for good (inc-worker-identity): heartbeats were
# ordered by start time, and those of a life that began at an earlier time of day were
# ignored for ever.
@pytest.mark.parametrize("worker_id", ["i-w", "i-next"])
@pytest.mark.parametrize("born_ms", [BORN_MS - 5000, BORN_MS - 1, BORN_MS + 5000])
def test_worker_that_starts_again_is_in_service_whatever_its_start_time(
    born_ms, worker_id
):
    bench = make_bench().order([1]).run(1.0)
    bench.begin_life(id=worker_id, born_ms=born_ms)
    run_beside_heartbeats(bench, KNOWN_WITHIN_S, lambda: check_conclusions(bench))
    assert_in_service(bench)


# Guards against TWICE and workers lost for good (inc-worker-identity): one heartbeat of
# another writer, or a late one, replaced the incarnation that is there.
@pytest.mark.parametrize("worker_id", ["i-w", "i-other"])
@pytest.mark.parametrize("born_ms", [BORN_MS - 5000, BORN_MS + 5000])
def test_heartbeat_of_an_incarnation_that_does_not_answer_changes_nothing(
    born_ms, worker_id
):
    bench = make_bench().order([1]).run(1.0)
    bench.heartbeat(id=worker_id, born_ms=born_ms).run(0.5)
    assert bench.run_manager.report().worker == bench.worker.facts
    assert listed(bench) == [RUN]
    run_beside_heartbeats(bench, KNOWN_WITHIN_S, lambda: check_conclusions(bench))
    assert listed(bench) == [RUN]
    assert_in_service(bench)


# Guards against TWICE (inc-worker-identity): two refused connections counted as the end
# of the worker's process, which went on, and was never used again.
@pytest.mark.parametrize("refused_s", [0.2, 0.35, 0.5, 1.0, 3.0])
def test_worker_that_refuses_connections_and_lives_on_is_not_given_up(refused_s):
    bench = make_bench().order([1]).run(1.0)
    bench.worker.faults.down = True
    run_beside_heartbeats(bench, refused_s, lambda: check_conclusions(bench))
    bench.worker.faults.down = False
    run_beside_heartbeats(bench, 1.0, lambda: check_conclusions(bench))
    assert listed(bench) == [RUN]
    assert_in_service(bench)


# Guards against TWICE: runs were given up when their worker changed its id.
def test_runs_go_on_when_a_worker_changes_its_id():
    bench = make_bench().order([1]).run(1.0)
    bench.rename_worker("i-renamed")
    run_beside_heartbeats(bench, KNOWN_WITHIN_S, lambda: check_conclusions(bench))
    assert bench.run_manager.report().worker == bench.worker.facts
    assert listed(bench) == [RUN]
    assert_in_service(bench)


# Guards against TWICE: the runs of incarnation A were given up when B was heard, though
# A answered again.
def test_worker_that_changes_its_id_and_back_keeps_its_runs():
    bench = make_bench().order([1]).run(1.0)
    for worker_id in ("i-renamed", "i-w", "i-renamed"):
        bench.rename_worker(worker_id)
        run_beside_heartbeats(bench, KNOWN_WITHIN_S, lambda: check_conclusions(bench))
        assert listed(bench) == [RUN]
    assert_in_service(bench)


# Guards against LOST: the runs of a worker that never answers again were held for ever,
# or given up before their lease had expired.
@pytest.mark.parametrize("how", ["refuses", "silent"])
def test_worker_that_is_lost_for_good_has_ended_once_its_lease_has_expired(how):
    bench = make_bench(seconds=60.0).order([1]).run(1.0)
    life = bench.worker.facts.life
    if how == "refuses":
        bench.worker.faults.down = True
    else:
        bench.worker.faults.lose_polls = 1000
    longest_s = LEASE_S / (1 - MAX_CLOCK_SLOWDOWN)
    for _ in range(round((2 * longest_s) / 0.05)):
        bench.run(0.05)
        check_conclusions(bench)
    report = bench.run_manager.report()
    assert report.worker is None
    assert report.ended_life == life
    assert report.running == () and report.pending == ()


# Guards against LOST: lasting work has to run again 9 s after its worker is lost for
# good, which its lease alone shows; the worker would allow a longer one.
def test_lost_worker_has_ended_in_time_for_lasting_work():
    bench = make_bench(seconds=60.0, lease_s=10.0).run(10.0).order([1]).run(1.0)
    bench.worker.crash()
    bench.worker.faults.down = True
    bench.run(LASTING_WORK_AGAIN_S - RESTART_S)
    assert bench.run_manager.report().ended_life == f"i-w/{BORN_MS}"


# Guards against TWICE: an earlier process of the agent, perhaps of another build, had
# extended the lease by as much as the worker allows.
def test_restarted_agent_waits_for_the_longest_lease_of_an_earlier_process():
    bench = make_bench(seconds=60.0, lease_s=10.0).order([1]).run(1.0)
    bench.restart_agent()
    bench.heartbeat().run(0.2)
    bench.worker.faults.down = True
    for _ in range(round(20.0 / 0.05)):
        bench.run(0.05)
        report = bench.run_manager.report()
        assert not report.ended_life or bench.clock.seconds() > 10.0 + 4.7
    assert report.ended_life == bench.worker.facts.life


def test_worker_whose_lease_expired_while_it_refused_connections_comes_back():
    bench = make_bench(seconds=60.0).order([1]).run(1.0)
    life = bench.worker.facts.life
    bench.worker.faults.down = True
    run_beside_heartbeats(bench, 2 * LEASE_S, lambda: check_conclusions(bench))
    assert bench.run_manager.report().ended_life == life
    bench.worker.faults.down = False
    run_beside_heartbeats(bench, KNOWN_WITHIN_S)
    report = bench.run_manager.report()
    assert report.worker == bench.worker.facts and report.ended_life == ""
    assert [(one.run, one.how) for one in report.ended] == [(1, runs.LAPSED)]
    assert_in_service(bench)


# Guards against TWICE: an order without a known incarnation named none, and any worker
# that answers at the address would have carried it out.
def test_no_call_is_sent_without_the_id_of_an_incarnation():
    bench = make_bench().order([1]).run(1.0)
    named = []
    stop = bench.worker.stop

    def record(run, epoch, timeout_s, worker_id):
        named.append(worker_id)
        return stop(run, epoch, timeout_s, worker_id)

    bench.worker.stop = record
    bench.worker.faults.down = True
    bench.order(stops=[1])
    run_beside_heartbeats(bench, 1.0)
    bench.worker.faults.down = False
    run_beside_heartbeats(bench, KNOWN_WITHIN_S)
    assert set(named) == {bench.worker.facts.id}
    assert [(one.run, one.how) for one in bench.run_manager.report().ended] == [
        (1, runs.STOPPED)
    ]


# Guards against workers out of service: the claim of a worker that started again under
# its id was replaced by that of its former life when connections were refused.
def test_worker_that_starts_again_behind_refused_connections_is_known_at_once():
    bench = make_bench()
    bench.begin_life(born_ms=BORN_MS + 500)
    bench.worker.faults.down = True
    bench.heartbeat().run(0.6)
    bench.worker.faults.down = False
    bench.run(0.3)
    assert bench.run_manager.report().worker == bench.worker.facts
