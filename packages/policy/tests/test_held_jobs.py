"""Jobs that are held, as a row of theirs cannot be read, beside other work.

Guards against runs of such jobs that are taken for foreign ones and stopped, and
against work that is placed in the room that they use.
"""

from graph_bench import Bench, make_workers
from graph_builders import make_record, make_step

from samphiredeal.model import runs
from samphiredeal.model.runs import RunId
from samphiredeal.policy.graphs.records import PlaceRecord, Progress, UnitRecord

HALF = make_step(1, 4)
HELD = make_record("a", [HALF])


def make_bench(workers=1, record=HELD):
    """Return a bench with a run of a held job on w0 that has no placement."""
    bench = Bench(make_workers(workers))
    bench.scheduler.hold_jobs({"a": record})
    bench.running["w0"][("a.0.0.0", 1)] = 0.0
    return bench.step(0.1)


def progress(run=1, worker="w0"):
    places = (PlaceRecord(0, worker, f"i-{worker}/1"),)
    return Progress("running", True, units={"0.0.0": UnitRecord(run, places=places)})


def release(bench, stored):
    """Load the held job by its stored progress, as the dispatcher does."""
    scheduler = bench.scheduler
    assert scheduler.hold_jobs({}) == {"a"}
    scheduler.add_job(HELD, stored, bench.now, was_held=True)
    scheduler.sort_unplaced_runs()
    return bench.step(0.1)


def test_run_of_a_held_job_is_not_stopped_and_keeps_its_room():
    bench = make_bench()
    bench.add(make_record("b", [make_step(2, 4)]))
    for _ in range(5):
        bench.step(0.5)
    assert bench.places("a") == bench.places("b") == ["w0"]


def test_worker_of_a_run_of_unknown_shape_gets_no_new_work():
    bench = make_bench(2, record=None)
    bench.add(make_record("b", [make_step(3, 1)]))
    for _ in range(5):
        bench.step(0.5)
    assert bench.places("a") == ["w0"]
    assert bench.places("b") == ["w1"] * 3


# The agent has the start from an earlier scheduler, and may still carry it out.
def test_pending_start_of_a_held_job_uses_its_room():
    bench = Bench(make_workers(1))
    bench.scheduler.hold_jobs({"a": make_record("a", [make_step(1, 8)])})
    bench.add(make_record("b", [HALF]))
    bench.report("w0", pending=(RunId("a.0.0.0", 1),))
    bench.scheduler.plan(0.1, 100)
    assert not bench.scheduler.workers["w0"].placements
    bench.step(0.5)
    assert bench.places("b") == ["w0"]


def test_room_of_a_held_run_is_free_once_it_has_ended():
    bench = make_bench()
    bench.add(make_record("b", [make_step(2, 4)]))
    bench.step(0.5)
    bench.end_all("a")
    bench.step(0.5).step(0.5)
    assert bench.places("b") == ["w0", "w0"]


def test_filling_work_does_not_join_a_held_run_with_a_latency_target():
    serving = make_step(1, 1, target_latency_ms=50, lasting=True)
    bench = make_bench(2, record=make_record("a", [serving]))
    bench.add(make_record("b", [make_step(2, 1, fills=True)]))
    bench.step(0.5)
    assert bench.places("b") == ["w1", "w1"]


def test_released_run_goes_on():
    bench = release(make_bench(), progress())
    bench.step(0.5)
    assert bench.places("a") == ["w0"]
    assert bench.state("a") == "running"
    bench.end_all("a")
    bench.step(0.5)
    assert bench.state("a") == "completed"
    assert bench.scheduler.workers["w0"].used == (0, 0, 0)


# A failure counts once, and only as the job is held no more.
def test_failure_of_a_held_run_is_charged_once_it_is_released():
    bench = make_bench()
    bench.end_all("a", runs.FAILED)
    bench.step(0.5).step(0.5)
    assert "a" not in bench.scheduler.jobs
    release(bench, progress())
    assert bench.scheduler.jobs["a"].units["0.0.0"].failures == 1
    bench.step(0.5).step(0.5)
    assert bench.places("a") == ["w0"]
    assert bench.scheduler.jobs["a"].units["0.0.0"].run == 2


def test_job_that_is_known_is_left_as_it_is_while_it_is_held():
    bench = Bench(make_workers(1))
    bench.add(HELD, make_record("b", [make_step(1, 8)], priority=0))
    bench.scheduler.cancel_job("b", 0.0)
    bench.step(0.1)
    assert bench.places("a") == ["w0"]
    bench.scheduler.hold_jobs({"a": HELD})
    bench.scheduler.cancel_job("a", bench.now)
    # Urgent work does not displace it either.
    bench.add(make_record("c", [make_step(1, 8)], priority=0))
    for _ in range(5):
        bench.step(0.5)
    assert bench.places("a") == ["w0"] and bench.places("c") == []
    placements = bench.scheduler.workers["w0"].placements.values()
    assert [one.stopping for one in placements] == [""]
    bench.end_all("a")
    bench.step(0.5)
    assert bench.state("a") == "running"
    assert bench.scheduler.take_dirty() == []
    release(bench, progress())
    assert bench.state("a") == "completed"
    bench.step(0.5)
    assert bench.places("c") == ["w0"]


# Ends beyond the 500 that a worker lists would not be known before the job is released.
def test_worker_whose_list_fills_up_behind_a_held_end_gets_no_new_work():
    bench = make_bench(2)
    bench.end_all("a")
    for number in range(400):
        bench.end("w0", f"z.0.0.{number}", 1)
    bench.add(make_record("b", [make_step(4, 4)]))
    bench.step(0.5).step(0.5)
    assert bench.places("b") == ["w1", "w1"]
    release(bench, progress())
    bench.step(0.5)
    assert bench.places("b") == ["w0", "w0", "w1", "w1"]
