"""Cancels of jobs whose submission, or whose cancel, is still pending at the store.

A cancel that was answered holds for a submission that is applied or repeated later,
whichever entries had the calls and whichever of them are lost.
"""

import pytest
from graph_world import BOUNDS, lose_starts, make_graph_world
from held_writes import (
    BODY,
    ENTRIES,
    PATH,
    STEP,
    TASK,
    HeldWrites,
    end_silence,
    is_submission,
    lose_entry,
    make_world,
    submit,
    submit_into_doubt,
)

from samphiredeal.entry.graphs import work
from samphiredeal.model import answers

ANSWERED = (answers.CANCELLED, answers.NO_JOB)


def cancel(world, entry):
    """Cancel a1 at an entry; return its answer."""
    return world.wait_for_answer(world.call(entry, answers.CANCEL, PATH))


def assert_cancelled(world, entry):
    """Check that a1 is a cancelled job of which nothing has started."""
    assert world.state(entry, "a1") == answers.CANCELLED
    assert world.event_log.starts(TASK) == []


def is_cancel(puts, _deletes):
    """Return whether a write stores the cancel of a1."""
    return any(put.key == work.cancel_key("a1") for put in puts)


# Guards against a start after the answer to a cancel, as the store applies the
# submission later (review case 9): at the entry that knows of it, and at any other.
@pytest.mark.parametrize("is_answered", [False, True])
@pytest.mark.parametrize("where", ["the same", "another", "the scheduler"])
def test_cancel_holds_for_a_submission_that_is_applied_later(where, is_answered):
    world, first, second = make_world()
    held = submit_into_doubt(world, first, is_answered, is_submission)
    scheduler = world.scheduler()
    entry = {"the same": first, "another": second, "the scheduler": scheduler}[where]
    assert cancel(world, entry).kind in ANSWERED
    end_silence(world, held)
    assert_cancelled(world, second)


# Guards against the same where the entry that knows of the submission is lost.
@pytest.mark.parametrize("how", ["killed", "restarted", "cut off"])
def test_cancel_holds_if_the_entry_with_the_submission_is_lost(how):
    world, first, second = make_world()
    held = submit_into_doubt(world, first, is_answered=True, is_held=is_submission)
    lose_entry(world, first, how)
    entry = first if how == "restarted" else second
    assert cancel(world, entry).kind in ANSWERED
    end_silence(world, held)
    assert_cancelled(world, second)


# Guards against the same where every entry is lost between the two.
def test_cancel_holds_if_all_entries_are_lost_before_the_submission_is_applied():
    world, first, second = make_world()
    held = submit_into_doubt(world, first, is_answered=True, is_held=is_submission)
    assert cancel(world, second).kind in ANSWERED
    for name in ENTRIES:
        world.kill(name)
    for name in ENTRIES:
        world.restart(name)
    world.run(3.0)
    end_silence(world, held)
    assert_cancelled(world, second)


# Guards against the same where another entry writes the submission, or the cancel, for
# one that the store rejects.
@pytest.mark.parametrize("relayed", ["the submission", "the cancel"])
def test_cancel_holds_for_a_call_that_was_passed_on(relayed):
    world = make_graph_world()
    scheduler = world.scheduler()
    asked, other = (name for name in ENTRIES if name != scheduler)
    world.nodes[asked].faults.down = True
    world.run(1.5)
    if relayed == "the submission":
        world.network.cut(asked, other)
        held = HeldWrites(world, scheduler, is_submission)
        assert submit(world, asked).kind == answers.UNSETTLED
        assert cancel(world, other).kind in ANSWERED
    else:
        held = submit_into_doubt(world, other, is_answered=True, is_held=is_submission)
        assert cancel(world, asked).kind in ANSWERED
    end_silence(world, held)
    assert_cancelled(world, other)


# Guards against a job that a late copy of its submission brings back.
@pytest.mark.parametrize("is_scheduler_lost", [False, True])
def test_repeated_submission_after_a_cancel_starts_nothing(is_scheduler_lost):
    world, first, second = make_world()
    held = submit_into_doubt(world, first, is_answered=True, is_held=is_submission)
    assert cancel(world, second).kind in ANSWERED
    if is_scheduler_lost:
        world.kill(world.scheduler())
    assert submit(world, second).kind == answers.ACCEPTED
    end_silence(world, held)
    assert_cancelled(world, second)


