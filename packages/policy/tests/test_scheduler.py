"""Scheduler invariants over random clusters and event orders.

Events are drawn by hypothesis, so a failing order is shrunk. Checked after each
decision: the slices placed on a worker fit its capacity; work outside a guarantee is
movable; no worker runs more than its capacity; nothing starts in a zone that is out;
no job is lost; and a request within an account's guarantee, according to an exhaustive
packing, gets its shape once the preempted attempts have stopped.
"""

import itertools

import pytest
from builders import make_job, make_worker
from hypothesis import given, settings
from hypothesis import strategies as st

from samphiredeal.model.configuration import Configuration
from samphiredeal.model.job import ADJACENCIES
from samphiredeal.model.shape import NOTHING, Shape
from samphiredeal.policy import reclaim
from samphiredeal.policy.actions import FinishJob, StartAttempt, StopAttempt
from samphiredeal.policy.ledger import Ledger
from samphiredeal.policy.placement import group_of
from samphiredeal.policy.scheduler import Scheduler

ZONES = ("a", "b", "c")
ACCOUNTS = ("x", "y", "guest")
SIZES = (1, 2, 4, 8)

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["submit", "submit", "submit", "ask", "end", "fail", "stop", "cancel"]
            + ["zone", "lose", "return", "time"]
        ),
        st.integers(0, 7),
        st.integers(0, 7),
    ),
    min_size=5,
    max_size=40,
)


class Host:
    """Host that carries out and checks actions; stops last until `finish_stops`."""

    def __init__(self, workers_per_zone, guarantees):
        self.now = 0.0
        self.scheduler = Scheduler(reserve_after_s=50.0)
        self.infos = [
            make_worker(f"{zone}{n}", zone, f"r{n // 2}", 8)
            for zone in ZONES
            for n in range(workers_per_zone)
        ]
        accounts = {
            name: {
                "guarantee": [
                    {
                        "accelerators": size,
                        "cpu_milli": 1000 * size,
                        "count": count,
                    }
                ]
            }
            for name, (size, count) in guarantees.items()
        }
        accounts["guest"] = {}
        self.configuration = Configuration(1, accounts)
        self.scheduler.configure(self.configuration, self.now)
        for info in self.infos:
            self.scheduler.worker_up(info, self.now)
        self.running = {}
        self.stopping = []
        self.open_jobs = set()
        self.numbers = itertools.count()

    def zone_out(self, zone):
        return self.configuration.zone_is_out(zone)

    def toggle_zone(self, zone):
        state = "in" if self.zone_out(zone) else "out"
        zones = {**self.configuration.zones, zone: {"state": state}}
        self.configuration = self.configuration._replace(
            revision=self.configuration.revision + 1, zones=zones
        )
        self.scheduler.configure(self.configuration, self.now)

    def submit(self, account, size, members, **fields):
        job = make_job(
            f"j{next(self.numbers)}",
            account,
            shape=Shape(1000, 0, size),
            members=members,
            **fields,
        )
        if self.scheduler.refusal(job) is None:
            self.open_jobs.add(job.id)
            self.scheduler.submit(job, self.now)
            return job
        return None

    def decide(self):
        for action in self.scheduler.decide(self.now):
            if isinstance(action, StartAttempt):
                self.start(action)
            elif isinstance(action, StopAttempt):
                self.stopping.append(action.attempt_id)
            elif isinstance(action, FinishJob):
                assert action.job_id in self.open_jobs
                self.open_jobs.remove(action.job_id)
        self.check()

    def start(self, action):
        assert sum(action.places.values()) == action.job.members, (
            "not all members are placed"
        )
        workers = [self.scheduler.cluster.workers[name] for name in action.places]
        groups = {group_of(worker, action.job.adjacency) for worker in workers}
        assert len(groups) == 1, "the places are not adjacent"
        for worker in workers:
            assert not self.zone_out(worker.zone), f"started in {worker.zone}"
        self.running[action.attempt_id] = action
        self.scheduler.started(action.attempt_id, self.now)

    def end(self, attempt_id, state, blame=()):
        self.running.pop(attempt_id, None)
        if attempt_id in self.stopping:
            self.stopping.remove(attempt_id)
        self.scheduler.ended(attempt_id, self.now, state, blame=blame)

    def finish_stops(self):
        for attempt_id in list(self.stopping):
            self.end(attempt_id, "stopped")

    def complete_stops(self):
        """Decide and complete stops until no attempt is stopping."""
        for _ in range(20):
            self.decide()
            if not self.stopping:
                return
            self.finish_stops()
        raise AssertionError("attempts still have to be stopped after 20 rounds")

    def lose(self, name):
        self.scheduler.worker_lost(name)
        for attempt_id, action in list(self.running.items()):
            if name in action.places:
                self.end(attempt_id, "stopped")

    def check(self):
        scheduler = self.scheduler
        used = {}
        for action in self.running.values():
            for name, count in action.places.items():
                total = used.get(name, NOTHING).plus(action.job.shape.times(count))
                used[name] = total
        for name, worker in scheduler.cluster.workers.items():
            reserved = NOTHING
            for piece in worker.slices:
                reserved = reserved.plus(piece.guarantee.shape)
            assert reserved == worker.reserved
            assert reserved.fits(worker.capacity), (
                "the slices placed on the worker do not fit"
            )
            held = NOTHING
            for shape, _covered in worker.attempts.values():
                held = held.plus(shape)
            assert worker.free == worker.capacity.minus(held), (
                "the free capacity is wrong"
            )
            running = used.get(name, NOTHING)
            assert running.accelerators <= worker.capacity.accelerators, (
                "runs more than its capacity"
            )
        for attempt in scheduler.attempts.values():
            assert attempt.covered or attempt.movable or not attempt.job.movable
        self.check_reclaimable()
        known = {a.job.id for a in scheduler.attempts.values()} | {
            w.job.id for w in scheduler.queue.all()
        }
        assert known == self.open_jobs, "a job is lost"

    def check_reclaimable(self):
        """Check that preempting borrowers frees the unclaimed part of all slices."""
        for worker in self.scheduler.cluster.workers.values():
            if not worker.usable:
                continue
            unclaimed = NOTHING
            for piece in worker.slices:
                unclaimed = unclaimed.plus(piece.free)
            pinned = NOTHING
            for attempt_id, (shape, covered) in worker.attempts.items():
                attempt = self.scheduler.attempts[attempt_id]
                if covered or not attempt.movable:
                    pinned = pinned.plus(shape)
            freeable = worker.capacity.minus(pinned)
            assert unclaimed.accelerators <= freeable.accelerators, "not reclaimable"


