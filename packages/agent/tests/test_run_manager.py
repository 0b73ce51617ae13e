"""An agent beside a worker in memory: leases, orders, answers that are lost."""

import pytest
from graph_builders import make_facts
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from samphiredeal.agent.graphs.lease_authority import LeaseAuthority
from samphiredeal.agent.graphs.run_manager import RunManager
from samphiredeal.model import runs
from samphiredeal.model.runs import Orders, RunId, StartOrder
from samphiredeal.model.timing import TRUST_S, lease_wait_s
from samphiredeal.platform.memory_worker import MemoryWorker, Work

LEASE_S = 6.0
TASK = "a1.0.0.0"


class Bench:
    """A keeper and its worker on a paused clock; trusted while `trust` is set."""

    def __init__(self, seconds=20.0):
        self.clock = Clock()
        self.events = []
        self.worker = MemoryWorker(
            self.clock,
            make_facts(),
            lambda task: Work(seconds, checkpoint_every_s=1.0),
            lease_max_s=LEASE_S,
            watch=lambda *event: self.events.append((event[0], event[2], event[3])),
        )
        self.authority = LeaseAuthority(self.clock)
        self.run_manager = RunManager(
            self.clock, self.worker, self.authority, LEASE_S, lambda: None
        )
        self.trust = True
        self.number = 0
        ensureDeferred(self.run_manager.watch())
        self.run_manager.record_heartbeat(self.worker.facts, 0)
        self.run(0.5)

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            if self.trust:
                self.authority.not_evicted(self.clock.seconds())
            self.clock.advance(0.05)
        return self

    def order(self, starts=(), stops=(), **fields):
        self.number += 1
        self.authority.saw_epoch(1)
        life = fields.pop("life", self.worker.facts.life)
        starts = tuple(StartOrder(TASK, run, "payload") for run in starts)
        stops = tuple(RunId(TASK, run) for run in stops)
        orders = Orders(1, self.number, life, starts=starts, stops=stops, **fields)
        self.run_manager.obey(orders)
        return self

    def starts(self):
        return [run for kind, _task, run in self.events if kind == "start"]

    def refused(self):
        return {one.run: one.reason for one in self.run_manager.report().refused}


def test_lease_is_kept_while_trusted():
    bench = Bench().order([1]).run(12.0)
    assert bench.worker.running == [RunId(TASK, 1)]


def test_lease_lapses_in_time_once_trust_is_gone():
    bench = Bench().order([1]).run(1.0)
    bench.trust = False
    bench.run(lease_wait_s(LEASE_S))
    assert bench.worker.running == []
    assert bench.run_manager.report().ended[0].how == runs.LAPSED


def test_trust_bridges_a_cut_of_eight_seconds():
    bench = Bench().order([1]).run(1.0)
    bench.trust = False
    bench.run(TRUST_S + LEASE_S - 1.0)
    bench.trust = True
    bench.run(3.0)
    assert bench.worker.running == [RunId(TASK, 1)]


def test_answers_count_from_the_report_that_they_answer():
    """A frozen agent that wakes to old orders does not take them as fresh."""
    clock = Clock()
    authority = LeaseAuthority(clock)
    authority.report_sent(1)
    clock.advance(TRUST_S + 1)
    authority.report_answered(1)
    assert not authority.trusted


def test_start_with_a_lost_answer_runs_once():
    bench = Bench()
    bench.worker.faults.lose_answers = 2
    bench.order([1]).run(3.0)
    assert bench.starts() == [1]
    assert bench.refused() == {}


def test_start_carried_out_late_is_refused_by_its_deadline():
    bench = Bench()
    bench.worker.faults.late_s = 4.0
    bench.order([1]).run(1.5)
    assert RunId(TASK, 1) in bench.run_manager.report().pending
    bench.worker.faults.late_s = 0.0
    bench.run(6.0)
    assert bench.starts() == []
    assert bench.refused() == {1: runs.UNANSWERED}


def test_stop_before_its_start_settles_the_run():
    bench = Bench().order(stops=[1]).run(2.0)
    assert bench.refused() == {1: runs.STOPPED}
    bench.order([1]).run(1.0)
    assert bench.starts() == []


def test_nothing_starts_on_a_worker_that_leaves():
    bench = Bench()
    leaving = bench.worker.facts._replace(leaving=True)
    bench.run_manager.record_heartbeat(leaving, 1)
    bench.order([1]).run(0.5)
    assert bench.refused() == {1: runs.LEAVING}
    assert bench.starts() == []


def test_nothing_starts_without_trust():
    bench = Bench()
    bench.trust = False
    bench.run(TRUST_S + 1).order([1]).run(0.5)
    assert bench.starts() == []


def test_orders_for_another_life_are_dropped():
    bench = Bench().order([1], life="other/1").run(0.5)
    assert bench.starts() == []


def test_late_heartbeat_of_an_earlier_life_changes_nothing():
    bench = Bench()
    newer = bench.worker.facts._replace(born_ms=9)
    bench.run_manager.record_heartbeat(newer, 0)
    bench.run_manager.record_heartbeat(bench.worker.facts, 50)
    assert bench.run_manager.facts.born_ms == 9


def test_worker_that_refuses_connections_is_gone():
    bench = Bench().order([1]).run(1.0)
    life = bench.worker.facts.life
    bench.worker.faults.gone = True
    bench.run(2.0)
    report = bench.run_manager.report()
    assert report.worker is None
    assert report.ended_life == life


def test_reborn_worker_is_told_apart():
    bench = Bench().order([1]).run(1.0)
    life = bench.worker.facts.life
    bench.worker.crash()
    bench.run(1.0)
    assert bench.run_manager.report().ended_life == life
    bench.run_manager.record_heartbeat(bench.worker.facts, 0)
    bench.run(1.0)
    assert bench.run_manager.report().worker.life == bench.worker.facts.life
    assert bench.run_manager.report().running == ()


@pytest.mark.parametrize("recorded", [0, 1])
def test_ends_are_listed_until_they_are_recorded(recorded):
    bench = Bench(seconds=1.0).order([1]).run(3.0)
    bench.order(ends_recorded=recorded).run(1.0)
    assert len(bench.run_manager.report().ended) == 1 - recorded


# inc-short, hunt-13e8-39: a worker that had hung was looked at every 0.8 s, so that
# three looks without progress took 2.5 s.
@pytest.mark.parametrize("hang, looks", [(True, (5, 8)), (False, (2, 4))])
def test_runs_without_progress_are_looked_at_more_often(hang, looks):
    bench = Bench().order([1]).run(1.0)
    bench.worker.faults.hang = hang
    bench.run(1.0)
    before = bench.run_manager.report().looks
    bench.run(2.0)
    assert looks[0] <= bench.run_manager.report().looks - before <= looks[1]


# inc-short, hunt-13e8-39: the look that was waiting as a run began came back 0.8 s
# later, so that a hang took a second to show.
def test_run_that_hangs_from_the_start_shows_within_half_a_second():
    bench = Bench().run(1.0)
    bench.worker.faults.hang = True
    bench.order([1]).run(0.55)
    (running,) = bench.run_manager.report().running
    assert running.still_looks >= 2 and running.still_ms >= 400


def test_run_that_goes_on_is_not_reported_as_standing_still():
    bench = Bench().order([1]).run(2.0)
    (running,) = bench.run_manager.report().running
    assert running.still_looks == 0 and running.percent > 0
