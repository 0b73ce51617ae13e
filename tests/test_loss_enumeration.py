"""Losses around the end of a task in a silent store, enumerated by machine.

Guards against states that callers are told by processes which are lost before the
store has them (inc-twice): the store is silent for all, a task ends, an entry tells
`completed` from memory, the scheduler restarts or all processes are lost with the
worker before the store is back, and the task starts again. The plays are those of
`loss_enumeration.py`, which runs some thousand more by hand; a name reproduces a play.
"""

import pytest
from loss_enumeration import (
    EFFECTS,
    MOMENTS,
    SILENCES,
    TARGETS,
    WORKLOADS,
    draw_plays,
    losses,
    name_of,
    parse_play,
    plays,
    run_play,
)

# Plays that broke an invariant on the code that told ends from memory.
FOUND = [
    "one,short,0,all:restart_in_silence:silent",
    "one,long,0,all:restart_in_silence:silent",
    "one,short,0,all:restart_after:silent",
    "one,long,0,all:restart_after:return",
    "one,short,0,all_vms:restart_in_silence:silent",
    "one,short,0,all_vms:restart_after:silent",
    "one,long,0,all_vms:restart_after:return",
    "gang,long,0,all_vms:restart_after:silent",
    "one,short,0.2,scheduler:restart_in_silence:silent,worker:kill:silent",
    "one,short,0.2,agent:pause:silent,scheduler:restart_in_silence:silent",
    "submit,short,0.2,holder1:restart_in_silence:silent,scheduler:cut_store:silent",
]
# A gang that stays running for ever, whatever is told: a member is done before the
# first plan of a new scheduler, and the worker of another one is lost.
GANG_NOT_CLOSED = [
    "gang,short,0,scheduler:restart_after:before,vm:kill:silent",
    "gang,long,0,scheduler:cut_store:silent,worker:kill:after",
    "gang,long,0,agent:kill:before,scheduler:cut_store:return",
]
# With those above, each target, effect, moment, workload and silence.
OTHERS = [
    "one,long,0,worker:pause:before",
    "steps,short,0,vm:restart_after:ended",
    "steps,long,0,agent:cut_nodes:silent",
    "steps,short,0.2,holder1:kill:silent,scheduler:kill:silent",
    "gang,short,0,worker:restart_after:before",
    "gang,short,0,scheduler:cut_nodes:ended",
    "cancel_before,short,0,scheduler:restart_in_silence:before",
    "cancel_before,long,0,agent:kill:before,scheduler:pause:silent",
    "cancel,short,0,all:restart_in_silence:silent",
    "cancel,long,0.2,scheduler:kill:after,vm:kill:after",
    "submit,short,0,scheduler:kill:return",
    "submit,long,0,all:restart_after:ended",
    "give_up,short,0,all:cut_nodes:ended",
    "give_up,long,0,scheduler:pause:ended,holder1:kill:silent",
    "one,short,0,scheduler:restart_after:ended,holder1:pause:silent,holder2:kill:return",
    "one,short,0.2,holder1:kill:silent,holder2:pause:silent,worker:kill:silent",
    "steps,long,0.2,agent:restart_after:ended,scheduler:cut_nodes:ended,all:pause:return",
]
FIXED = [*FOUND, *GANG_NOT_CLOSED, *OTHERS]


@pytest.mark.parametrize("name", FIXED)
def test_losses_break_nothing_that_callers_see(name):
    violations = run_play(name)
    assert not violations, f"{name}: {violations}"


def test_fixed_plays_cover_targets_effects_moments_and_workloads():
    fixed = [parse_play(name) for name in FIXED]
    covered = [loss for play in fixed for loss in play.losses]
    assert {loss.target for loss in covered} == set(TARGETS)
    assert {loss.effect for loss in covered} == set(EFFECTS)
    assert {loss.moment for loss in covered} == set(MOMENTS)
    assert {play.workload for play in fixed} == set(WORKLOADS)
    assert {play.silence for play in fixed} == set(SILENCES)
    assert {len(play.losses) for play in fixed} == {1, 2, 3}


def test_losses_are_the_product_without_those_that_make_no_sense():
    # Of 8 * 6 * 5: 2 targets are never lost for good (10), 8 are not restarted in a
    # silence that is over (16) nor paused across a return that is over (8), and 3 are
    # not cut off (30).
    assert len(losses()) == len(set(losses())) == 240 - 10 - 16 - 8 - 30
    assert {loss.target for loss in losses()} == set(TARGETS)
    assert {loss.effect for loss in losses()} == set(EFFECTS)
    assert {loss.moment for loss in losses()} == set(MOMENTS)


def test_all_single_losses_are_played_with_each_workload_and_silence():
    # The second holder is lost only beside the first.
    single = [loss for loss in losses() if loss.target != "holder2"]
    names = [name_of(play) for play in plays(1)]
    assert len(names) == len(set(names))
    assert len(names) == len(single) * len(WORKLOADS) * len(SILENCES)


def test_pairs_are_played_at_once_and_in_both_orders():
    names = {name_of(play) for play in plays(2, ["one"], ["short"])}
    first, second = "scheduler:kill:silent", "worker:kill:silent"
    assert f"one,short,0,{first},{second}" in names
    assert f"one,short,0.2,{first},{second}" in names
    assert f"one,short,0.2,{second},{first}" in names
    pairs = {frozenset(parse_play(name).losses) for name in names}
    targets = {frozenset(loss.target for loss in pair) for pair in pairs}
    # All pairs of targets but those of the second holder without the first.
    assert len(targets) == 8 * 7 // 2 - 6


def test_triples_are_drawn_by_their_seed():
    drawn = draw_plays(3, 200, 1)
    assert drawn == draw_plays(3, 200, 1)
    assert drawn != draw_plays(3, 200, 2)
    assert len(set(drawn)) == 200
    assert all(len({loss.target for loss in play.losses}) == 3 for play in drawn)


@pytest.mark.parametrize("name", FIXED)
def test_name_reproduces_its_play(name):
    assert name_of(parse_play(name)) == name


def test_play_runs_alike_each_time():
    name = "submit,short,0.2,scheduler:pause:silent,agent:cut_nodes:silent"
    assert _history(name) == _history(name)


def _history(name):
    histories = []
    run_play(
        name, lambda world, view: histories.append((world.event_log.events, view.told))
    )
    return histories[0]
