"""Placements on a worker that starts again.

A start in flight while an incarnation ends may be carried out by the next one, so the
scheduler keeps the placement until the next one has refused to begin it.
"""

import pytest
from graph_bench import Bench, make_workers
from graph_builders import make_record, make_report, make_step

from samphiredeal.model import runs
from samphiredeal.model.runs import Ended, Refused, RunId, Running
from samphiredeal.policy.graphs.scheduler import GraphScheduler

RUN = RunId("a.0.0.0", 1)


def make_bench(count=1, **fields):
    """Return a bench with a job whose runs have been ordered, on `count` workers."""
    bench = Bench(make_workers(count))
    bench.add(make_record("a", [make_step(count, 8, estimate_ms=60_000, **fields)]))
    return bench.step()


def report(bench, name="w0", **fields):
    bench.now += 0.1
    facts = fields.pop("facts", bench.facts[name])
    bench.scheduler.apply_report(name, make_report(facts, **fields), bench.now)
    bench.scheduler.plan(bench.now, int(bench.now * 1000))
    return bench.scheduler.orders_for(name, bench.now)


def next_incarnation(bench, name="w0"):
    facts = bench.facts[name]
    bench.facts[name] = facts._replace(born_ms=facts.born_ms + 1)
    return bench.facts[name]


def placed(bench):
    unit = bench.scheduler.jobs["a"].units["0.0.0"]
    return unit.run, len(unit.placements)


# Guards against TWICE (inc-agent-evidence): the scheduler started a task elsewhere that
# the next incarnation of its worker then ran.
def test_run_is_stopped_in_the_next_incarnation_before_it_starts_elsewhere():
    bench = make_bench()
    next_incarnation(bench)
    starts, stops = report(bench)
    assert (starts, stops) == ([], [RUN])
    assert placed(bench) == (1, 1)
    report(bench, refused=(Refused(*RUN, runs.STOPPED),))
    assert placed(bench) == (2, 1)


def test_run_that_the_next_incarnation_lists_goes_on_there():
    bench = make_bench()
    next_incarnation(bench)
    starts, stops = report(bench, running=(Running(*RUN, "", 5),))
    assert (starts, stops) == ([], [])
    assert placed(bench) == (1, 1)
    report(bench, ended=(Ended(1, *RUN, runs.DONE, ""),))
    assert bench.state("a") == "completed"


def test_run_that_ended_in_the_next_incarnation_is_done():
    bench = make_bench()
    next_incarnation(bench)
    report(bench, ended=(Ended(1, *RUN, runs.DONE, ""),))
    assert bench.state("a") == "completed"


# The agent's starts in flight may still reach the next incarnation.
def test_pending_start_of_an_ended_incarnation_is_not_lost():
    bench = make_bench()
    life = bench.facts["w0"].life
    report(bench, facts=None, ended_life=life, pending=(RUN,))
    assert placed(bench) == (1, 1)
    report(bench, facts=None, ended_life=life)
    assert placed(bench) == (1, 0)


def test_placement_that_has_not_been_stored_is_dropped_at_once():
    """No start can have been sent, so there is nothing to stop."""
    bench = Bench(make_workers(1))
    bench.add(make_record("a", [make_step(1, 8)]))
    bench.scheduler.plan(0.0, 0)
    next_incarnation(bench)
    bench.scheduler.apply_report("w0", make_report(bench.facts["w0"]), 0.1)
    assert placed(bench) == (1, 0)


@pytest.mark.parametrize("members", [2, 3])
def test_other_members_of_a_gang_stop_with_the_one_whose_worker_started_again(members):
    bench = make_bench(members, gang=True).step(0.5)
    next_incarnation(bench)
    report(bench)
    unit = bench.scheduler.jobs["a"].units["0.0"]
    assert all(placement.stopping for placement in unit.placements.values())


# Guards against TWICE after a takeover: the rows name placements of the incarnation
# before, and nothing of what was in flight.
def test_new_scheduler_stops_a_restored_run_in_the_next_incarnation():
    bench = make_bench()
    placement = bench.scheduler.jobs["a"].units["0.0.0"].placements[0]
    placement.status, placement.sent_at = "ordered", None
    next_incarnation(bench)
    assert report(bench) == ([], [RUN])


# Guards against TWICE: a report without an incarnation that has ended was taken for the
# end of one without a name, and a run that had been found was dropped.
def test_found_run_of_an_unknown_incarnation_is_not_dropped():
    bench = Bench(make_workers(1))
    bench.scheduler = GraphScheduler()
    bench.scheduler.add_worker("w0", "a")
    bench.add(make_record("a", [make_step(1, 8, estimate_ms=60_000)]))
    bench.scheduler.plan(bench.now, 0)
    report(bench, facts=None, running=(Running(*RUN, "", 5),))
    report(bench, facts=None)
    assert placed(bench) == (1, 1)
    report(bench, running=(Running(*RUN, "", 5),))
    assert placed(bench) == (1, 1)


# Guards against TWICE: the worker of a run alternates between two incarnations.
def test_run_that_is_listed_again_after_another_incarnation_is_held():
    bench = make_bench().step(0.1)
    first = bench.facts["w0"]
    second = next_incarnation(bench)
    for facts, running in [(second, ()), (first, (Running(*RUN, "", 9),))] * 2:
        starts, _stops = report(bench, facts=facts, running=running)
        assert starts == []
        assert placed(bench) == (1, 1)


def test_older_incarnation_that_has_ended_takes_no_run_of_the_next_one():
    bench = make_bench().step(0.1)
    first = bench.facts["w0"].life
    next_incarnation(bench)
    report(bench, running=(Running(*RUN, "", 5),))
    report(bench, facts=None, ended_life=first)
    assert placed(bench) == (1, 1)
