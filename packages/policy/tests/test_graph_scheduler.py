"""Decisions of the graph scheduler under particular loads and faults."""

import pytest
from graph_bench import Bench, make_workers
from graph_builders import (
    make_facts,
    make_record,
    make_report,
    make_scheduler,
    make_step,
)

from samphiredeal.model import runs
from samphiredeal.model.graph import GraphSpec, validation_error
from samphiredeal.model.operations import AdviceTerms
from samphiredeal.model.runs import Refused, Running
from samphiredeal.policy.graphs import health, records
from samphiredeal.policy.graphs.state import COMPLETED, FAILED


def test_later_steps_wait_for_earlier_ones():
    bench = Bench(make_workers())
    bench.add(make_record("a", [make_step(2), make_step(1, after=(0,))]))
    bench.step()
    assert len(bench.places("a")) == 2
    bench.end_all("a")
    bench.step().step()
    assert [t for listed in bench.running.values() for t, _r in listed] == ["a.0.1.0"]
    bench.end_all("a")
    bench.step()
    assert bench.state("a") == COMPLETED


def test_gang_starts_completely_on_one_rack():
    bench = Bench(make_workers())
    bench.add(make_record("a", [make_step(3, 4, gang=True, one_rack=True)]))
    bench.step()
    places = bench.places("a")
    assert len(places) == 3
    assert len({bench.facts[name].labels[-1] for name in places}) == 1


def test_gang_waits_instead_of_starting_partially():
    bench = Bench(make_workers(2))
    bench.add(make_record("a", [make_step(1, 8)]))
    bench.step()
    bench.add(make_record("b", [make_step(2, 8, gang=True)]))
    bench.step(1.0)
    assert bench.places("b") == []
    bench.end_all("a")
    bench.step().step()
    assert len(bench.places("b")) == 2


def test_gang_is_stopped_when_a_member_is_lost():
    bench = Bench(make_workers(2))
    bench.add(make_record("a", [make_step(2, 8, gang=True)]))
    bench.step()
    bench.scheduler.mark_worker_failed("w0", "gone")
    bench.running["w0"].clear()
    bench.scheduler.mark_worker_unreachable("w0")
    del bench.facts["w0"]
    bench.step(0.1)
    assert bench.places("a") == []


def test_spread_limit_and_label_are_respected():
    workers = make_workers(3)
    workers["w2"] = make_facts("w2", labels=("big", "r9"))
    bench = Bench(workers)
    bench.add(
        make_record("a", [make_step(3, 1, spread_limit=1)]),
        make_record("b", [make_step(2, 1, label="big")]),
    )
    bench.step()
    assert bench.places("a") == ["w0", "w1", "w2"]
    assert bench.places("b") == ["w2", "w2"]


def test_urgent_work_in_a_full_cluster_preempts_checkpointing_work_first():
    bench = Bench(make_workers(2))
    bench.scheduler.guarantees = {"acct": 16}
    bench.add(
        make_record("plain", [make_step(1, 8)], account="other"),
        make_record("saves", [make_step(1, 8, checkpointing=True)], account="other"),
    )
    bench.step().step(0.1).step(5.0)
    bench.add(make_record("urgent", [make_step(1, 8)], priority=0))
    bench.step(0.1).step(0.1).step(0.1)
    assert len(bench.places("urgent")) == 1
    assert len(bench.places("plain")) == 1
    assert bench.places("saves") == []


def test_guaranteed_work_preempts_urgent_work_beyond_its_guarantee():
    bench = Bench(make_workers(2))
    bench.scheduler.guarantees = {"mine": 8}
    bench.add(
        *[
            make_record(f"b{n}", [make_step(1, 8)], priority=0, account="guest")
            for n in range(2)
        ]
    )
    bench.step().step(3.0)
    bench.add(make_record("a", [make_step(1, 8)], priority=0, account="mine"))
    bench.step(0.1).step(0.1).step(0.1)
    assert len(bench.places("a")) == 1


