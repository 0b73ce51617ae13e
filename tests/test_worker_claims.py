"""Workers whose identity is in doubt, under a stream of short jobs.

Whatever a worker or another writer claims, and whatever its connections do, no task may
be at work twice at a time, and each worker that is up has to be used again.
"""

import pytest
from graph_builders import STEP
from graph_world import HEARTBEAT_S, check_invariants, make_graph_world

JOBS = 30
JOB_INTERVAL_S = 0.25
SHORT = {**STEP, "count": 2, "gpu": 2, "cpu": 2000, "mem-mb": 2000}
CLOCK_STEP_MS = 5000
# The start time of the first lives, above that of any that steps of the clock lead to.
FIRST_BORN_MS = 1_000_000


def hear(world, name, facts, sequence):
    """Deliver a heartbeat to the agent of a worker."""
    node = world.nodes[name]
    node.clock.run(node.process.run_manager.record_heartbeat, facts, sequence)


def begin_life(world, name, **fields):
    """End a worker's life, and begin another one with these facts changed."""
    worker = world.workers[name]
    facts = worker.facts._replace(**fields)
    worker.crash()
    worker.facts = facts
    hear(world, name, facts, 1)


def restart_with_an_earlier_start_time(world, name):
    facts = world.workers[name].facts
    begin_life(world, name, born_ms=facts.born_ms - CLOCK_STEP_MS)


def restart_under_another_id(world, name):
    facts = world.workers[name].facts
    step_ms = world.random.choice([-CLOCK_STEP_MS, 1, CLOCK_STEP_MS])
    begin_life(world, name, id=f"{facts.id}'", born_ms=facts.born_ms + step_ms)


def change_id(world, name):
    worker = world.workers[name]
    worker.facts = worker.facts._replace(id=f"{worker.facts.id}'")


def send_foreign_heartbeat(world, name):
    facts = world.workers[name].facts
    worker_id = world.random.choice([facts.id, "i-other"])
    step_ms = world.random.choice([-CLOCK_STEP_MS, CLOCK_STEP_MS])
    claimed = facts._replace(id=worker_id, born_ms=facts.born_ms + step_ms)
    hear(world, name, claimed, 10_000)


def refuse_connections(world, name):
    worker = world.workers[name]
    worker.faults.down = True

    def listen():
        worker.faults.down = False

    world.clock.callLater(world.random.uniform(0.05, 1.0), listen)


def make_world(seed):
    """Return a world whose workers' start times leave room for a step of the clock."""
    world = make_graph_world(seed=seed)
    for name in world.workers:
        begin_life(world, name, born_ms=FIRST_BORN_MS)
    world.run(2 * HEARTBEAT_S)
    return world


FAULTS = (
    restart_with_an_earlier_start_time,
    restart_under_another_id,
    change_id,
    send_foreign_heartbeat,
    refuse_connections,
)


def play(world, faults, late_s=0.0):
    """Submit jobs one after another with faults in between; run to the end.

    Until then workers carry out their orders `late_s` late, and leave them unanswered.
    """
    for worker in world.workers.values():
        worker.faults.late_s = late_s
    for number in range(JOBS):
        job_id = f"a{number:x}"
        assert world.submit("e0", job_id, [SHORT]).kind == "accepted"
        world.run(world.random.uniform(0.0, JOB_INTERVAL_S))
        if world.random.random() < 0.3:
            name = world.random.choice(sorted(world.workers))
            world.random.choice(faults)(world, name)
    for worker in world.workers.values():
        worker.faults.late_s = 0.0
    world.run(25.0)
    for number in range(JOBS):
        assert world.state("e1", f"a{number:x}") == "completed"


def assert_all_in_service(world):
    """Check that a job as wide as the cluster starts on all workers."""
    world.run(2 * HEARTBEAT_S)
    began_at = world.clock.seconds()
    step = {**STEP, "count": len(world.workers), "anti-affinity": 1}
    assert world.submit("e0", "b0", [step]).kind == "accepted"
    world.run(2.0)
    started = {e.worker for e in world.event_log.starts() if e.at > began_at}
    assert started == set(world.workers)


# Guards against TWICE and workers out of service (inc-worker-identity).
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_no_task_runs_twice_and_all_workers_stay_in_use(fault, seed):
    world = make_world(seed)
    play(world, [fault])
    check_invariants(world)
    assert_all_in_service(world)


# The same with all of them in turn, beside calls that are carried out late.
@pytest.mark.parametrize("seed", range(8))
def test_no_task_runs_twice_whatever_happens_to_the_identity_of_workers(seed):
    world = make_world(seed)
    play(world, FAULTS, late_s=0.2 * (seed % 2))
    check_invariants(world)
    assert_all_in_service(world)
