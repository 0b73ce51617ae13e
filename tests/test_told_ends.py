"""Ends that callers were told of, and what is lost after that.

The pattern: the store is silent for all; a task ends; its job is shown as completed, or
it is not. Then the worker is lost, and entries with it, at once or one after another,
and start again in the silence or after it. Whatever is lost, a task of a job that was
shown as completed must not start again, and no caller may be told something else.
"""

import pytest
from graph_world import check_invariants, make_graph_world, set_store_silent
from outside_view import OutsideView

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}
ENTRIES = ("e0", "e1", "e2")
TASK = "a1.0.0.0"
# Long enough for a lost worker's lease to expire and its task to run again.
SETTLE_S = 22.0


def make_world_with_end():
    """Return (world, view, worker): its task of a1 has ended in a silent store."""
    world = make_graph_world()
    world.submit("e0", "a1", [STEP])
    world.run_until(lambda: world.event_log.starts(TASK), 5.0)
    view = OutsideView(world, ["a1"])
    set_store_silent(world, True)
    world.run_until(lambda: len(world.event_log.events) > 1, 3.0)
    world.run(0.8)
    return world, view, world.event_log.starts(TASK)[0].worker


def in_order(world, which):
    """Return the entries to restart: the scheduler is the first of all."""
    scheduler = world.scheduler()
    holders = [name for name in ENTRIES if name != scheduler]
    return {
        "none": [],
        "the scheduler": [scheduler],
        "the scheduler and a holder": [scheduler, holders[0]],
        "the holders, then the scheduler": [*holders, scheduler],
        "all": list(ENTRIES),
    }[which]


def restart_all(world, names, gap_s, down_s):
    """Kill processes one after another; start each again after `down_s`."""
    for name in names:
        world.kill(name)
        world.clock.callLater(down_s, world.restart, name)
        world.run(gap_s)


def end_silence(world, view):
    """Let the store answer again and all settle; check what was seen from outside."""
    set_store_silent(world, False)
    world.run(SETTLE_S)
    check_invariants(world)
    assert view.violations() == []
    assert view.unfinished() == []


# Guards against a start after `completed` was told by entries that still know the end,
# while the scheduler that takes over does not (inc-twice: a scheduler that restarts
# takes the role back at once).
@pytest.mark.parametrize("restarts_in", ["the silence", "the return"])
@pytest.mark.parametrize("seed", range(3))
def test_told_end_outlasts_its_worker_and_a_restart_of_the_scheduler(restarts_in, seed):
    world, view, worker = make_world_with_end()
    world.run(0.07 * seed)
    world.kill(worker)
    world.lose_worker(worker)
    restart_all(world, in_order(world, "the scheduler"), 0.0, 0.4)
    world.run(2.0 if restarts_in == "the silence" else 0.3)
    end_silence(world, view)


# Guards against a start after `completed` was told by processes that are all lost
# before the store is back (inc-twice; power loss of all VMs).
@pytest.mark.parametrize("gap_s", [0.0, 0.2])
@pytest.mark.parametrize(
    "which",
    [
        "none",
        "the scheduler and a holder",
        "the holders, then the scheduler",
        "all",
    ],
)
def test_told_end_outlasts_its_worker_and_entries_that_restart(which, gap_s):
    world, view, worker = make_world_with_end()
    world.kill(worker)
    world.lose_worker(worker)
    restart_all(world, in_order(world, which), gap_s, 0.4)
    world.run(1.5)
    end_silence(world, view)


def test_told_end_outlasts_a_loss_of_all_vms():
    world, view, worker = make_world_with_end()
    world.lose_worker(worker)
    restart_all(world, list(world.nodes), 0.0, 1.0)
    world.clock.callLater(1.0, world.return_worker, worker)
    world.run(1.5)
    end_silence(world, view)


# Guards against entries that tell callers different things of one job for longer than
# rows may be out of date.
def test_entries_do_not_contradict_each_other_after_a_restart_in_the_silence():
    world, view, worker = make_world_with_end()
    world.kill(worker)
    world.lose_worker(worker)
    restart_all(world, in_order(world, "the scheduler"), 0.0, 0.4)
    world.run(1.5)
    set_store_silent(world, False)
    world.run(SETTLE_S)
    assert view._contradictions() == []
    assert view._states_that_fall_back() == []


# The worker lists its end until it is recorded, so a loss of all entries alone starts
# nothing again.
def test_end_outlasts_all_entries_while_its_worker_lives():
    world, view, _worker = make_world_with_end()
    restart_all(world, list(ENTRIES), 0.0, 0.4)
    world.run(1.5)
    end_silence(world, view)
    assert len(world.event_log.starts(TASK)) == 1


# Guards against a loss after the telling: the end is stored and told at the return, and
# then the worker and all entries are lost, while other processes may not know of it.
@pytest.mark.parametrize("lost", ["the entries", "the entries and the agent", "all"])
@pytest.mark.parametrize("later_s", [0.0, 0.1, 0.2, 0.3, 0.5, 1.0])
def test_losses_around_the_telling_start_nothing_after_it(later_s, lost):
    world, view, worker = make_world_with_end()
    world.run(1.7)
    set_store_silent(world, False)
    world.run(later_s)
    names = {"the entries": [], "the entries and the agent": [worker]}
    told_at = view.first_told("a1", "completed")
    world.lose_worker(worker)
    world.clock.callLater(9.0, world.return_worker, worker)
    restart_all(world, names.get(lost, list(world.workers)) + list(ENTRIES), 0.0, 0.6)
    end_silence(world, view)
    starts = world.event_log.starts(TASK)
    assert len(starts) == 1 or told_at is None
    assert later_s < 0.5 or told_at is not None