def test_urgent_work_beyond_its_guarantee_preempts_only_cheap_victims():
    bench = Bench(make_workers(1))
    bench.add(make_record("long", [make_step(1, 8, estimate_ms=60_000)]))
    bench.step().step(0.1).step(30.0)
    bench.add(make_record("u", [make_step(1, 8, estimate_ms=1000)], priority=0))
    bench.step(0.1).step(0.1)
    assert len(bench.places("long")) == 1


def test_wide_urgent_job_runs_in_waves_instead_of_preempting():
    """An urgent job wider than the cluster must not preempt all other work."""
    bench = Bench(make_workers(4))
    bench.add(make_record("long", [make_step(2, 8, estimate_ms=20_000)]))
    bench.step().step(0.1).step(1.0)
    bench.add(make_record("wide", [make_step(6, 8)], priority=0))
    bench.step(0.1).step(0.1)
    assert len(bench.places("long")) == 2
    assert len(bench.places("wide")) == 2


def test_wide_urgent_job_starts_one_wave_immediately():
    """The first wave must not wait until its latest start time."""
    bench = Bench(make_workers(8))
    bench.add(make_record("fill", [make_step(64, 1, checkpointing=True)]))
    bench.step().step(0.1).step(1.0)
    bench.add(make_record("wide", [make_step(6, 8)], priority=0))
    for _ in range(4):
        bench.step(0.1)
    assert len(bench.places("wide")) == 2


def test_claimed_capacity_is_not_used_by_other_units():
    bench = Bench(make_workers(1))
    bench.scheduler.guarantees = {"acct": 8}
    bench.add(make_record("long", [make_step(8, 1, checkpointing=True)]))
    bench.step().step(1.0)
    bench.add(make_record("urgent", [make_step(1, 8)], priority=0))
    bench.scheduler.plan(bench.now, 1000)
    bench.add(make_record("small", [make_step(1, 1)]))
    bench.step(0.1).step(0.1)
    assert len(bench.places("urgent")) == 1
    assert bench.places("small") == []


def test_failures_count_against_attempts_and_end_the_job():
    bench = Bench(make_workers())
    bench.add(make_record("a", max_attempts=2))
    bench.step()
    first = bench.places("a")
    bench.end_all("a", runs.FAILED)
    bench.step().step()
    assert bench.places("a") and bench.places("a") != first
    bench.end_all("a", runs.FAILED)
    bench.step()
    assert bench.state("a") == FAILED
    assert bench.places("a") == []


@pytest.mark.parametrize(
    "how", [runs.STOPPED, runs.LAPSED, runs.GANG_BROKEN, runs.GANG_INCOMPLETE]
)
def test_other_completions_cost_no_attempt(how):
    bench = Bench(make_workers())
    bench.add(make_record("a", max_attempts=1))
    for _ in range(3):
        bench.step().step()
        bench.end_all("a", how)
    bench.step().step()
    assert len(bench.places("a")) == 1


def test_refused_start_is_placed_again_without_an_attempt():
    bench = Bench(make_workers())
    bench.add(make_record("a", max_attempts=1))
    bench.step()
    (name,) = bench.places("a")
    bench.running[name].clear()
    bench.report(name, refused=(Refused("a.0.0.0", 1, runs.LEAVING),))
    bench.step()
    assert len(bench.places("a")) == 1


def test_worker_that_fails_several_jobs_is_avoided():
    bench = Bench(make_workers(2))
    bench.add(make_record("a"), make_record("b"))
    bench.step()
    unhealthy = bench.places("a")[0]
    for job in "ab":
        for task, run in list(bench.running[unhealthy]):
            if task.startswith(job):
                bench.end(unhealthy, task, run, runs.FAILED)
    bench.step().step()
    bench.add(*[make_record(f"c{n}") for n in range(3)])
    bench.step()
    assert unhealthy not in {name for n in range(3) for name in bench.places(f"c{n}")}


