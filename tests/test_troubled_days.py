"""Modelled days with a silent store, a loss of all VMs and workers that hang."""

import pathlib

import pytest

from bench.graph_load import LEAD_S
from bench.paired import play, play_all, summary
from bench.troubled_days import SCALE_2, TROUBLE_3, TroubledSimulation, Troubles
from samphiredeal.policy.graphs.scheduler import GraphScheduler

CALM = Troubles("calm")
ROOT = pathlib.Path(__file__).resolve().parents[1]


def simulate(troubles, seed=1):
    simulation = TroubledSimulation(troubles, seed, GraphScheduler)
    return simulation, simulation.run()


def test_same_seed_gives_the_same_day():
    assert simulate(TROUBLE_3)[1] == simulate(TROUBLE_3)[1]


def test_calm_day_reaches_its_ceilings():
    _simulation, result = simulate(CALM, 3)
    assert result.earned > 0.9
    assert not result.short
    assert set(result.ceilings.values()) == {1.0}


# Callers who come in the first 1.2 s of 4.2 s of silence leave before its end.
@pytest.mark.parametrize(
    ("at_s", "is_served"), [(17.9, True), (18.1, False), (19.0, False), (19.5, True)]
)
def test_caller_is_served_if_a_try_comes_after_the_silence(at_s, is_served):
    simulation = TroubledSimulation(TROUBLE_3, 1, GraphScheduler)
    job = simulation._jobs[-1]._replace(at=LEAD_S + at_s)
    assert (simulation._acceptance(job) is not None) == is_served


def test_caller_who_finds_no_vm_up_gives_up_within_half_a_second():
    simulation = TroubledSimulation(TROUBLE_3, 1, GraphScheduler)
    job = simulation._jobs[-1]
    begin, end = TROUBLE_3.dark
    assert simulation._acceptance(job._replace(at=LEAD_S + begin + 0.1)) is None
    assert simulation._acceptance(job._replace(at=LEAD_S + end - 0.3)) is not None


def test_nothing_starts_in_the_silence():
    troubles = CALM._replace(silence=(5.0, 9.0))
    simulation, _result = simulate(troubles)
    begins = []
    simulation = TroubledSimulation(troubles, 1, GraphScheduler)
    start = simulation._start
    simulation._start = lambda name, order: (
        begins.append(simulation.now - LEAD_S),
        start(name, order),
    )
    simulation.run()
    assert begins
    assert not [at for at in begins if 5.0 <= at < 9.0]


def test_ends_in_the_silence_are_told_at_its_end():
    simulation, _result = simulate(TROUBLE_3, 5)
    told = [at - LEAD_S for at in simulation._told_at.values()]
    assert not [at for at in told if 18.0 <= at < 22.2]
    assert [at for at in told if 22.2 <= at < 22.3]


def test_runs_that_are_lost_with_their_workers_start_again():
    simulation, result = simulate(SCALE_2, 2)
    assert result.earned > 0.7
    assert simulation.wasted_core_s > 0


def test_version_is_played_in_processes_of_its_own():
    here = play("trouble-3", [0, 1])
    there = play_all(ROOT, "trouble-3", 2, 1)
    assert [one["worth"] for one in here] == [one["worth"] for one in there]
    assert "worth=" in summary(there)
