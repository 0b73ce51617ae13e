"""Relaying calls from an entry that is rejected by the store to another entry."""

import msgspec
import pytest
from graph_world import KEY, make_graph_world
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectingCancelledError

from samphiredeal.model import answers
from samphiredeal.platform.memory import Faults
from samphiredeal.wire.messages import AskReply

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}
ENTRIES = ("e0", "e1", "e2")


def inject_store_fault(world, entry, fault="down"):
    setattr(world.nodes[entry].faults, fault, True)


@pytest.fixture(params=["down", "silent"])
def world(request):
    """Return a world in which entry e0 cannot use the store."""
    world = make_graph_world()
    inject_store_fault(world, "e0", request.param)
    world.run(3.0)
    return world


# An entry that was rejected by the store refused a job twice while the other entries
# accepted jobs (inc-short, hunt-33c3-27).
def test_job_is_accepted_through_another_entry(world):
    began_at = world.clock.seconds()
    assert world.submit("e0", "a1", [STEP]).kind == answers.ACCEPTED
    assert world.clock.seconds() - began_at < 0.3
    world.run(3.0)
    assert world.state("e1", "a1") == "completed"
    assert len(world.event_log.starts()) == 1


def test_job_is_accepted_as_soon_as_the_store_rejects_the_entry():
    world = make_graph_world()
    inject_store_fault(world, "e0")
    assert world.submit("e0", "a1", [STEP]).kind == answers.ACCEPTED


# An entry that was rejected by the store answered "running" for 4 s after the job had
# ended; the job counted as late by a factor of three (inc-short, hunt-964f-19).
def test_state_is_returned_through_another_entry(world):
    world.submit("e1", "a1", [STEP])
    world.run(2.0)
    assert world.state("e0", "a1") == "completed"


def test_key_revoked_during_the_fault_is_refused(world):
    world.configure(keys=("key-2",))
    world.run(0.5)
    answers_received = world.call("e0", answers.GET_STATE, "/normal/0", key=KEY)
    assert world.wait_for_answer(answers_received).kind == answers.UNKNOWN_KEY


def test_job_in_an_outage_for_all_entries_is_refused_at_once():
    world = make_graph_world()
    for entry in ENTRIES:
        inject_store_fault(world, entry, "silent")
    world.run(3.0)
    began_at = world.clock.seconds()
    assert world.submit("e0", "a1", [STEP]).kind == answers.NOT_DONE
    assert world.clock.seconds() - began_at < 0.5


def test_job_is_refused_if_no_other_entry_can_be_reached(world):
    for entry in ("e1", "e2"):
        world.network.cut("e0", entry)
    answer = world.submit("e0", "a1", [STEP])
    assert answer.kind == answers.NOT_DONE
    world.network.heal()
    world.run(5.0)
    assert "job/a1" not in world.table.rows


# A job that was stored must not be refused because the reply to its relay was lost.
def test_lost_relay_reply_is_not_answered_as_a_refusal(world):
    world.network.lose_next += [AskReply, AskReply]
    assert world.submit("e0", "a1", [STEP]).kind == answers.UNSETTLED
    assert world.submit("e0", "a1", [STEP]).kind == answers.ACCEPTED
    world.run(3.0)
    assert world.state("e1", "a1") == "completed"
    assert len(world.event_log.starts()) == 1


def test_call_is_relayed_only_once():
    world = make_graph_world()
    for entry in ("e0", "e1"):
        inject_store_fault(world, entry)
    world.run(3.0)
    assert world.submit("e0", "a1", [STEP]).kind == answers.ACCEPTED
    assert len(world.event_log.starts()) <= 1