def test_last_attempt_waits_for_a_healthy_worker():
    """A worker on which every run fails must not use up a job's attempts."""
    bench = Bench(make_workers(2))
    bench.add(make_record("full", [make_step(1, 8)]))
    bench.step()
    (busy,) = bench.places("full")
    bench.add(make_record("a", [make_step(1, 8)], priority=0, max_attempts=2))
    bench.step()
    (unhealthy,) = bench.places("a")
    bench.end_all("a", runs.FAILED)
    bench.step().step(0.1)
    assert bench.places("a") in ([], [busy])
    bench.end_all("full")
    bench.step().step()
    assert bench.places("a") == [busy]


def test_job_that_always_fails_does_not_mark_every_worker_unhealthy():
    bench = Bench(make_workers(4))
    bench.add(make_record("p", max_attempts=4))
    for _ in range(4):
        bench.step().step()
        bench.end_all("p", runs.FAILED)
    bench.step()
    assert bench.state("p") == FAILED
    unhealthy = [
        w for w in bench.scheduler.workers.values() if health.failure_score(w) == 1.0
    ]
    assert len(unhealthy) == 1


def test_stalled_run_moves_only_after_enough_polls():
    bench = Bench(make_workers())
    bench.add(make_record("a"))
    bench.step()
    first = bench.places("a")
    for name in bench.facts:
        bench.percent[(name, "a.0.0.0")] = 5
    for _ in range(5):
        bench.poll_count -= 1
        bench.step(1.0)
    assert bench.places("a") == first
    for _ in range(6):
        bench.step(1.0)
    assert bench.places("a") != first


# An urgent 2 s run was restarted only after its worker had hung for 2.5 s, and ended
# late (inc-short, hunt-13e8-39, hunt-63b2-7).
def test_stalled_short_run_moves_while_it_can_end_in_time():
    bench = Bench(make_workers())
    bench.add(make_record("a", [make_step(estimate_ms=2000)], priority=0))
    bench.step()
    (first,) = bench.places("a")
    bench.percent[(first, "a.0.0.0")] = 0
    bench.step(0.3).step(0.3).step(0.3).step(0.05)
    assert bench.places("a") and bench.places("a") != [first]


def test_stalled_urgent_run_preempts_others_if_no_capacity_is_free():
    bench = Bench(make_workers(2))
    bench.add(make_record("b", [make_step(1, 8, estimate_ms=20_000)]))
    bench.step()
    (other,) = bench.places("b")
    bench.add(make_record("a", [make_step(1, 8, estimate_ms=2000)], priority=0))
    bench.step(0.1)
    (first,) = bench.places("a")
    bench.percent[(first, "a.0.0.0")] = 0
    for _ in range(5):
        bench.step(0.3)
    assert bench.places("a") == [other]


# Four runs with 12 s of work done were stopped 1.7 s into a stall, although their
# worker hung for 6 s only and then continued (inc-short, trouble-3).
@pytest.mark.parametrize(
    "percent, checkpointing, stalled_s, moves",
    [
        (60, False, 2.4, False),
        (60, False, 7.0, False),
        (60, False, 9.0, True),
        (10, False, 2.4, True),
        (60, True, 2.4, True),
    ],
)
def test_stalled_run_waits_for_its_worker_if_a_restart_would_take_longer(
    percent, checkpointing, stalled_s, moves
):
    bench = Bench(make_workers())
    step = make_step(estimate_ms=20_000, checkpointing=checkpointing)
    bench.add(make_record("a", [step]))
    bench.step()
    (first,) = bench.places("a")
    bench.percent[(first, "a.0.0.0")] = percent
    for _ in range(round(stalled_s / 0.3) + 2):
        bench.step(0.3)
    assert (bench.places("a") != [first]) is moves
    assert bench.scheduler.workers[first].stalled_at is not None


