"""The benchmark of the scheduler's decisions: ``make bench``.

Runs the scheduler and the baseline on seeded arrivals in simulated time. The exit
status is 1 if a bound is broken. The bounds come from the requirements and the
target size: urgent work starts within 5.7 s, scheduling takes at most 4.8% of a
core, and no decision blocks the reactor for more than 50 ms.
"""

import cProfile
import math
import pstats
import statistics
import sys
import time

from bench import load
from bench.baseline import BaselineScheduler
from bench.drive import Simulation
from bench.figures import AT_LEAST, Figure, report
from samphiredeal.model.configuration import Configuration
from samphiredeal.model.job import Job
from samphiredeal.model.shape import Shape
from samphiredeal.policy.scheduler import Scheduler

SEEDS = range(4)
KINDS = (load.INTERACTIVE, load.SMALL, load.GANG)
URGENT_START_S = 5.7
CPU_SHARE = 0.048
DECISION_MS = 50.0
ZONE_OUT_S = 1800.0
TARGET_HOURS = 6.0
TASKS_PER_WORKER = 7
SIZES = (100, 300, 1100, 3300)


def simulate(deployment, seed, scheduler):
    """Simulate a deployment with a zone taken out at half time and back in later."""
    arrivals = deployment.make_arrivals(seed)
    simulation = Simulation(
        scheduler, deployment.workers, deployment.accounts, arrivals
    )
    half = deployment.hours * 1800
    simulation.schedule(half, simulation.set_zone, deployment.zone, "out")
    simulation.schedule(half + ZONE_OUT_S, simulation.set_zone, deployment.zone, "in")
    simulation.run(half * 6)
    return simulation


def measures(simulation, half):
    """Return the measures of a simulation by name."""
    values = {}
    for kind in KINDS:
        completions = sorted(
            e.completion_s for e in simulation.finished_jobs if e.kind == kind
        )
        values[f"completion_mean_s.{kind}"] = statistics.mean(completions)
        values[f"completion_p95_s.{kind}"] = completions[int(0.95 * len(completions))]
    values["large_gang_wait_max_s"] = max(
        e.wait_s for e in simulation.finished_jobs if e.kind == load.GANG
    )
    total = sum(seconds for seconds, _ in simulation.fragmentation)
    values["fragmentation"] = (
        sum(seconds * share for seconds, share in simulation.fragmentation) / total
    )
    values["zone_episode_useful_accel_s"] = simulation.useful_between(
        half, half + ZONE_OUT_S + 60
    )
    values["lost_work_accel_s"] = simulation.lost_accel_s
    urgent = [
        wait_s
        for job, wait_s in simulation.first_starts
        if job.klass == "urgent" and job.id in simulation.submitted_within_guarantee
    ]
    values["urgent_start_max_s"] = max(urgent, default=0.0)
    return values


def deployment_figures(deployment):
    """Return the figures of a present deployment, compared with the baseline."""
    half = deployment.hours * 1800
    measured = [measures(simulate(deployment, s, Scheduler()), half) for s in SEEDS]
    baseline_measured = [
        measures(simulate(deployment, s, BaselineScheduler()), half) for s in SEEDS
    ]
    figures = []
    for name in measured[0]:
        values = [values_of_seed[name] for values_of_seed in measured]
        summary = max if "max" in name else statistics.mean
        unit = "share" if name == "fragmentation" else "s"
        bound = URGENT_START_S if name == "urgent_start_max_s" else None
        baseline = summary(
            [values_of_seed[name] for values_of_seed in baseline_measured]
        )
        figures.append(
            Figure(
                f"{deployment.name}.{name}",
                unit,
                summary(values),
                None if bound else baseline,
                bound,
                AT_LEAST if "useful" in name else "at_most",
            )
        )
        spread = max(values) - min(values)
        figures.append(Figure(f"{deployment.name}.{name}.spread", unit, spread))
    return figures


def full_cluster(count):
    """Return (simulation of a full cluster, its workers); every worker runs tasks."""
    workers = load.target_workers(count)
    simulation = Simulation(Scheduler(), workers, load.target_accounts(workers), [])
    number = 0
    for worker in workers:
        accelerators = worker.capacity.accelerators
        for _ in range(accelerators or TASKS_PER_WORKER):
            size = 1 if accelerators else 0
            job = Job(
                f"fill{number}",
                f"team-{number % 92:02d}",
                Shape(7500, 7500, size),
                kind=load.SMALL,
            )
            _submit(simulation, job)
            number += 1
    simulation.decide()
    return simulation, workers