# Guards against a cancel in doubt that is forgotten: repeated at the same or another
# entry, it is answered, and holds for the submission whichever write comes first.
@pytest.mark.parametrize("is_cancel_first", [False, True])
@pytest.mark.parametrize("where", ["the same", "another"])
def test_cancel_in_doubt_is_settled_by_its_repetition(where, is_cancel_first):
    world, first, second = make_world()
    held = submit_into_doubt(world, first, is_answered=True, is_held=is_submission)
    held_cancel = HeldWrites(world, second, is_cancel)
    assert cancel(world, second).kind == answers.UNSETTLED
    if is_cancel_first:
        held_cancel.apply()
    held_cancel.release()
    entry = second if where == "the same" else world.scheduler()
    assert cancel(world, entry).kind in ANSWERED
    end_silence(world, held)
    held_cancel.apply()
    world.run(1.0)
    assert_cancelled(world, second)


# Guards against "no such job" from a store that answers reads and takes no writes: the
# cancel could not be stored, and the submission may still be applied.
def test_cancel_that_cannot_be_stored_is_not_answered_as_done():
    world, first, second = make_world()
    held = submit_into_doubt(world, first, is_answered=True, is_held=is_submission)
    HeldWrites(world, second, is_cancel)
    assert cancel(world, second).kind == answers.UNSETTLED
    end_silence(world, held)
    assert world.state(second, "a1") == "completed"


# An id that nobody has submitted is still unknown after its cancel.
def test_cancel_of_an_unknown_job_says_so():
    world, first, second = make_world()
    assert cancel(world, first).kind == answers.NO_JOB
    assert cancel(world, second).kind == answers.NO_JOB
    assert world.state(first, "a1") == answers.NO_JOB


# Guards against rows of cancels without a job that stay for ever.
def test_cancel_without_a_job_is_deleted_after_the_time_kept():
    world, first, second = make_world()
    assert cancel(world, first).kind == answers.NO_JOB
    world.run(BOUNDS.state_kept_s)
    assert work.cancel_key("a1") in world.table.rows
    world.run(40.0)
    assert work.cancel_key("a1") not in world.table.rows
    assert submit(world, second).kind == answers.ACCEPTED
    world.run(5.0)
    assert world.state(second, "a1") == "completed"


# Guards against a deletion of such a row that the store applies after the submission.
def test_late_deletion_of_a_cancel_does_not_bring_its_job_back():
    world, first, second = make_world()
    assert cancel(world, first).kind == answers.NO_JOB
    key = work.cancel_key("a1")
    held = HeldWrites(world, world.scheduler(), lambda _puts, deletes: key in deletes)
    world.run_until(lambda: len(held), BOUNDS.state_kept_s + 40.0)
    world.specs["a1"] = {"spec": "payload", "steps": [STEP]}
    accepted = world.wait_for_answer(world.call(second, answers.SUBMIT, PATH, BODY))
    assert accepted.kind == answers.ACCEPTED
    held.apply()
    world.run(5.0)
    assert_cancelled(world, second)


# Guards against a start by rows of long ago: the scheduler's writes are answered and
# its reads are not, and the order to start the task is lost until after the cancel.
def test_lost_start_is_not_sent_again_while_cancels_are_not_heard():
    world, first, _second = make_world()
    scheduler = world.nodes[world.scheduler()]
    transmit = lose_starts(world)
    assert submit(world, first).kind == answers.ACCEPTED
    world.run_until(lambda: work.progress_key("a1") in world.table.rows, 2.0)
    table = scheduler.process._table
    table.changes = lambda after, wait_s: table._table._time_out(wait_s)
    assert cancel(world, first).kind == answers.CANCELLED
    world.run(4.0)
    world.network.transmit = transmit
    world.run(3.0)
    assert world.event_log.starts(TASK) == []