def test_slow_run_is_not_stalled():
    bench = Bench(make_workers())
    bench.add(make_record("a", [make_step(estimate_ms=2000)], priority=0))
    bench.step()
    (first,) = bench.places("a")
    for percent in range(1, 8):
        bench.percent[(first, "a.0.0.0")] = percent
        bench.step(0.3)
    assert bench.places("a") == [first]


def test_resumed_run_has_time_to_restore_its_checkpoint():
    bench = Bench(make_workers())
    step = make_step(estimate_ms=2000, checkpointing=True)
    bench.add(make_record("a", [step], priority=0))
    bench.step()
    (first,) = bench.places("a")
    bench.end(first, "a.0.0.0", 1, runs.STOPPED, "saved")
    bench.step(0.1)
    (second,) = bench.places("a")
    bench.percent[(second, "a.0.0.0")] = 50
    bench.step(0.3).step(0.3).step(0.3)
    assert bench.places("a") == [second]


def test_gang_whose_members_are_not_all_listed_is_not_stalled():
    bench = Bench(make_workers(2))
    step = make_step(2, 8, estimate_ms=2000, gang=True)
    bench.add(make_record("a", [step], priority=0))
    bench.step()
    missing = bench.running["w1"].popitem()
    for name in bench.facts:
        for index in range(2):
            bench.percent[(name, f"a.0.0.{index}")] = 0
    bench.step(0.3).step(0.3).step(0.3)
    assert not [w for w in bench.scheduler.workers.values() if w.stalled_at]
    bench.running["w1"][missing[0]] = missing[1]


def test_gang_stall_does_not_count_against_a_worker_whose_other_runs_progress():
    bench = Bench(make_workers(2))
    step = make_step(2, 4, estimate_ms=2000, gang=True, spread_limit=1)
    bench.add(make_record("a", [step], priority=0))
    bench.add(make_record("b", [make_step(2, 1, spread_limit=1)]))
    bench.step()
    for poll in range(5):
        for name in bench.facts:
            for task, _run in bench.running[name]:
                hung = task.startswith("a") or name == "w1"
                bench.percent[(name, task)] = 0 if hung else 10 * poll
        bench.step(0.3)
    workers = bench.scheduler.workers
    assert workers["w1"].stalled_at is not None and workers["w0"].stalled_at is None


# Right after a takeover urgent work was placed on a worker whose runs had been
# stalled for a while (inc-short, hunt-63b2-7).
def test_new_scheduler_detects_a_stall_from_the_first_report():
    bench = Bench(make_workers(2))
    bench.add(make_record("a", [make_step(estimate_ms=20_000)]))
    bench.step()
    (unhealthy,) = bench.places("a")
    ((task, run),) = bench.running[unhealthy]
    stalled = Running(task, run, "", 40, still_ms=2500, still_looks=5)
    bench.poll_count += 1
    report = make_report(
        bench.facts[unhealthy], running=(stalled,), looks=bench.poll_count
    )
    bench.scheduler.apply_report(unhealthy, report, bench.now)
    bench.scheduler.add_job(make_record("b", priority=0), None, bench.now)
    bench.scheduler.plan(bench.now, 0)
    assert bench.scheduler.workers[unhealthy].stalled_at is not None
    (unit,) = bench.scheduler.jobs["b"].units.values()
    assert [one.worker for one in unit.placements.values()] != [unhealthy]


# Right after a takeover all runs seemed to have just started, so those with the most
# work done were preempted as readily as others (inc-short, hunt-63b2-7 at 5.09 s).
@pytest.mark.parametrize("ahead", ["w0", "w1"])
def test_new_scheduler_preempts_the_run_with_the_least_work_done(ahead):
    bench = Bench(make_workers(2))
    step = make_step(1, 8, estimate_ms=20_000)
    bench.add(make_record("a", [step]), make_record("b", [step]))
    bench.step()
    successor = make_scheduler(bench.facts)
    for job_id, job in bench.scheduler.jobs.items():
        progress = records.progress_of(job)
        successor.add_job(make_record(job_id, [step]), progress, bench.now)
    bench.scheduler = successor
    for name in bench.facts:
        for task, _run in bench.running[name]:
            bench.percent[(name, task)] = 60 if name == ahead else 5
    bench.add(make_record("u", [make_step(1, 8)], priority=0))
    bench.step(0.1).step(0.1).step(0.1)
    assert bench.places("u") and bench.places("u") != [ahead]


