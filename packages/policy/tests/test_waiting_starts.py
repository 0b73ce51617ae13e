"""Starts that were decided a while ago are sent if they would be decided again."""

import pytest
from graph_bench import Bench, make_workers
from graph_builders import make_record, make_step

from samphiredeal.policy.graphs.records import PlaceRecord, Progress, UnitRecord

ZONE_OF = {"w0": "a", "w1": "b", "w2": "a", "w3": "b"}


def take_over(record, units, workers=4):
    """Return a bench whose scheduler has read a job whose starts were stored."""
    bench = Bench(make_workers(workers))
    bench.scheduler.add_job(record, Progress("queued", units=units), 0.0)
    return bench


def place_record(index, worker):
    """Return the stored place of a member on the first life of a worker."""
    return PlaceRecord(index, worker, f"i-{worker}/1")


def take_over_task(**fields):
    """Return a bench with a job ``a`` whose task is placed on w0 and not started."""
    units = {"0.0.0": UnitRecord(1, places=(place_record(0, "w0"),))}
    return take_over(make_record("a", **fields), units)


def take_out(bench, zone):
    bench.scheduler.zones_out = frozenset({zone})


def announce_leaving(bench, name):
    bench.facts[name] = bench.facts[name]._replace(leaving=True, leaving_in_ms=9000)


# Guards against a start that an earlier scheduler decided, in a zone that has been
# taken out since (review case 10).
def test_stored_start_is_not_sent_into_a_zone_that_is_out():
    bench = take_over_task()
    take_out(bench, "a")
    for _ in range(4):
        bench.step(0.1)
    assert [ZONE_OF[name] for name in bench.places("a")] == ["b"]


# The same for a worker that leaves, which a new scheduler learns with the first report.
def test_stored_start_is_not_sent_to_a_leaving_worker():
    bench = take_over_task()
    announce_leaving(bench, "w0")
    for _ in range(4):
        bench.step(0.1)
    assert bench.places("a") and bench.places("a") != ["w0"]


# Guards against the same start of a job that was cancelled meanwhile.
def test_stored_start_of_a_cancelled_job_is_not_sent():
    bench = take_over_task()
    bench.scheduler.cancel_job("a", 0.0)
    for _ in range(4):
        bench.step(0.1)
    assert bench.places("a") == []


# A stored start is sent if nothing stands against it.
def test_stored_start_is_sent():
    bench = take_over_task()
    take_out(bench, "b")
    bench.step(0.1).step(0.1)
    assert bench.places("a") == ["w0"]


# Guards against a member of a gang that starts alone because the others may not.
def test_gang_with_a_member_in_a_zone_that_is_out_starts_elsewhere_as_a_whole():
    steps = [make_step(2, 8, gang=True)]
    places = (place_record(0, "w0"), place_record(1, "w1"))
    bench = take_over(make_record("a", steps), {"0.0": UnitRecord(1, places=places)})
    take_out(bench, "a")
    for _ in range(6):
        bench.step(0.1)
    assert bench.places("a") == ["w1", "w3"]
    assert {run for runs in bench.running.values() for _task, run in runs} == {2}


# Guards against a start of this scheduler's own that had to wait, here for its agent
# to be heard again.
def test_start_that_waited_for_its_agent_is_not_sent_into_a_zone_that_is_out():
    bench = Bench(make_workers(2))
    bench.add(make_record("a"))
    scheduler = bench.scheduler
    scheduler.plan(0.0, 0)
    (placement,) = scheduler.jobs["a"].units["0.0.0"].placements.values()
    placement.committed = True
    scheduler.mark_worker_unreachable(placement.worker)
    assert scheduler.orders_for(placement.worker, 0.0) == ([], [])
    take_out(bench, ZONE_OF[placement.worker])
    for _ in range(4):
        bench.step(0.1)
    assert bench.places("a") and bench.places("a") != [placement.worker]


# Guards against the same for a start whose order was lost, and that is sent again.
def test_lost_start_is_not_sent_again_into_a_zone_that_is_out():
    bench = Bench(make_workers(2))
    bench.add(make_record("a"))
    bench.step()
    (name,) = bench.places("a")
    bench.running[name].clear()
    take_out(bench, ZONE_OF[name])
    for _ in range(5):
        bench.step(0.5)
    assert bench.places("a") and bench.places("a") != [name]


# Work that runs in the zone goes on, and so does a start that is on its way.
@pytest.mark.parametrize("is_listed", [False, True])
def test_run_that_was_sent_before_its_zone_was_taken_out_goes_on(is_listed):
    bench = Bench(make_workers(2))
    bench.add(make_record("a"))
    bench.step()
    if is_listed:
        bench.step(0.1)
    (name,) = bench.places("a")
    take_out(bench, ZONE_OF[name])
    bench.step(0.1).step(0.1)
    assert bench.places("a") == [name]


# Guards against starts by an earlier look at the zones, while those are not known.
def test_no_start_is_sent_while_the_host_holds_starts():
    bench = take_over_task()
    scheduler = bench.scheduler
    bench.report("w0")
    scheduler.plan(0.0, 0)
    assert scheduler.orders_for("w0", 0.0, may_start=False) == ([], [])
    starts, _stops = scheduler.orders_for("w0", 0.0)
    assert [order.task for order in starts] == ["a.0.0.0"]


# Guards against LIMIT: the room of a stored start is in use by a run that the rows do
# not name. The worker is not chosen for other work either.
def test_stored_start_is_not_sent_beside_an_unknown_run():
    bench = take_over_task(steps=[make_step(1, 8)])
    bench.running["w0"][("b.0.0.0", 1)] = 0.0
    bench.stopping_slowly = {"w0"}
    for _ in range(4):
        bench.step(0.1)
        assert list(bench.running["w0"]) == [("b.0.0.0", 1)]
    bench.stopping_slowly = set()
    bench.step(0.6).step(0.1)
    assert len(bench.places("a")) == 1
