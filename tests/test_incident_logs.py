"""The log shows on what a late or refused job spent its time."""

import pytest
from eliot import add_destinations, remove_destination
from graph_world import make_graph_world

from samphiredeal.model import answers

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}


@pytest.fixture
def logged():
    """Return a function that returns the messages logged so far of one type."""
    messages = []
    add_destinations(messages.append)
    # Eliot passes messages logged earlier to the first destination.
    messages.clear()
    yield lambda kind: [one for one in messages if one.get("message_type") == kind]
    remove_destination(messages.append)


def test_ended_job_is_logged_with_its_age_longest_wait_and_storing_time(logged):
    world = make_graph_world()
    world.submit("e0", "a1", [STEP])
    world.run(2.0)
    (line,) = logged("job_ended")
    assert line["job"] == "a1" and line["state"] == "completed"
    assert line["age_s"] >= 1.0 and line["restarts"] == 0
    assert line["objective_s"] == 4.0
    assert 0.0 <= line["longest_wait_s"] < 0.5 and line["storing_s"] < 0.5


# A job that waited 2 s for a scheduler was logged as one that had not waited
# (inc-short, hunt-63b2-7).
def test_time_until_a_scheduler_sees_the_job_is_logged(logged):
    world = make_graph_world()
    scheduler = world.scheduler()
    world.kill(scheduler)
    accepted_at = world.clock.seconds()
    world.submit("e0" if scheduler != "e0" else "e1", "a1", [STEP])
    world.run_until(world.scheduler, 5.0)
    unseen_s = world.clock.seconds() - accepted_at
    world.run(2.0)
    (seen,) = logged("job_seen")
    assert seen["job"] == "a1" and abs(seen["unseen_s"] - unseen_s) < 0.1
    (ended,) = logged("job_ended")
    assert ended["unseen_s"] == seen["unseen_s"]


def test_reason_of_a_takeover_is_logged(logged):
    world = make_graph_world()
    world.kill(world.scheduler())
    world.run_until(world.scheduler, 5.0)
    lines = logged("scheduler_took_over")
    assert len(lines) == 2 and all(line["reason"] for line in lines)


def test_unanswered_write_is_logged_with_its_reason(logged):
    world = make_graph_world()
    world.nodes[world.scheduler()].faults.lose_answers = 3
    world.submit("e1" if world.scheduler() != "e1" else "e2", "a1", [STEP])
    world.run(5.0)
    line = logged("progress_written")[0]
    assert line["jobs"] == ["a1"] and not line["stored"] and line["reason"]


def test_unanswered_heartbeat_is_logged(logged):
    world = make_graph_world()
    world.cut_store(world.scheduler())
    world.run(1.5)
    assert logged("beat_unanswered")[0]["reason"]


def test_refused_call_is_logged_with_its_deadline_and_retry_delay(logged):
    world = make_graph_world()
    for entry in ("e0", "e1", "e2"):
        world.cut_store(entry)
    world.run(2.0)
    assert world.submit("e0", "a1", [STEP]).kind == answers.NOT_DONE
    line = logged("call_answered")[-1]
    assert line["patience_s"] == 3.0 and line["retry_after_s"] >= 1.0


# A new scheduler's line must say whether it knows of the ends that callers were told
# (inc-twice).
def test_term_is_logged_with_the_ends_that_are_known(logged):
    world = make_graph_world()
    world.submit("e0", "a1", [STEP])
    world.run(2.0)
    world.submit("e0", "a2", [{**STEP, "estimated-ms": 9000}])
    world.kill(world.scheduler())
    world.run_until(world.scheduler, 5.0)
    first, second = logged("term_began")
    assert first["jobs"] == 0 and second["epoch"] == first["epoch"] + 1
    assert (second["jobs"], second["active"], second["ends_by_rows"]) == (2, 1, 1)
    assert second["active_jobs"] == ["a2"]
    assert second["rows_version"] > first["rows_version"]


# A new scheduler's line must say which failures it has read, so that a charge that was
# never stored can be told from one that was forgotten.
def test_term_is_logged_with_the_units_that_have_failed(logged):
    world = make_graph_world()
    for worker in world.workers.values():
        worker.faults.fail_starts = True
    world.submit("e0", "a1", [{**STEP, "count": 1, "estimated-ms": 9000}])
    world.run_until(lambda: logged("attempt_failed"), 3.0)
    for worker in world.workers.values():
        worker.faults.fail_starts = False
    world.run(1.0)
    world.kill(world.scheduler())
    world.run_until(world.scheduler, 5.0)
    (unit,) = logged("term_began")[-1]["failed_units"]
    job, key, run, failures, _charged_run, members = unit
    assert (job, key, run, failures, members) == ("a1", "0.0.0", 2, 1, 1)
    (ended,) = (line for line in logged("run_ended") if line["how"] == "failed")
    assert (ended["failures"], ended["charged_run"]) == (0, 0)


# What a caller was told must lead to the row that says so (inc-twice).
def test_answered_state_is_logged_with_the_version_of_its_row(logged):
    world = make_graph_world()
    world.submit("e0", "a1", [STEP])
    world.run(2.0)
    entry = "e0" if world.scheduler() != "e0" else "e1"
    assert world.state(entry, "a1") == "completed"
    line = logged("call_answered")[-1]
    version = world.table.rows["progress/a1"].version
    assert (line["state"], line["state_version"]) == ("completed", version)
    assert line["rows_age_s"] < 1.0
    # A later cancel changes nothing.
    world.wait_for_answer(world.call(entry, answers.CANCEL, "/normal/a1"))
    world.run(0.5)
    assert world.state(entry, "a1") == "completed"
    assert logged("call_answered")[-1]["state_version"] == version


# Of a relayed state the version of an older row here was logged (inc-twice).
def test_state_of_another_entry_is_logged_without_a_version_here(logged):
    world = make_graph_world()
    entry, other = (name for name in ("e0", "e1", "e2") if name != world.scheduler())
    world.submit("e0", "a1", [{**STEP, "estimated-ms": 2500}])
    world.run(0.5)
    world.nodes[entry].faults.silent = True
    world.run_until(lambda: world.state(other, "a1") == "completed", 5.0)
    assert world.state(entry, "a1") == "completed"
    here, there = logged("call_answered")[-1], logged("call_answered")[-2]
    assert here["state_version"] == 0
    assert there["state_version"] == world.table.rows["progress/a1"].version