def test_abnormally_slow_run_moves():
    bench = Bench(make_workers(4))
    bench.add(make_record("a", [make_step(4, 8, estimate_ms=20_000)]))
    bench.add(make_record("b", [make_step(4, 8, spread_limit=1)]))
    del bench.scheduler.jobs["b"]
    bench.facts["w4"] = make_facts("w4", "a", "r9")
    bench.running["w4"], bench.completions["w4"] = {}, []
    bench.scheduler.add_worker("w4", "a")
    bench.step()
    slow = bench.places("a")[0]
    for second in range(1, 8):
        for name in bench.running:
            for task, _run in bench.running[name]:
                rate = 1 if name == slow else 9
                bench.percent[(name, task)] = second * rate
        bench.step(1.0)
    assert slow not in bench.places("a")


def test_normal_speed_differences_between_siblings_are_tolerated():
    """Tasks of a step differ widely in speed on healthy workers."""
    bench = Bench(make_workers(5))
    bench.add(make_record("a", [make_step(4, 8, estimate_ms=20_000)]))
    bench.step()
    slow = bench.places("a")[0]
    for second in range(1, 8):
        for name in bench.running:
            for task, _run in bench.running[name]:
                rate = 2 if name == slow else 7
                bench.percent[(name, task)] = second * rate
        bench.step(1.0)
    assert slow in bench.places("a")


def test_checkpointing_run_moves_off_a_leaving_worker():
    bench = Bench(make_workers(2))
    bench.add(make_record("a", [make_step(1, 8, checkpointing=True)]))
    bench.step()
    (name,) = bench.places("a")
    bench.facts[name] = bench.facts[name]._replace(leaving=True, leaving_in_ms=2000)
    bench.step(0.1).step(0.1).step(0.1)
    assert bench.places("a") and bench.places("a") != [name]


def test_nothing_starts_in_a_zone_that_is_out():
    bench = Bench(make_workers())
    bench.scheduler.zones_out = frozenset("a")
    bench.add(make_record("a", [make_step(16, 1)]))
    bench.step()
    assert {bench.facts[name].zone for name in bench.places("a")} == {"b"}


def test_filling_work_avoids_workers_with_latency_targets():
    bench = Bench(make_workers(1))
    bench.add(make_record("s", [make_step(1, 1, target_latency_ms=50, lasting=True)]))
    bench.step()
    bench.add(make_record("f", [make_step(1, 0, fills=True)]))
    bench.step(1.0)
    assert bench.places("f") == []


def test_step_that_needs_tickets_starts_only_with_one():
    bench = Bench(make_workers(3))
    terms = AdviceTerms(0.1, 0.01, 3.0)
    bench.add(make_record("a", advice=terms))
    bench.step()
    assert bench.places("a") == []
    request = bench.scheduler.take_advice_request()
    assert request.step == "a.0.0" and len(request.worker_ids) == 3
    bench.scheduler.apply_advice(request, {"i-w2": "t"}, 3.0, bench.now)
    bench.step()
    assert bench.places("a") == ["w2"]
    assert bench.scheduler.take_advice_request() is None


def test_expired_ticket_is_requested_again_but_not_for_refused_workers():
    bench = Bench(make_workers(3))
    bench.add(make_record("a", [make_step(1, 8)], advice=AdviceTerms(0.1, 0.01, 1.0)))
    bench.step()
    request = bench.scheduler.take_advice_request()
    bench.scheduler.apply_advice(request, {"i-w2": "t"}, 1.0, bench.now)
    bench.step(2.0)
    assert bench.places("a") == []
    assert bench.scheduler.take_advice_request().worker_ids == ("i-w2",)


