"""Workers that start again, and lost answers, under a stream of short jobs.

No task may be at work twice at a time, nor be started after its end was recorded,
whatever the moment at which a worker starts again or an answer is lost.
"""

import pytest
from graph_builders import STEP
from graph_world import HEARTBEAT_S, check_invariants, make_graph_world

from samphiredeal.model import runs

JOBS = 30
JOB_INTERVAL_S = 0.25
SHORT = {**STEP, "count": 2, "gpu": 2, "cpu": 2000, "mem-mb": 2000}


def starts_after_done(world):
    """Return the starts of tasks of which a run had ended as done before."""
    done, found = set(), []
    for event in world.event_log.events:
        if event.kind == "start" and event.task in done:
            found.append(event)
        elif event.kind == "end" and event.how == runs.DONE:
            done.add(event.task)
    return found


def play(world, disturb, work_ms=1000):
    """Submit jobs one after another, calling `disturb()` in between; run to the end."""
    step = {**SHORT, "estimated-ms": work_ms}
    for number in range(JOBS):
        assert world.submit("e0", f"a{number:x}", [step]).kind == "accepted"
        world.run(world.random.uniform(0.0, JOB_INTERVAL_S))
        disturb()
    world.run(25.0)
    for number in range(JOBS):
        assert world.state("e1", f"a{number:x}") == "completed"


def restart_at_once(world, name):
    """End a worker, and start it again after 0.05 s; its heartbeat comes later."""
    worker = world.workers[name]
    worker.crash()
    worker.faults.down = True

    def start():
        worker.faults.down = False
        delay_s = world.random.uniform(0.0, 0.25)
        world.clock.callLater(delay_s, send_heartbeat)

    def send_heartbeat():
        node = world.nodes[name]
        node.clock.run(node.process.run_manager.record_heartbeat, worker.facts, 1)

    world.clock.callLater(0.05, start)


# Guards against TWICE (inc-agent-evidence): a start meant for an earlier incarnation of
# a worker ran in the next one, and again elsewhere.
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("late_s", [0.0, 0.2])
def test_no_task_runs_twice_while_workers_start_again(late_s, seed):
    world = make_graph_world(seed=seed)
    for worker in world.workers.values():
        worker.faults.late_s = late_s

    def disturb():
        starts = world.event_log.starts()
        if starts and world.random.random() < 0.3:
            restart_at_once(world, starts[-1].worker)

    play(world, disturb)
    check_invariants(world)


# The same, with other schedulers and agents that know nothing of what was in flight.
@pytest.mark.parametrize("seed", range(6))
def test_no_task_runs_twice_while_workers_schedulers_and_agents_restart(seed):
    world = make_graph_world(seed=seed)

    def disturb():
        draw = world.random.random()
        name = world.random.choice(sorted(world.workers))
        if draw < 0.2:
            restart_at_once(world, name)
        elif draw < 0.27:
            world.kill(name)
            world.clock.callLater(0.4, world.add_agent, name)
        elif draw < 0.32 and world.scheduler() not in (None, "e0"):
            killed = world.scheduler()
            world.kill(killed)
            world.clock.callLater(1.0, world.add_entry, killed)

    play(world, disturb)
    check_invariants(world)


# Guards against TWICE (inc-old-run): the refusal of a start's second try counted as
# proof that the run had never begun, although it had ended.
@pytest.mark.parametrize("seed", range(6))
def test_no_task_starts_again_after_its_end_if_answers_are_lost(seed):
    world = make_graph_world(seed=seed)

    def disturb():
        for worker in world.workers.values():
            if world.random.random() < 0.3:
                worker.faults.lose_answers = 1
                worker.faults.lose_polls = world.random.randint(1, 4)

    play(world, disturb, work_ms=300)
    assert starts_after_done(world) == []
    check_invariants(world)


# What the proof costs: the task of a worker that starts again at once is restarted
# soon after the worker's first heartbeat.
def test_task_is_restarted_soon_after_its_worker_started_again():
    world = make_graph_world()
    world.submit("e0", "a1", [{**STEP, "count": 1, "estimated-ms": 8000}])
    world.run(1.5)
    (first,) = world.event_log.starts()
    world.workers[first.worker].crash()
    world.run_until(lambda: len(world.event_log.starts()) == 2, HEARTBEAT_S + 0.5)
    check_invariants(world)
