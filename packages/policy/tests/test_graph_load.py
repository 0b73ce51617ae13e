"""Decisions of the graph scheduler under particular load patterns."""

from graph_bench import Bench
from graph_builders import make_facts, make_record, make_step

from samphiredeal.policy.graphs.waiting import FOR_CAPACITY, FOR_PREFERRED_CAPACITY


def make_racks(racks=2, per_rack=2):
    """Return workers of eight accelerators, labelled by their position in the rack."""
    return {
        f"w{n}": make_facts(
            f"w{n}", labels=("kind", f"place{n % per_rack}", f"r{n // per_rack}")
        )
        for n in range(racks * per_rack)
    }


def test_one_rack_gang_waits_while_all_racks_are_busy():
    """A gang split over racks would take three times as long, so it waits first."""
    bench = Bench(make_racks())
    fill = make_step(2, 8, label="place0", estimate_ms=30_000)
    bench.add(make_record("fill", [fill], priority=0))
    bench.step()
    assert bench.places("fill") == ["w0", "w2"]
    gang = make_step(2, 8, gang=True, one_rack=True, estimate_ms=5000)
    bench.add(make_record("gang", [gang], priority=0))
    bench.step(0.1).step(0.9).step(4.0).step(4.0)
    assert bench.places("gang") == []
    bench.step(2.0).step(0.1)
    assert bench.places("gang") == ["w1", "w3"]


def test_task_waits_for_the_busy_rack_with_its_data():
    """A task away from its data takes three times as long, so it waits first."""
    bench = Bench(make_racks())
    bench.add(make_record("fill", [make_step(2, 6, data_rack="r0")], priority=0))
    bench.step()
    assert bench.places("fill") == ["w0", "w1"]
    bench.add(make_record("near", [make_step(1, 8, data_rack="r0")]))
    bench.step(0.1).step(1.0)
    assert bench.places("near") == []
    bench.end_all("fill")
    bench.step(0.1).step(0.1)
    assert bench.places("near")[0] in ("w0", "w1")


def test_task_waits_only_briefly_for_its_rack_on_an_idle_cluster():
    """Work must not wait long for its best place if most of the cluster is idle."""
    bench = Bench(make_racks(4))
    bench.add(make_record("fill", [make_step(2, 8, data_rack="r0")], priority=0))
    bench.step()
    step = make_step(1, 8, data_rack="r0", estimate_ms=30_000)
    bench.add(make_record("near", [step]))
    bench.step(0.1).step(1.4)
    assert bench.places("near") == []
    bench.step(0.3).step(0.1)
    assert len(bench.places("near")) == 1


def test_small_tasks_leave_headroom_for_the_next_urgent_gang():
    """Small tasks leave the capacity that recent urgent gangs needed."""
    bench = Bench(make_racks(4))
    gang = make_step(1, 8, gang=True, estimate_ms=5000)
    bench.add(make_record("first", [gang], priority=0))
    bench.step()
    bench.end_all("first")
    bench.step(0.1)
    bench.add(make_record("small", [make_step(64, 1, estimate_ms=20_000)]))
    bench.step(0.1).step(0.1)
    assert len(bench.places("small")) == 64 - 16
    bench.add(make_record("next", [gang], priority=0))
    bench.step(0.1)
    assert len(bench.places("next")) == 1
    assert len(bench.places("small")) == 64 - 16


def test_small_tasks_short_of_time_use_the_headroom():
    bench = Bench(make_racks(4))
    gang = make_step(1, 8, gang=True, estimate_ms=5000)
    bench.add(make_record("first", [gang], priority=0))
    bench.step()
    bench.end_all("first")
    step = make_step(64, 1, estimate_ms=20_000)
    bench.add(make_record("small", [step], stretch=0.25, target_latency_ms=8000))
    bench.step(0.1).step(0.1)
    assert len(bench.places("small")) == 64 - 16
    bench.step(2.0).step(0.1)
    assert len(bench.places("small")) == 64


def test_no_headroom_is_kept_without_urgent_work():
    bench = Bench(make_racks(4))
    bench.add(make_record("small", [make_step(64, 1, estimate_ms=20_000)]))
    bench.step(0.1)
    assert len(bench.places("small")) == 64


def test_each_reason_to_wait_is_logged_once_for_a_step():
    bench = Bench(make_racks())
    bench.add(make_record("fill", [make_step(4, 8)], priority=0))
    bench.step()
    bench.scheduler.take_log_entries()
    bench.add(make_record("many", [make_step(30, 1)]))
    bench.add(make_record("near", [make_step(1, 1, data_rack="r0")]))
    for _ in range(5):
        bench.step(0.1)
    waits = [
        (note.fields["job"], note.fields["reason"])
        for note in bench.scheduler.take_log_entries()
        if note.event == "unit_waits"
    ]
    assert sorted(waits) == [("many", FOR_CAPACITY), ("near", FOR_PREFERRED_CAPACITY)]