def test_lasting_work_is_restarted_after_any_completion():
    bench = Bench(make_workers())
    bench.add(make_record("a", [make_step(1, lasting=True)], max_attempts=1))
    for how in (runs.DONE, runs.FAILED, runs.LAPSED):
        bench.step().step()
        bench.end_all("a", how)
    bench.step().step()
    assert len(bench.places("a")) == 1


def test_repeated_job_starts_at_its_due_times():
    bench = Bench(make_workers())
    spec = GraphSpec("p", (make_step(),), 2, first_due_ms=1000, interval_ms=2000)
    bench.add(make_record("a", spec=spec))
    bench.step(0.5)
    assert bench.places("a") == []
    bench.step(0.6)
    assert len(bench.places("a")) == 1
    bench.step(2.0)
    assert len(bench.places("a")) == 2
    bench.end_all("a")
    bench.step()
    assert bench.state("a") == COMPLETED


def test_takeover_keeps_runs_and_completed_units():
    bench = Bench(make_workers())
    bench.add(make_record("a", [make_step(2), make_step(1, after=(0,))]))
    bench.step().step()
    (name, task) = next((n, t) for n, ls in bench.running.items() for t, _r in ls)
    bench.end(name, task, 1)
    bench.step()
    job = bench.scheduler.jobs["a"]
    stored = records.decode(records.encode(records.progress_of(job)), records.Progress)
    other = make_scheduler({})
    other.add_job(job.record, stored, 0.0)
    restored = other.jobs["a"]
    done = [unit.done for unit in restored.units.values() if unit.step == 0]
    assert sorted(done) == [False, True]
    assert sum(len(worker.placements) for worker in other.workers.values()) == 1


def test_last_completion_before_the_first_plan_of_a_term_completes_the_job():
    bench = Bench(make_workers())
    bench.add(make_record("a"))
    bench.step().step()
    job = bench.scheduler.jobs["a"]
    stored = records.progress_of(job)
    later = Bench(bench.facts)
    later.scheduler.add_job(job.record, stored, 0.0)
    (name,) = bench.places("a")
    later.end(name, "a.0.0.0", 1)
    later.step()
    assert later.state("a") == COMPLETED


# Guards against a gang that stays unfinished for ever: one member lists its end, which
# stands for all, before the first plan of a term, and the other's worker is lost then.
@pytest.mark.parametrize("is_lost_before_the_plan", [False, True])
def test_gang_ends_if_the_rest_of_it_is_lost_after_its_end(is_lost_before_the_plan):
    bench = Bench(make_workers())
    bench.add(make_record("a", [make_step(2, 8, gang=True)]))
    bench.step().step()
    job = bench.scheduler.jobs["a"]
    placed = list(job.units["0.0"].placements.values())
    later = Bench(bench.facts)
    later.scheduler.add_job(job.record, records.progress_of(job), 0.0)
    later.end(placed[0].worker, placed[0].task, 1)
    if not is_lost_before_the_plan:
        later.step()
    later.scheduler.mark_worker_failed(placed[1].worker, "lost")
    later.step()
    assert later.state("a") == COMPLETED


@pytest.mark.parametrize(
    "steps, field",
    [
        ([], "steps"),
        ([make_step(0)], "count"),
        ([make_step(after=(0,))], "after"),
        ([make_step(), make_step(after=(1,))], "after"),
        ([make_step(shape=(-1, 0, 0))], "shape"),
        ([make_step(20_000)], "steps"),
        ([make_step(spread_limit=-1)], "spread limit"),
    ],
)
def test_fault_names_the_field(steps, field):
    assert field in validation_error(GraphSpec("p", tuple(steps)))
