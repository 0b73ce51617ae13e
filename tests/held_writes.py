"""A job whose writes the store holds back, and losses of entries meanwhile.

The job is ``a1``, of one task, in a world of three entries.
"""

import msgspec
from graph_world import check_invariants, make_graph_world, set_store_silent

from samphiredeal.entry.graphs import work
from samphiredeal.model import answers
from samphiredeal.platform.table import CALL_TIMEOUT_S

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}
LONG_STEP = {**STEP, "estimated-ms": 8000}
BODY = msgspec.json.encode({"spec": "payload", "steps": [STEP]})
PATH = "/normal/a1"
TASK = "a1.0.0.0"
ENTRIES = ("e0", "e1", "e2")


class HeldWrites:
    """Writes of one entry that the store does not answer, and applies when told to.

    `is_held(puts, deletes)` tells which, by default all.
    """

    def __init__(self, world, entry, is_held=lambda puts, deletes: True):
        self._table = world.table
        self._writes = []
        self._released = False
        store = world.nodes[entry].process._table._table
        write = store.write

        def hold(conditions, puts, deletes=()):
            if self._released or not is_held(puts, deletes):
                return write(conditions, puts, deletes)
            self._writes.append((conditions, puts, deletes))
            return store._time_out(CALL_TIMEOUT_S)

        store.write = hold

    def __len__(self):
        return len(self._writes)

    def release(self):
        """Hold no further writes."""
        self._released = True

    def apply(self):
        """Apply the writes whose conditions hold."""
        for write in self._writes:
            self._table._apply(*write)


def make_world():
    """Return (world, first, second): entries that are not the scheduler."""
    world = make_graph_world()
    first, second = (name for name in ENTRIES if name != world.scheduler())
    return world, first, second


def begin_submission(world, entry):
    """Begin to submit a1 at an entry; return its answers."""
    world.specs["a1"] = {"spec": "payload", "steps": [STEP]}
    return world.call(entry, answers.SUBMIT, PATH, BODY)


def submit(world, entry):
    """Submit a1 at an entry; return its answer."""
    return world.wait_for_answer(begin_submission(world, entry))


def lose_entry(world, name, how):
    """Let an entry be lost in one of several ways."""
    if how == "cut off":
        for other in ENTRIES:
            if other != name:
                world.network.cut(name, other)
        return
    world.kill(name)
    if how == "restarted":
        world.run(0.2)
        world.restart(name)
        world.run(0.4)


def is_submission(puts, _deletes=()):
    """Return whether a write stores a1."""
    return any(put.key == work.job_key("a1") for put in puts)


def submit_into_doubt(world, entry, is_answered, is_held=lambda puts, deletes: True):
    """Submit a1 so that its write is pending at the store; return the `HeldWrites`.

    The caller is told that the outcome is unknown, or gets no answer.
    """
    held = HeldWrites(world, entry, is_held)
    answers_received = begin_submission(world, entry)
    world.run_until(lambda: len(held), 0.5)
    if is_answered:
        assert world.wait_for_answer(answers_received).kind == answers.UNSETTLED
    return held


def end_silence(world, held):
    """Let the store apply what it holds, and answer again; let all settle."""
    held.apply()
    set_store_silent(world, False)
    world.network.heal()
    world.run(8.0)
    check_invariants(world)
