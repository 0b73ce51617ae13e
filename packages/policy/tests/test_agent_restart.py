"""Running work survives a restart of an agent beside its worker.

The restarted agent has no knowledge of its worker at first and reports none, or its
first poll of the worker is delayed. Neither says that the worker's runs have ended.
"""

from graph_bench import Bench, make_workers
from graph_builders import make_record, make_report, make_step

GANG_S = 10.0


def make_running_gang(members=3):
    """Return a bench on which a gang, one member a worker, has run for a while."""
    bench = Bench(make_workers(members))
    steps = [make_step(members, 8, gang=True, estimate_ms=60_000)]
    bench.add(make_record("a", steps))
    bench.step().step(0.1).step(GANG_S)
    assert len(bench.places("a")) == members
    return bench


def stopped_units(bench):
    entries = bench.scheduler.take_log_entries()
    return [note.fields["reason"] for note in entries if note.event == "unit_stopped"]


def plan_beside_restarted_agents(bench, names, seconds):
    """Advance the time; these agents report no worker, the others their runs."""
    bench.now += seconds
    bench.poll_count += 1
    for name in bench.facts:
        if name in names:
            bench.scheduler.apply_report(name, make_report(None), bench.now)
        else:
            bench.report(name)
    bench.scheduler.plan(bench.now, int(bench.now * 1000))
    return {name: bench.scheduler.orders_for(name, bench.now) for name in bench.facts}


def test_running_gang_is_kept_while_an_agent_restarts():
    bench = make_running_gang()
    for _ in range(3):
        orders = plan_beside_restarted_agents(bench, ["w0"], 0.5)
        assert all(one == ([], []) for one in orders.values())
    bench.step(0.1).step(5.0)
    assert stopped_units(bench) == []
    assert len(bench.places("a")) == 3


def test_running_gang_is_kept_while_all_agents_restart_in_turn():
    bench = make_running_gang()
    for name in ["w0", "w1", "w2", "w0"]:
        plan_beside_restarted_agents(bench, [name], 0.5)
        plan_beside_restarted_agents(bench, [name], 1.5)
        bench.step(0.1)
    bench.step(5.0)
    assert stopped_units(bench) == []
    assert len(bench.places("a")) == 3


def test_running_gang_is_kept_if_a_new_scheduler_takes_over_beside_the_restart():
    bench = make_running_gang()
    job = bench.scheduler.jobs["a"]
    placements = list(job.units["0.0"].placements.values())
    for placement in placements:
        # A new scheduler knows the placements, but not what was sent or listed.
        placement.status, placement.sent_at = "ordered", None
        placement.running_since = None
    plan_beside_restarted_agents(bench, ["w0"], 0.5)
    plan_beside_restarted_agents(bench, ["w0"], 3.0)
    bench.step(0.1).step(5.0)
    assert stopped_units(bench) == []
    assert len(bench.places("a")) == 3


def test_gang_that_ran_whole_is_not_judged_by_its_start():
    """A listed run that a poll omits is ordered again; its gang is not stopped."""
    bench = make_running_gang()
    run = next(iter(bench.running["w0"]))
    begun_at = bench.running["w0"].pop(run)
    bench.step(0.1)
    bench.running["w0"][run] = begun_at
    bench.step(0.1).step(5.0)
    assert stopped_units(bench) == []
    assert len(bench.places("a")) == 3


def test_gang_that_never_was_complete_is_still_stopped():
    bench = Bench(make_workers(2))
    bench.add(make_record("a", [make_step(2, 8, gang=True)]))
    bench.step()
    for _ in range(8):
        bench.running["w1"].clear()
        bench.now += 0.5
        for name in bench.facts:
            bench.report(name)
        bench.scheduler.plan(bench.now, int(bench.now * 1000))
        bench.scheduler.orders_for("w1", bench.now)
    assert stopped_units(bench) == ["its gang did not start as a whole"]


def test_no_order_is_sent_to_an_agent_that_knows_no_worker():
    """The agent would ignore it, and the scheduler wait for its effect."""
    bench = Bench(make_workers(1))
    bench.add(make_record("a"))
    bench.scheduler.plan(0.0, 0)
    for job in bench.scheduler.take_dirty():
        for unit in job.units.values():
            for placement in unit.placements.values():
                placement.committed = True
    bench.scheduler.apply_report("w0", make_report(None), 0.1)
    assert bench.scheduler.orders_for("w0", 0.1) == ([], [])
    bench.step(0.2)
    assert bench.places("a") == ["w0"]


def test_run_that_a_cut_list_leaves_out_is_not_ordered_again():
    """It may be among the completions that the worker did not list."""
    bench = make_running_gang()
    bench.running["w0"].clear()
    bench.now += 0.5
    bench.report("w0", complete=False)
    bench.scheduler.plan(bench.now, int(bench.now * 1000))
    assert bench.scheduler.orders_for("w0", bench.now) == ([], [])
    bench.report("w0")
    assert bench.scheduler.orders_for("w0", bench.now)[0]
