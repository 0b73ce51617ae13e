"""Guaranteed work reclaims its accelerators from any work that only borrows them.

"That number of `gpu` belongs to the tenant for its jobs of priority 0, at all times.
Others may use whatever is idle." Guards against RECLAIM (inc-lasting-borrowers).
"""

import pytest
from graph_bench import Bench, make_workers
from graph_builders import make_record, make_step

from samphiredeal.model import runs

RECLAIM_S = 2.7
STEP_S = 0.1
BORROWER = "guild"


def make_full_bench(step, workers=2, **fields):
    """Return a bench on which a job of another account has run for a while.

    The account `acct` is guaranteed 8 accelerators and uses none.
    """
    bench = Bench(make_workers(workers))
    bench.scheduler.guarantees = {"acct": 8}
    bench.add(make_record("b", [step], account=BORROWER, **{"priority": 2, **fields}))
    bench.step().step(1.0)
    for name, listed in bench.running.items():
        for task, _run in listed:
            bench.percent[name, task] = 100 if step.lasting else 50
    return bench.step(0.1)


def begin(bench, count=4, seconds=RECLAIM_S, **fields):
    """Submit guaranteed work; return how many of its tasks begin within `seconds`."""
    job = make_record("u", [make_step(count, 1, **fields)], priority=0)
    bench.add(job)
    for _ in range(round(seconds / STEP_S)):
        bench.step(STEP_S)
    return len(bench.places("u"))


# Lasting work was never preempted, whatever its priority and its limit.
@pytest.mark.parametrize("lasting", [False, True])
@pytest.mark.parametrize("gang", [False, True])
def test_guaranteed_work_begins_though_others_fill_the_cluster(gang, lasting):
    bench = make_full_bench(make_step(16, 1, lasting=lasting, gang=gang))
    assert begin(bench) == 4


def test_lasting_victims_restart_once_there_is_room():
    bench = make_full_bench(make_step(16, 1, lasting=True))
    begin(bench)
    assert len(bench.places("b")) == 12
    bench.end_all("u")
    bench.step(0.1).step(0.1)
    assert len(bench.places("b")) == 16


# AVAIL: "A stop, move or upkeep ends a task of a step with `may-miss` that is at work
# on a sound executor that isn't draining, while so many others of its step are away".
@pytest.mark.parametrize("may_be_away, expected", [(1, 1), (2, 2), (4, 4), (6, 4)])
def test_lasting_step_keeps_as_many_tasks_at_work_as_it_asks_for(may_be_away, expected):
    step = make_step(16, 1, lasting=True, may_be_away=may_be_away)
    bench = make_full_bench(step)
    assert begin(bench) == expected
    assert len(bench.places("b")) == 16 - expected


def test_tasks_of_a_lasting_step_that_are_not_at_work_count_as_away():
    step = make_step(16, 1, lasting=True, may_be_away=2)
    bench = make_full_bench(step)
    first = next(iter(bench.running["w0"]))
    bench.percent["w0", first[0]] = 40
    # The task that is not at work may be stopped, and one more.
    assert begin(bench) == 2


def test_urgent_work_beyond_its_guarantee_preempts_no_lasting_work():
    bench = make_full_bench(make_step(16, 1, lasting=True))
    bench.scheduler.guarantees = {}
    assert begin(bench) == 0


def test_lasting_work_within_a_guarantee_is_not_preempted():
    bench = make_full_bench(make_step(16, 1, lasting=True), priority=0)
    bench.scheduler.guarantees = {"acct": 8, BORROWER: 16}
    assert begin(bench) == 0


def test_urgent_lasting_work_beyond_its_guarantee_is_preempted():
    bench = make_full_bench(make_step(16, 1, lasting=True), priority=0)
    assert begin(bench) == 4


def test_cheapest_work_is_preempted_first():
    bench = Bench(make_workers(2))
    bench.scheduler.guarantees = {"acct": 8}
    lasting = make_step(8, 1, lasting=True, spread_limit=4)
    batch = make_step(8, 1, estimate_ms=60_000, spread_limit=4)
    bench.add(make_record("l", [lasting], priority=2, account=BORROWER))
    bench.add(make_record("b", [batch], priority=2, account=BORROWER))
    bench.step().step(20.0)
    assert begin(bench) == 4
    assert len(bench.places("b")) == 8


# Work at 90% or more was never preempted: guaranteed work waited for 5.1 s for it.
@pytest.mark.parametrize("percent", [90, 99])
def test_guaranteed_work_does_not_wait_for_long_for_work_that_is_nearly_done(percent):
    bench = make_full_bench(make_step(16, 1, estimate_ms=66_000))
    for name, listed in bench.running.items():
        for task, _run in listed:
            bench.percent[name, task] = percent
    assert begin(bench) == 4


def test_work_that_is_nearly_done_may_end_first():
    bench = make_full_bench(make_step(16, 1, estimate_ms=10_000))
    for name, listed in bench.running.items():
        for task, _run in listed:
            bench.percent[name, task] = 95
    assert begin(bench, seconds=0.5) == 0
    bench.end_all("b")
    bench.step(0.1)
    assert len(bench.places("u")) == 4


# "`fills`: [...] the step's tasks receive the capacity that the other tasks leave
# unused."
@pytest.mark.parametrize("guaranteed", [0, 8])
def test_serving_work_preempts_filling_work_that_would_disturb_it(guaranteed):
    step = make_step(2, 1, lasting=True, fills=True, spread_limit=1)
    bench = make_full_bench(step)
    bench.scheduler.guarantees = {"acct": guaranteed}
    assert begin(bench, 1, lasting=True, target_latency_ms=50) == 1
    assert len(bench.places("b")) == 1


def test_filling_work_preempts_no_serving_work():
    step = make_step(2, 1, lasting=True, target_latency_ms=50, spread_limit=1)
    bench = make_full_bench(step)
    bench.scheduler.guarantees = {}
    assert begin(bench, 1, fills=True) == 0


def stubborn_bench(bench, name):
    """Make a worker keep its runs when it is ordered to stop them."""
    orders_for = bench.scheduler.orders_for

    def orders(worker_name, now):
        starts, stops = orders_for(worker_name, now)
        return starts, [] if worker_name == name else stops

    bench.scheduler.orders_for = orders
    return bench


# A victim that did not stop when asked held up guaranteed work for as long as it ran.
@pytest.mark.parametrize("name", ["w0", "w1"])
def test_guaranteed_work_begins_elsewhere_if_a_victim_does_not_stop(name):
    step = make_step(2, 8, estimate_ms=60_000)
    bench = stubborn_bench(make_full_bench(step), name)
    bench.add(make_record("u", [make_step(1, 8)], priority=0))
    for _ in range(round(RECLAIM_S / STEP_S)):
        bench.step(STEP_S)
    assert len(bench.places("u")) == 1


def test_victim_that_ends_meanwhile_frees_its_room():
    bench = make_full_bench(make_step(16, 1))
    bench.add(make_record("u", [make_step(4, 1)], priority=0))
    bench.end_all("b", runs.DONE)
    bench.step(0.1)
    assert len(bench.places("u")) == 4