# In an outage for all entries, entries that relayed calls to each other delayed the
# answers to 1.8 s instead of 1.2 s (inc-short, hunt-964f-19).
@pytest.mark.parametrize("silent_s", [0.05, 0.4, 0.8, 1.2, 1.6, 2.0])
def test_relay_does_not_delay_answers_in_an_outage_for_all_entries(silent_s):
    world = make_graph_world()
    for entry in ENTRIES:
        inject_store_fault(world, entry, "silent")
    world.run(silent_s)
    began_at = world.clock.seconds()
    answer = world.submit("e0", "a1", [STEP])
    assert answer.kind in (answers.NOT_DONE, answers.UNSETTLED)
    assert world.clock.seconds() - began_at < 1.25


# Connecting to an entry that had been removed hung, and the error of the cancelled
# connection left the caller without an answer.
def test_hanging_connection_is_cancelled(world):
    relay = world.nodes["e0"].process._relay
    cancelled = ConnectingCancelledError("10.0.0.1:7000")
    relay._connect = lambda _address: Deferred(lambda one: one.errback(cancelled))
    began_at = world.clock.seconds()
    assert world.submit("e0", "a1", [STEP]).kind == answers.NOT_DONE
    assert world.clock.seconds() - began_at < 0.5


# A call with 0.14 s left was answered after 0.2 s because of a connection attempt to an
# entry that had been removed (hunt-964f-19).
def test_call_with_a_short_deadline_is_not_delayed(world):
    for entry in ("e1", "e2"):
        world.network.cut("e0", entry)
    body = msgspec.json.encode({"spec": "", "steps": [STEP]})
    answers_received = world.call("e0", answers.SUBMIT, "/normal/a1", body, wait_s=0.14)
    world.run_until(lambda: answers_received, 0.14)
    assert answers_received[0].kind == answers.NOT_DONE


# Once a relayed call was answered from a newer configuration, an entry must not fall
# back to its older one when it receives job changes before configuration changes.
def test_older_configuration_is_not_applied_after_a_relay():
    world = make_graph_world()
    inject_store_fault(world, "e0", "silent")
    world.run(0.5)
    world.configure(keys=("key-2",))
    world.run(1.2)
    body = msgspec.json.encode({"spec": "", "steps": [STEP]})

    def submit(job_id):
        path = f"/normal/{job_id}"
        return world.wait_for_answer(
            world.call("e0", answers.SUBMIT, path, body, "key-2")
        )

    assert submit("a1").kind == answers.ACCEPTED
    world.nodes["e0"].operator_table.faults = Faults()
    world.nodes["e0"].operator_table.faults.silent = True
    world.nodes["e0"].faults.silent = False
    world.run(0.3)
    assert submit("b2").kind == answers.ACCEPTED


def test_relayed_call_is_answered_before_a_planned_stop_ends():
    world = make_graph_world()
    holder = world.scheduler()
    disconnected = next(entry for entry in ENTRIES if entry != holder)
    inject_store_fault(world, disconnected, "silent")
    world.run(1.2)
    world.submit(holder, "a1", [{**STEP, "estimated-ms": 5000}])
    world.run_until(lambda: world.state(holder, "a1") == "running", 2.0)
    answers_received = world.call(disconnected, answers.GET_STATE, "/normal/a1")
    world.run_until(lambda: world.nodes[holder].process.call_handler.in_flight, 0.1)
    assert world.wait_for_answer(answers_received).state == "running"


# One entry answered "unsettled" and another "not accepted and never runs", although
# the write of the first could still be applied (inc-short, trouble-3).
@pytest.mark.parametrize("later_s", [0.1, 1.5, 3.5])
def test_job_in_doubt_at_one_entry_is_not_refused_by_another(later_s):
    world = make_graph_world(entries=4)
    entries = [f"e{number}" for number in range(4)]
    for entry in entries:
        inject_store_fault(world, entry, "silent")
    assert world.submit("e0", "a1", [STEP]).kind == answers.UNSETTLED
    world.run(later_s)
    for entry in entries:
        assert world.submit(entry, "a1", [STEP]).kind == answers.UNSETTLED
    assert world.submit("e1", "a2", [STEP]).kind == answers.NOT_DONE
