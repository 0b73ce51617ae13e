"""Attempts charged to gangs, enumerated by machine.

Guards against jobs that are shown as failed after one run of a gang, because two
schedulers charge the same run (inc-gang-rows-of-different-age): of a gang in several
rows a write stores some, and the next scheduler reads rows of different age. The plays
are those of `charge_enumeration.py`, which runs some thousand more by hand; a name
reproduces a play.
"""

import pytest
from charge_enumeration import (
    ATTEMPTS,
    BATCHES,
    ENDS,
    KINDS,
    OPERATIONS,
    ORDERS,
    OTHERS,
    ROW_BYTES,
    SIZES,
    THENS,
    draw_plays,
    name_of,
    parse_play,
    plays,
    run_play,
)

from samphiredeal.policy.graphs.scheduler import GraphScheduler

# Plays in which a run was charged twice, on the code that forgot the charged run as
# soon as no member of it was left.
FOUND = [
    "gang,128,all,up,1,4,20,1600,2,complete,bwt",
    "checkpoint,128,last,up,3,4,20,1000,3,again,buwptrtbpwwptrtbpfwtt",
    "after,128,mix2,up,3,4,20,2300,2,complete,cbpfwtrtcbdwbwptrput",
]
# The same for single tasks: the head row keeps a task as it was before it had a row of
# its own, although a write that was not answered has stored that row.
FOUND_OF_TASKS = [
    "tasks,32,all,up,2,5,20,3200,2,complete,npbwubwt",
    "tasks,32,none/all,up,2,5,20,3200,2,again,bW/npbwubwt",
]
# Plays of each kind, also without a takeover, with ends in each form and order.
OTHERS_FIXED = [
    "gang,2,all,up,1,0,20,65536,1,complete,b",
    "gang,3,answer,up,2,6,100,1000,2,fail,bpwttbp",
    "large,40,all,down,3,3,20,1600,3,fail,bwtbwwttbu",
    "growing,33,first,shuffled,2,5,20,1000,2,complete,bnpwtbud",
    "two,64,middle,down,worker,4,20,1600,2,again,bwtbwtbwtbwt",
    "after,31,last,up,2,2,20,1000,2,complete,bpwbptrwt",
    "repeat,32,mix1,up,3,1,20,1000,2,fail,cbatbpubw",
    "checkpoint,96,none,up,2,4,20,2300,1,complete,bwtbwt",
    "given-up,3,all,up,1,4,20,1000,2,complete,bgpWph",
    "gang,128,none/all,up,1,4,20,1600,2,again,bW/bwt",
    "two,96,none/last,down,2,4,20,1600,1,again,bpwtb/bwtbwt",
    "given-up,33,last,down,2,4,20,1000,2,fail,bgwtbh",
    "tasks,3,mix2,down,2,3,20,3200,2,fail,bnwttbwt",
]
FIXED = [*FOUND, *FOUND_OF_TASKS, *OTHERS_FIXED]
_DRAWN_OF_EACH_KIND = 30


@pytest.mark.parametrize("name", FIXED)
def test_each_failed_run_is_charged_once(name):
    violations = run_play(name)
    assert not violations, f"{name}: {violations}"


@pytest.mark.parametrize("kind", KINDS)
def test_drawn_plays_charge_each_failed_run_once(kind):
    names = [name_of(play) for play in draw_plays(_DRAWN_OF_EACH_KIND, 1, [kind])]
    broken = {name: run_play(name) for name in names}
    assert not {name: lines for name, lines in broken.items() if lines}


@pytest.mark.parametrize("name", FIXED)
def test_name_reproduces_its_play(name):
    assert name_of(parse_play(name)) == name


def test_drawn_plays_cover_all_that_they_are_drawn_from():
    drawn = draw_plays(400, 1)
    assert {play.kind for play in drawn} == set(KINDS)
    assert {play.size for play in drawn} == set(SIZES)
    assert {end for play in drawn for end in play.ends.split("/")} == set(ENDS)
    assert {play.order for play in drawn} == set(ORDERS)
    assert {play.batches for play in drawn} == set(BATCHES)
    assert {play.others for play in drawn} == set(OTHERS)
    assert {play.operations for play in drawn} == set(OPERATIONS)
    assert {play.row_bytes for play in drawn} >= set(ROW_BYTES)
    assert {play.attempts for play in drawn} == set(ATTEMPTS)
    assert {play.then for play in drawn} == set(THENS)
    assert {letter for play in drawn for letter in play.script} == set(
        "abcdfghnprtuwW/"
    )


def test_plays_are_drawn_by_their_seed():
    assert draw_plays(100, 1) == draw_plays(100, 1)
    assert draw_plays(100, 1) != draw_plays(100, 2)
    assert len(set(draw_plays(100, 1))) == 100


def test_plays_of_one_gang_are_listed_in_full():
    listed = list(plays())
    assert len(listed) == len(set(listed)) == 9 * 4 * 7 * 2 * 4 * 2 * 5 * 4


def charging(monkeypatch, change):
    """Let `change(unit)` alter each unit of the job after each report."""
    apply_report = GraphScheduler.apply_report

    def changed(scheduler, *args):
        apply_report(scheduler, *args)
        for unit in scheduler.jobs["a"].units.values():
            change(unit)

    monkeypatch.setattr(GraphScheduler, "apply_report", changed)


def count_none(unit):
    unit.failures = 0


def count_more(unit):
    unit.failures += unit.failures > 0


# Guards against a check that does not see what it is for.
@pytest.mark.parametrize(
    ("change", "kinds"),
    [
        (count_none, {"not charged", "completed instead of failed"}),
        (count_more, {"charged too often", "failed instead of completed"}),
    ],
)
def test_runs_charged_wrongly_are_found(monkeypatch, change, kinds):
    charging(monkeypatch, change)
    then = "complete" if change is count_more else "fail"
    found = run_play(f"gang,3,all,up,1,0,100,65536,2,{then},b")
    assert kinds & {kind for kind, _line in found}
