"""An unexpected error in one step of a process must not end its other work.

Each test raises an error once, where the code expects none, and checks that the work
which it interrupted is done again.
"""

import json

from builders import make_world
from graph_world import GraphWorld, make_graph_world
from twisted.internet.defer import ensureDeferred, fail

from samphiredeal.entry.claims import Claims
from samphiredeal.entry.graphs import dispatcher, work
from samphiredeal.entry.requests import Request
from samphiredeal.model import verdict
from samphiredeal.platform.advice import Advice
from samphiredeal.platform.table import Put
from samphiredeal.policy.graphs import records

STEPS = [{"count": 1, "gpu": 1, "estimated-ms": 1000}]
DEEP_JSON = b"[" * 200_000 + b"]" * 200_000


class FailOnce:
    """Wraps a function so that its first call raises an error."""

    def __init__(self, function):
        self._function = function
        self.failed = False

    def __call__(self, *args, **kwargs):
        if not self.failed:
            self.failed = True
            raise RuntimeError("injected")
        return self._function(*args, **kwargs)


class AdviceFake:
    """An advice service that permits every worker; its first query fails."""

    def __init__(self):
        self.queries = 0

    async def query(self, step, worker_ids, timeout_s):
        self.queries += 1
        if self.queries == 1:
            raise RuntimeError("injected")
        return Advice(dict.fromkeys(worker_ids, "ticket"), 10.0)


def run_job(world, job_id="a1", seconds=4.0):
    world.submit("e0", job_id, STEPS)
    world.run(seconds)
    return world.state("e0", job_id)


def test_job_is_stored_again_after_an_error_in_its_commit(monkeypatch):
    world = make_graph_world()
    failing = FailOnce(records.progress_of)
    monkeypatch.setattr(dispatcher.records, "progress_of", failing)
    assert run_job(world) == "completed"
    assert failing.failed


def test_advice_is_requested_again_after_an_error_in_a_query():
    world = GraphWorld()
    world.advice = AdviceFake()
    terms = {"decision-ms": 10, "period-ms": 1, "validity-ms": 10_000}
    world.configure(advice=terms)
    for number in range(2):
        world.add_entry(f"e{number}")
        world.add_worker(f"w{number}")
    world.run_until(world.scheduler, 3.0)
    world.run(2.0)
    assert run_job(world) == "completed"
    assert world.advice.queries >= 2


def test_agent_is_evicted_after_an_error_in_its_eviction(monkeypatch):
    world = make_graph_world()
    holder = world.nodes[world.scheduler()].process
    table = holder.dispatcher._host.table
    write = table.write
    failures = []

    def failing_write(conditions, puts, deletes=()):
        evicts = any(put.key.startswith("evicted/") for put in puts)
        if evicts and not failures:
            failures.append(puts)
            return fail(RuntimeError("injected"))
        return write(conditions, puts, deletes)

    monkeypatch.setattr(table, "write", failing_write)
    world.kill("w0")
    world.run(6.0)
    assert failures
    assert "w0" in holder.view.evicted


def test_rows_are_followed_after_an_error_in_their_consumer(monkeypatch):
    world = make_graph_world()
    entry = world.nodes["e0"].process
    failing = FailOnce(entry.view.on_rows)
    monkeypatch.setattr(entry.view, "on_rows", failing)
    assert run_job(world) == "completed"
    assert failing.failed
    assert entry.view.state_of("a1") == "completed"


def test_malformed_rows_do_not_disturb_the_others():
    """Another writer leaves malformed rows among those of agents and entries."""
    malformed_rows = [
        DEEP_JSON,
        b'["10.0.0.9:99999","a"]',
        b'["10.0.0.9:-1","a"]',
        b'["10.0.0.9","a"]',
        b'["nowhere:80","a"]',
        b"[1e308,7]",
        b"{}",
        b"\xff\xfe",
        b"",
    ]
    world = make_graph_world()
    for number, value in enumerate(malformed_rows):
        for key in (work.worker_key, work.entry_key, work.job_key, work.progress_key):
            world.table.write([], [Put(key(f"malformed{number}"), value)])
    world.table.write([], [Put("unknown/malformed", b"x"), Put("malformed", b"x")])
    world.run(1.0)
    assert run_job(world) == "completed"
    world.kill(world.scheduler())
    world.run(1.0)
    survivor = next(n for n in ("e0", "e1", "e2") if not world.nodes[n].clock.dead)
    world.submit(survivor, "b2", STEPS)
    world.run(5.0)
    assert world.state(survivor, "b2") == "completed"
    for name in ("e0", "e1", "e2"):
        view = world.nodes[name].process.view
        assert not any(
            one.startswith("malformed") for one in (*view.workers, *view.entries)
        )


def test_malformed_epoch_and_heartbeat_rows_do_not_stop_the_scheduler():
    world = make_graph_world()
    for value in (b'{"number":1e400}', b'[123456789012345678901234567890,"e9","x"]'):
        world.table.write([], [Put(work.HEARTBEAT_KEY, value)])
        world.run(0.5)
    assert run_job(world) == "completed"


def test_claims_that_raise_leave_no_slot_taken(monkeypatch):
    world = make_world()
    requests = world.nodes["entry-0"].process.requests
    slots = world.nodes["entry-0"].process.router.slots()
    failing = [RuntimeError("injected")] * slots
    open_claim = Claims.open

    async def fail_first(self, *args, **kwargs):
        if failing:
            raise failing.pop()
        return await open_claim(self, *args, **kwargs)

    monkeypatch.setattr(Claims, "open", fail_first)
    failures = []
    for number in range(slots):
        deadline = world.clock.seconds() + 5.0
        request = Request("acct", "normal", deadline, f"k{number}", False, b"body")
        ensureDeferred(requests.serve(request)).addErrback(failures.append)
        world.run(0.2)
    assert len(failures) == slots
    outcome = world.request("entry-0", b"body", "last")
    assert outcome.verdict == verdict.RAN, outcome


# Guards against a finished task that runs again: a later build has added a field to a
# job's progress, and entries of this build that start after that cannot read it.
def test_job_whose_progress_cannot_be_read_does_not_begin_anew():
    world = make_graph_world()
    world.submit("e0", "a1", [*STEPS, {**STEPS[0], "after": [0]}])
    world.run_until(lambda: world.event_log.recorded, 4.0)
    key = work.progress_key("a1")
    for name in ("e0", "e1", "e2"):
        world.kill(name)
    world.run(1.0)
    row = json.loads(world.table.rows[key].value)
    row[4] = {unit: [*fields, "new"] for unit, fields in row[4].items()}
    world.table.write([], [Put(key, json.dumps(row).encode())])
    for name in ("e0", "e1", "e2"):
        world.restart(name)
    world.run(8.0)
    assert [start.run for start in world.event_log.starts("a1.0.0.0")] == [1]
