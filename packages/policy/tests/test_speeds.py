"""Estimates of the workers' speeds, from the progress of runs on them."""

import random

import pytest
from graph_builders import (
    make_facts,
    make_record,
    make_report,
    make_scheduler,
    make_step,
)

from samphiredeal.model.runs import Running
from samphiredeal.policy.graphs import measuring
from samphiredeal.policy.graphs.speeds import Belief, Sample, WorkerSpeeds

SPEEDS = {"slow": 0.8, "middle": 1.0, "fast": 1.25}


def learn(speeds, jobs, tasks_per_worker=2, seed=1, speed_of=SPEEDS):
    """Record jobs whose estimates are off by up to a half, alike for their tasks."""
    rng = random.Random(seed)
    for number in range(jobs):
        pace = rng.uniform(0.5, 1.5)
        for worker, speed in speed_of.items():
            for task in range(tasks_per_worker):
                rate = speed * pace * rng.uniform(0.85, 1.15)
                sample = Sample(10.0 * rate, 10.0, 0.1)
                speeds.record(worker, f"j{number}", f"{worker}{task}", 1, sample)
        for _ in range(5):
            for worker in speed_of:
                speeds.refresh(worker)


def test_worker_without_runs_counts_as_average():
    assert WorkerSpeeds().speed_of("w") == 1.0


def test_tasks_of_one_job_tell_its_workers_apart():
    speeds = WorkerSpeeds()
    learn(speeds, jobs=1, tasks_per_worker=4)
    assert speeds.speed_of("slow") < speeds.speed_of("middle")
    assert speeds.speed_of("middle") < speeds.speed_of("fast")


@pytest.mark.parametrize("seed", range(5))
def test_speeds_are_known_after_some_jobs_with_wrong_estimates(seed):
    speeds = WorkerSpeeds()
    learn(speeds, jobs=12, seed=seed)
    ratio = speeds.speed_of("fast") / speeds.speed_of("slow")
    assert 1.35 < ratio < 1.7


def test_estimate_of_one_job_says_little_of_its_only_worker():
    speeds = WorkerSpeeds()
    for task in range(10):
        speeds.record("w", "job", str(task), 1, Sample(5.0, 10.0, 0.1))
    speeds.refresh("w")
    assert 0.8 < speeds.speed_of("w") < 1.0
    assert speeds.pace_of("job") < 0.7


def test_what_ended_jobs_have_said_is_kept():
    speeds = WorkerSpeeds()
    learn(speeds, jobs=6)
    before = {worker: speeds.speed_of(worker) for worker in SPEEDS}
    for job in speeds.open_jobs:
        speeds.close_job(job)
    assert speeds.open_jobs == []
    for worker in SPEEDS:
        speeds.record(worker, "next", f"t{worker}", 1, Sample(1.0, 1.0, 0.19))
        speeds.refresh(worker)
        assert abs(speeds.speed_of(worker) - before[worker]) < 0.1


def test_short_slowness_hardly_changes_a_known_speed():
    speeds = WorkerSpeeds()
    learn(speeds, jobs=12)
    before = speeds.speed_of("fast")
    speeds.record("fast", "j0", "hung", 1, Sample(1.5, 10.0, 0.1))
    speeds.refresh("fast")
    assert speeds.speed_of("fast") > 0.95 * before


def test_exchanged_worker_is_learnt_again():
    speeds = WorkerSpeeds()
    speeds.restore("fast", Belief(0.22, 1e9))
    learn(speeds, jobs=40, speed_of={"fast": 0.8, "a": 1.0, "b": 1.0})
    assert speeds.speed_of("fast") < 0.95


def test_removed_worker_leaves_the_others_as_they_are():
    speeds = WorkerSpeeds()
    learn(speeds, jobs=6)
    before = speeds.speed_of("fast")
    speeds.forget_worker("slow")
    assert speeds.speed_of("slow") == 1.0
    assert abs(speeds.refresh("fast").speed - before) < 0.15


def test_belief_is_to_be_stored_once_it_has_changed():
    speeds = WorkerSpeeds()
    assert speeds.changed() == {}
    learn(speeds, jobs=6)
    assert set(speeds.changed()) == set(SPEEDS)
    speeds.mark_stored(speeds.changed())
    assert speeds.changed() == {}


def run_on_workers(speed_of, step, seconds=8.0, estimate_ms=10_000):
    """Let a scheduler see a job's tasks progress at the workers' speeds."""
    scheduler = make_scheduler({name: make_facts(name) for name in speed_of})
    step = make_step(accelerators=8, estimate_ms=estimate_ms, **step)
    scheduler.add_job(make_record(steps=[step]), None, 0.0)
    scheduler.plan(0.0, 0)
    at, looks = 0.0, 0
    while at < seconds:
        at, looks = at + 0.5, looks + 1
        for name, speed in speed_of.items():
            worker = scheduler.workers[name]
            percent = int(at * 1000 / estimate_ms * 100 * speed)
            running = tuple(
                Running(task, run, "", percent) for task, run in worker.placements
            )
            report = make_report(make_facts(name), looks=looks, running=running)
            scheduler.apply_report(name, report, at)
        scheduler.plan(at, round(at * 1000))
    return scheduler


def test_scheduler_learns_speeds_from_reported_progress_and_logs_them():
    scheduler = run_on_workers(SPEEDS, {"count": 3})
    known = {name: worker.speed for name, worker in scheduler.workers.items()}
    assert known["slow"] < 0.95 and known["fast"] > 1.05
    notes = [n for n in scheduler.take_log_entries() if n.event == "worker_speed"]
    assert {note.fields["worker"] for note in notes} == {"slow", "fast"}


# With a thousand workers an update of all of them would cost a tenth of a second.
def test_workers_are_updated_in_turn_within_a_bound():
    scheduler = make_scheduler({f"w{n}": make_facts(f"w{n}") for n in range(120)})
    step = make_step(120, accelerators=8, estimate_ms=60_000)
    scheduler.add_job(make_record(steps=[step]), None, 0.0)
    scheduler.plan(0.0, 0)
    limit, now, updated = measuring.RefreshLimit(), 100.0, []
    while now < 103.0:
        updated += limit.select(scheduler.workers.values(), now)
        for worker in updated[-60:]:
            worker.speed_due_at = max(worker.speed_due_at, now + 1.0)
        now += 0.1
    assert {worker.name for worker in updated} == set(scheduler.workers)
    assert len(updated) <= 200


# The members of a gang report the progress of the slowest one.
def test_members_of_a_spread_gang_say_nothing_of_their_workers():
    slowest = dict.fromkeys(SPEEDS, 0.5)
    scheduler = run_on_workers(slowest, {"count": 3, "gang": True})
    assert {worker.speed for worker in scheduler.workers.values()} == {1.0}


def test_placing_is_logged_with_the_speeds_that_decided():
    scheduler = run_on_workers(SPEEDS, {"count": 3}, seconds=0.0)
    placed = [n for n in scheduler.take_log_entries() if n.event == "unit_placed"]
    assert placed[0].fields["speeds"] == {"fast": 1.0}
    assert placed[0].fields["fastest"] == 1.0