def _submit(simulation, job, run_s=1e9):
    simulation._run_s[job.id] = run_s
    simulation._arrived_at[job.id] = simulation.now
    simulation._kinds[job.id] = job.kind
    simulation.scheduler.submit(job, simulation.now)


def worst_decisions():
    """Return figures of the most expensive single decisions at the target size."""
    simulation, workers = full_cluster(1100)
    figures = [Figure("target.running_tasks", "count", len(simulation._running))]

    def timed(name, action):
        simulation.decision_s.clear()
        started = time.perf_counter()
        action()
        simulation.decide()
        took_ms = (time.perf_counter() - started) * 1000
        figures.append(Figure(f"target.{name}_ms", "ms", took_ms, bound=DECISION_MS))

    gang = Job(
        "gang128", "team-00", Shape(1000, 1000, 1), 128, adjacency="any", kind="gang"
    )
    timed("gang_of_128_into_full", lambda: _submit(simulation, gang))
    assert gang.id not in {r.job.id for r in simulation._running.values()}, (
        "cluster is full"
    )
    simulation.now = 1000.0
    timed("reservation_for_gang_of_128", lambda: None)
    wave = [
        Job(f"w{n}", "team-01", Shape(1000, 1, 8), kind="small") for n in range(1000)
    ]
    for job in wave:
        _submit(simulation, job)
    simulation.decide()

    def cancel_all():
        for job in wave:
            simulation.scheduler.cancel(job.id)

    timed("wave_of_1000_cancellations", cancel_all)
    failed = [worker.name for worker in workers if worker.zone == "z0"]

    def fail_zone():
        for name in failed:
            simulation.scheduler.worker_lost(name)

    timed("zone_of_220_lost", fail_zone)
    zones = {"z1": {"state": "out"}}
    accounts = simulation._configuration.accounts
    timed(
        "zone_of_220_out",
        lambda: simulation.scheduler.configure(
            Configuration(9, accounts, zones), simulation.now
        ),
    )
    return figures


def target_day():
    """Return figures of some hours at the event rate of the target size."""
    workers = load.target_workers()
    arrivals = load.target_arrivals(1)
    simulation = Simulation(
        Scheduler(), workers, load.target_accounts(workers), arrivals
    )
    simulation._record_fragmentation = lambda until: None
    started = time.process_time()
    simulation.run(TARGET_HOURS * 3600)
    cpu_s = time.process_time() - started
    for change in range(round(820 * TARGET_HOURS / 24)):
        started = time.process_time()
        state = "in" if change % 2 else "out"
        simulation.set_zone("z9", state)
        simulation.decide()
        cpu_s += time.process_time() - started
    share = cpu_s / (TARGET_HOURS * 3600)
    worst_ms = max(simulation.decision_s) * 1000
    return [
        Figure("target.decide_cpu_share", "share", share, bound=CPU_SHARE),
        Figure("target.worst_decision_ms", "ms", worst_ms, bound=DECISION_MS),
        Figure("target.decisions", "count", len(simulation.decision_s)),
    ]


def calls_per_event(count):
    """Return the function calls per completion or start in a full cluster."""
    simulation, _workers = full_cluster(count)
    ids = list(simulation._running)[:20]
    profile = cProfile.Profile()
    profile.enable()
    for number, attempt_id in enumerate(ids):
        job = simulation._running[attempt_id].job._replace(id=f"next{number}")
        simulation._complete_attempt(attempt_id)
        simulation.decide()
        _submit(simulation, job)
        simulation.decide()
    profile.disable()
    return pstats.Stats(profile).total_calls / (2 * len(ids))


def cost_against_size():
    """Return figures of the calls per event by the number of workers."""
    calls = [calls_per_event(count) for count in SIZES]
    exponent = math.log(calls[-1] / calls[0]) / math.log(SIZES[-1] / SIZES[0])
    figures = [
        Figure(f"cost.calls_per_event.{count}", "calls", value)
        for count, value in zip(SIZES, calls, strict=True)
    ]
    return [*figures, Figure("cost.exponent", "", exponent, bound=0.5)]


def main():
    """Run all benchmarks; return the exit status."""
    figures = []
    for deployment in (load.hanbit(), load.tidewater()):
        figures += deployment_figures(deployment)
    figures += worst_decisions()
    figures += target_day()
    figures += cost_against_size()
    return report(figures)


if __name__ == "__main__":
    sys.exit(main())