def can_pack(capacities, size, members):
    """Return whether members of a size fit into separate free capacities."""
    return sum(capacity // size for capacity in capacities) >= members


def play(host, events):
    """Apply the drawn events, with a decision after each."""
    for event, first, second in events:
        host.now += 1.0
        running = sorted(host.running)
        pick = running[first % len(running)] if running else None
        account = ACCOUNTS[first % 3]
        if event == "submit":
            members = 1 + second % 4
            adjacency = ADJACENCIES[(first + second) % 4]
            movable = account == "guest" or first != 3
            host.submit(
                account,
                SIZES[second % 4],
                members,
                adjacency=adjacency,
                movable=movable,
            )
        elif event == "ask":
            request_within_guarantee(host, ACCOUNTS[first % 2], SIZES[second % 4])
        elif event == "end" and pick:
            host.end(pick, "done")
        elif event == "fail" and pick:
            host.end(pick, "failed", tuple(host.running.get(pick).places)[:1])
        elif event == "stop":
            host.finish_stops()
        elif event == "cancel" and host.open_jobs:
            jobs = sorted(host.open_jobs)
            host.scheduler.cancel(jobs[second % len(jobs)])
        elif event == "zone":
            host.toggle_zone(ZONES[first % 3])
        elif event == "lose":
            host.lose(host.infos[first % len(host.infos)].name)
        elif event == "return":
            host.scheduler.worker_up(host.infos[first % len(host.infos)], host.now)
        elif event == "time":
            host.now += 40.0
        host.decide()


def request_within_guarantee(host, account, size):
    """Request all unclaimed capacity; the job must start once stops have completed."""
    host.complete_stops()
    pieces = host.scheduler.ledger.slices_of(account)
    if any(piece.worker is None for piece in pieces):
        return
    if any(w.job.account == account for w in host.scheduler.queue.all()):
        return
    members = sum(piece.free.accelerators // size for piece in pieces)
    capacities = [piece.free.accelerators for piece in pieces]
    if not members or not can_pack(capacities, size, members):
        return
    job = host.submit(account, size, members, klass="urgent")
    if job is None:
        return
    host.complete_stops()
    attempt = host.scheduler.attempt_of(job.id)
    assert attempt is not None, f"{members} x {size} of {account} did not start"
    assert attempt.id in host.running


GUARANTEES = st.fixed_dictionaries(
    {
        "x": st.tuples(st.sampled_from(SIZES), st.integers(1, 3)),
        "y": st.tuples(st.sampled_from(SIZES), st.integers(1, 3)),
    }
)


@settings(max_examples=600, deadline=None, derandomize=True)
@given(st.integers(1, 3), GUARANTEES, EVENTS)
def test_invariants_hold(workers_per_zone, guarantees, events):
    play(Host(workers_per_zone, guarantees), events)


def test_check_fails_if_slices_exceed_capacity(monkeypatch):
    """The check fails if slices are placed without regard to capacity."""

    def place_anywhere(self):
        workers = sorted(self._usable(), key=lambda worker: worker.name)
        for piece in self.unplaced() if workers else ():
            self._place(piece, workers[0])

    monkeypatch.setattr(Ledger, "repair", place_anywhere)
    host = Host(1, {"x": (8, 2), "y": (8, 2)})
    host.scheduler.ledger.repair()
    with pytest.raises(AssertionError, match="slices placed on the worker do not fit"):
        host.check()


def test_sums_alone_do_not_give_the_shape():
    """Victims are chosen on the worker that lacks the shape.

    Freeing enough accelerators in sum, over several workers, would not fit it.
    """
    host = Host(1, {"x": (8, 1), "y": (1, 1)})
    for _ in range(24):
        host.submit("guest", 1, 1)
    host.complete_stops()
    assert len(host.running) == 24
    request_within_guarantee(host, "x", 8)
    stopped = 24 - sum(a.job.account == "guest" for a in host.running.values())
    assert stopped == 8


def make_attempt(attempt_id, accelerators, started_at):
    """Return what `choose_victims` needs of a running attempt."""

    class Running:
        job = make_job(attempt_id, accelerators=accelerators)
        movable = True

    running = Running()
    running.started_at = started_at
    return running


def test_victims_lose_the_least():
    attempts = {"big": make_attempt("big", 4, 0.0), "small": make_attempt("s", 2, 0.0)}

    class Worker:
        name = "w"
        attempts = {
            "big": (Shape(0, 0, 4), False),
            "small": (Shape(0, 0, 2), False),
        }

    victims = reclaim.choose_victims(
        [Worker], attempts, lambda a: True, 100.0, lambda w: Shape(0, 0, 2)
    )
    assert victims == ["small"]


def host_full_of_borrowers():
    """Return a host with all accelerators lent to jobs of one accelerator."""
    host = Host(1, {"x": (8, 1), "y": (1, 1)})
    for _ in range(24):
        host.submit("guest", 1, 1)
    host.complete_stops()
    return host


def test_burst_of_requests_is_reclaimed_in_one_round():
    """Each request of a burst gets its own victims, not those already stopping."""
    host = host_full_of_borrowers()
    jobs = []
    for _ in range(4):
        jobs.append(host.submit("x", 1, 1, klass="urgent"))
        host.decide()
    assert len(host.stopping) == 4
    host.finish_stops()
    host.decide()
    assert all(host.scheduler.attempt_of(j.id).id in host.running for j in jobs)


def test_first_request_does_not_wait_for_capacity_of_a_later_one():
    host = host_full_of_borrowers()
    first = host.submit("x", 1, 1, klass="urgent")
    host.decide()
    host.submit("x", 1, 1, klass="urgent")
    host.decide()
    host.end(host.stopping[0], "stopped")
    host.decide()
    assert host.scheduler.attempt_of(first.id).id in host.running


def test_two_schedulers_never_assign_the_same_attempt_id():
    """Agents keep attempts across a scheduler change, so a reused id would collide."""
    ids = set()
    for epoch in (1, 2):
        scheduler = Scheduler(epoch)
        scheduler.configure(Configuration(1, {"guest": {}}), 0.0)
        scheduler.worker_up(make_worker("w"), 0.0)
        scheduler.submit(make_job("j", "guest"), 0.0)
        ids |= {action.attempt_id for action in scheduler.decide(0.0)}
    assert len(ids) == 2


@pytest.mark.parametrize("then", ["zone", "due"])
def test_reservation_ends_with_a_lost_worker(then):
    """The removal of a reserved worker drops the reservation."""
    host = host_full_of_borrowers()
    big = host.submit("guest", 8, 1)
    host.now += 60.0
    host.complete_stops()
    held = host.scheduler.reservations[big.id]
    name = next(iter(held.places))
    zone = host.scheduler.cluster.workers[name].zone
    host.lose(name)
    if then == "zone":
        host.toggle_zone(zone)
    else:
        host.now = held.due + 1.0
    host.complete_stops()
    assert name not in host.scheduler.cluster.workers
