"""Jobs whose rows the scheduler cannot read.

Guards against TWICE (issue 58): a scheduler of an earlier build took a job whose
progress row it could not decode for one that had not begun, stopped its run and started
a finished task again.
"""

import random

import pytest
from eliot import add_destinations, remove_destination
from graph_world import check_invariants, lose_starts, make_graph_world
from unreadable_rows import (
    LATER,
    HiddenRows,
    announce_unreadably,
    replace_epoch,
    split_progress,
    take_over,
)

from samphiredeal.entry.graphs import work
from samphiredeal.model import answers, runs
from samphiredeal.platform.table import Put
from samphiredeal.policy.graphs import records

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}
SECOND = {**STEP, "estimated-ms": 8000, "after": [0]}
LONG = {**STEP, "estimated-ms": 12000}
WIDE = {**STEP, "count": 40, "cpu": 100, "mem-mb": 100, "gpu": 0, "estimated-ms": 8000}
WHOLE_WORKER = {**LONG, "cpu": 8000, "mem-mb": 8000, "gpu": 8}


def begin_second_step(world, job_id="a1"):
    """Submit a job of two steps and run until its second one is at work."""
    assert world.submit("e0", job_id, [STEP, SECOND]).kind == answers.ACCEPTED
    world.run_until(lambda: world.event_log.starts(f"{job_id}.0.1.0"), 8.0)
    world.run(0.5)


def starts(world):
    return sorted(event.task for event in world.event_log.starts())


def ends(world, how=None):
    return [
        event.task
        for event in world.event_log.events
        if event.kind == "end" and how in (None, event.how)
    ]


def live_entry(world):
    return world.scheduler()


def other_entry(world):
    """Return a live entry that is not the scheduler."""
    return next(
        name
        for name, node in world.nodes.items()
        if name.startswith("e")
        and not node.clock.dead
        and node.process.dispatcher is None
    )


@pytest.fixture
def messages():
    logged = []
    add_destinations(logged.append)
    # The first destination gets what was logged before.
    logged.clear()
    yield logged
    remove_destination(logged.append)


@pytest.mark.parametrize("key", ["job/a1", "progress/a1"])
@pytest.mark.parametrize("hidden_s", [3.0, 12.0])
@pytest.mark.parametrize("is_fresh", [False, True])
def test_finished_task_does_not_run_again_while_its_row_is_unreadable(
    key, hidden_s, is_fresh
):
    world = make_graph_world()
    begin_second_step(world)
    hidden = take_over(world, [key], is_fresh)
    world.run(hidden_s)
    assert starts(world) == ["a1.0.0.0", "a1.0.1.0"]
    assert ends(world, runs.STOPPED) == []
    hidden.show()
    world.run(9.0)
    assert world.state(live_entry(world), "a1") == "completed"
    assert starts(world) == ["a1.0.0.0", "a1.0.1.0"]
    assert ends(world) == ["a1.0.0.0", "a1.0.1.0"]


@pytest.mark.parametrize("key", ["job/a1", "progress/a1"])
def test_end_of_an_unreadable_job_is_not_acknowledged(key):
    world = make_graph_world()
    begin_second_step(world)
    take_over(world, [key])
    world.run_until(lambda: "a1.0.1.0" in ends(world, runs.DONE), 10.0)
    world.run(4.0)
    assert "a1.0.1.0" not in [end.task for end in world.event_log.recorded]


# The end of another job on the same worker, before and after the end that is kept.
def test_ends_of_other_jobs_are_stored_beside_an_unreadable_job():
    world = make_graph_world(workers=1)
    begin_second_step(world)
    world.submit("e0", "b1", [{**STEP, "estimated-ms": 9000}])
    world.run(0.5)
    hidden = take_over(world, ["progress/a1"])
    entry = live_entry(world)
    world.submit(entry, "b2", [STEP])
    world.run(12.0)
    assert world.state(entry, "b1") == world.state(entry, "b2") == "completed"
    hidden.show()
    world.run(3.0)
    assert world.state(entry, "a1") == "completed"
    assert starts(world) == ["a1.0.0.0", "a1.0.1.0", "b1.0.0.0", "b2.0.0.0"]


@pytest.mark.parametrize("row", ["progress/a1", "units/a1/0.0.0", "units/a1/0.0.1"])
def test_split_job_is_left_alone_while_one_of_its_rows_is_unreadable(row):
    world = make_graph_world()
    assert world.submit("e0", "a1", [WIDE]).kind == answers.ACCEPTED
    world.run_until(lambda: len(world.event_log.starts()) == 40, 5.0)
    world.run(1.0)
    split_progress(world, "a1")
    hidden = take_over(world, [row])
    world.run(5.0)
    assert ends(world, runs.STOPPED) == []
    hidden.show()
    world.run(8.0)
    assert world.state(live_entry(world), "a1") == "completed"
    assert len(starts(world)) == len(set(starts(world))) == 40


@pytest.mark.parametrize("is_fresh", [False, True])
def test_waiting_job_is_not_started_while_its_row_is_unreadable(is_fresh):
    world = make_graph_world(workers=1)
    world.submit("e0", "b1", [{**WHOLE_WORKER, "estimated-ms": 5000}])
    world.run(1.0)
    world.submit("e0", "a1", [STEP])
    world.run(0.5)
    hidden = take_over(world, ["job/a1"], is_fresh)
    world.run(8.0)
    assert starts(world) == ["b1.0.0.0"]
    hidden.show()
    world.run(4.0)
    assert world.state(live_entry(world), "a1") == "completed"


# Its start is stored, and may or may not have been sent.
def test_placed_job_is_not_started_while_its_row_is_unreadable():
    world = make_graph_world()
    transmit = lose_starts(world)
    world.submit("e0", "a1", [STEP])
    world.run(0.5)
    hidden = take_over(world, ["progress/a1"])
    world.network.transmit = transmit
    world.run(4.0)
    assert starts(world) == []
    hidden.show()
    world.run(5.0)
    assert world.state(live_entry(world), "a1") == "completed"
    assert starts(world) == ["a1.0.0.0"]


@pytest.mark.parametrize("state", ["completed", "failed", "cancelled"])
@pytest.mark.parametrize("key", ["job/a1", "progress/a1"])
@pytest.mark.parametrize("is_fresh", [False, True])
def test_ended_job_is_neither_started_nor_deleted_while_unreadable(
    state, key, is_fresh
):
    world = make_graph_world(entries=4)
    for worker in world.workers.values():
        worker.faults.fail_starts = 9 if state == "failed" else 0
    world.submit("e0", "a1", [STEP])
    if state == "cancelled":
        world.run(0.5)
        world.wait_for_answer(world.call("e0", answers.CANCEL, "/normal/a1"))
    world.run_until(lambda: world.state("e0", "a1") == state, 10.0)
    world.run(2.0)
    started = starts(world)
    take_over(world, [key], is_fresh)
    world.run(160.0)
    assert starts(world) == started
    assert {"job/a1", "progress/a1"} <= set(world.table.rows)
    is_known = not is_fresh or key != "progress/a1"
    told = world.state(live_entry(world), "a1")
    assert told == (state if is_known else answers.NOT_DONE)


def test_state_that_nobody_can_read_is_not_made_up():
    world = make_graph_world()
    begin_second_step(world)
    hidden = take_over(world, ["progress/a1"])
    world.run(1.0)
    for entry in (live_entry(world), other_entry(world)):
        told = world.call(entry, answers.GET_STATE, "/normal/a1")
        answer = world.wait_for_answer(told)
        assert answer.kind == answers.NOT_DONE
        assert "progress/a1" in answer.reason
    hidden.show()
    world.run(1.0)
    assert world.state(live_entry(world), "a1") == "running"


def test_cancel_of_an_unreadable_job_takes_effect_once_it_is_readable():
    world = make_graph_world()
    begin_second_step(world)
    hidden = take_over(world, ["progress/a1"])
    entry = live_entry(world)
    told = world.call(entry, answers.CANCEL, "/normal/a1")
    assert world.wait_for_answer(told).kind == answers.CANCELLED
    world.run(3.0)
    assert ends(world, runs.STOPPED) == []
    hidden.show()
    world.run(3.0)
    assert world.state(entry, "a1") == "cancelled"
    assert ends(world, runs.STOPPED) == ["a1.0.1.0"]


def test_room_of_an_unreadable_job_is_not_given_to_others():
    world = make_graph_world(workers=2)
    world.submit("e0", "a1", [{**WHOLE_WORKER, "after": []}])
    world.run_until(lambda: world.event_log.starts("a1.0.0.0"), 5.0)
    world.run(0.5)
    hidden = take_over(world, ["progress/a1"])
    entry = live_entry(world)
    for number in range(3):
        world.submit(entry, f"b{number}", [{**STEP, "gpu": 4, "cpu": 4000}])
    world.run(6.0)
    check_invariants(world)
    assert [world.state(entry, f"b{n}") for n in range(3)] == ["completed"] * 3
    hidden.show()
    world.run(10.0)
    assert world.state(entry, "a1") == "completed"
    check_invariants(world)


# A stored start that was never sent has no room any more once its row is readable.
def test_start_that_has_lost_its_room_meanwhile_is_placed_anew():
    world = make_graph_world(workers=1)
    transmit = lose_starts(world)
    world.submit("e0", "a1", [{**WHOLE_WORKER, "estimated-ms": 2000}])
    world.run(0.5)
    hidden = take_over(world, ["progress/a1"])
    world.network.transmit = transmit
    entry = live_entry(world)
    world.submit(entry, "b1", [{**STEP, "estimated-ms": 4000}])
    world.run_until(lambda: world.event_log.starts("b1.0.0.0"), 5.0)
    hidden.show()
    world.run(12.0)
    check_invariants(world)
    assert world.state(entry, "a1") == world.state(entry, "b1") == "completed"


# The worker is lost while the row is unreadable; what ran there has to run again.
def test_run_of_a_worker_that_is_lost_meanwhile_is_started_again():
    world = make_graph_world()
    begin_second_step(world)
    worker = world.event_log.starts("a1.0.1.0")[0].worker
    hidden = take_over(world, ["progress/a1"])
    world.kill(worker)
    world.lose_worker(worker)
    world.run(20.0)
    assert len(starts(world)) == 2
    hidden.show()
    world.run(12.0)
    assert world.state(live_entry(world), "a1") == "completed"
    assert starts(world) == ["a1.0.0.0", "a1.0.1.0", "a1.0.1.0"]
    assert world.event_log.overlaps() == []


# The scheduler itself goes on, and somebody else has written the row.
def test_scheduler_leaves_a_job_alone_whose_row_becomes_unreadable():
    world = make_graph_world()
    begin_second_step(world)
    scheduler = world.scheduler()
    hidden = HiddenRows(world, ["progress/a1"])
    unreadable = world.table.rows["progress/a1"].version
    world.run(10.0)
    assert world.scheduler() == scheduler
    assert world.table.rows["progress/a1"].version == unreadable
    assert starts(world) == ["a1.0.0.0", "a1.0.1.0"]
    assert ends(world, runs.STOPPED) == []
    hidden.show()
    world.run(3.0)
    assert world.state(scheduler, "a1") == "completed"
    assert starts(world) == ["a1.0.0.0", "a1.0.1.0"]


def test_scheduler_does_not_delete_an_ended_job_whose_row_becomes_unreadable():
    world = make_graph_world()
    world.submit("e0", "a1", [STEP])
    world.run_until(lambda: world.state("e0", "a1") == "completed", 10.0)
    scheduler = world.scheduler()
    HiddenRows(world, ["progress/a1"])
    world.run(160.0)
    assert world.scheduler() == scheduler
    assert {"job/a1", "progress/a1"} <= set(world.table.rows)


# The scheduler hears of the row by a conflict, before the change reaches it.
def test_row_that_a_write_finds_unreadable_is_not_overwritten():
    world = make_graph_world()
    begin_second_step(world)
    scheduler = world.scheduler()
    table = world.nodes[scheduler].process._work_follower._table
    changes = table.changes

    def leave_out(answer):
        rows = [row for row in answer.rows if row.key != "progress/a1"]
        return answer._replace(rows=rows)

    table.changes = lambda *args: changes(*args).addCallback(leave_out)
    world.run(1.0)
    hidden = HiddenRows(world, ["progress/a1"])
    version = world.table.rows["progress/a1"].version
    world.run_until(lambda: "a1.0.1.0" in ends(world, runs.DONE), 10.0)
    world.run(0.5)
    assert world.table.rows["progress/a1"].version == version
    table.changes = changes
    world.run(1.0)
    hidden.show()
    world.run(3.0)
    assert world.state(live_entry(world), "a1") == "completed"
    assert starts(world) == ["a1.0.0.0", "a1.0.1.0"]


# An error in one job's rows ended the loading of all jobs, in each try anew.
def test_job_whose_rows_cannot_be_used_is_held_beside_others(monkeypatch):
    world = make_graph_world()
    begin_second_step(world)
    restore = records.restore

    def fail(record, progress, now):
        if record.id == "a1":
            raise KeyError("0.0.0")
        return restore(record, progress, now)

    monkeypatch.setattr(records, "restore", fail)
    take_over(world, [])
    entry = live_entry(world)
    world.submit(entry, "b1", [STEP])
    world.run(5.0)
    assert world.state(entry, "b1") == "completed"
    assert starts(world) == ["a1.0.0.0", "a1.0.1.0", "b1.0.0.0"]
    monkeypatch.undo()
    hidden = HiddenRows(world, ["progress/a1"])
    hidden.show()
    world.run(8.0)
    assert world.state(entry, "a1") == "completed"
    assert ends(world, runs.STOPPED) == []


def test_held_job_is_logged_once_with_its_row_and_reason(messages):
    world = make_graph_world()
    begin_second_step(world)
    hidden = HiddenRows(world, ["progress/a1"])
    world.run(3.0)
    hidden.show()
    world.run(1.0)
    held = [one for one in messages if one.get("message_type") == "job_held"]
    released = [one for one in messages if one.get("message_type") == "job_released"]
    assert len(held) == len(released) == 3
    assert {(one["job"], one["row"]) for one in held} == {("a1", "progress/a1")}
    assert all("Progress" in one["reason"] for one in held)
    assert {(one["job"], one["row"]) for one in released} == {("a1", "progress/a1")}


def test_nobody_takes_over_on_an_epoch_that_cannot_be_read():
    world = make_graph_world()
    begin_second_step(world)
    hidden = HiddenRows(world, [work.EPOCH_KEY])
    version = world.table.rows[work.EPOCH_KEY].version
    world.restart("e0" if world.scheduler() != "e0" else "e1")
    world.run(5.0)
    assert world.scheduler() is None
    assert world.table.rows[work.EPOCH_KEY].version == version
    hidden.show()
    world.run(15.0)
    assert world.state(live_entry(world), "a1") == "completed"
    check_invariants(world)


# An earlier scheduler had resigned, and its heartbeat was the last readable one.
@pytest.mark.parametrize("is_resigned", [False, True])
def test_heartbeats_that_cannot_be_read_show_a_live_scheduler(is_resigned):
    world = make_graph_world()
    if is_resigned:
        last = work.HeartbeatRecord(1, 1, resigned=True)
        world.kill(world.scheduler())
        value = work.records.encode(last)
        world.table.write([], [Put(work.HEARTBEAT_KEY, value)])
    number = replace_epoch(world)
    for count in range(20):
        value = b'{"beat":%d}' % count
        world.table.write([], [Put(work.HEARTBEAT_KEY, value)])
        world.run(0.5)
    assert world.scheduler() is None
    epoch = world.table.rows[work.EPOCH_KEY].value
    assert epoch.startswith(b"[%d," % number)
    world.run(8.0)
    assert world.scheduler() is not None


# A belief that a later build has stored is not replaced by one of this build.
def test_unreadable_speed_of_a_worker_is_not_overwritten():
    world = make_graph_world(workers=1)
    key = work.speed_key("w0")
    world.table.write([], [Put(key, b'{"speed":"fast"}')])
    version = world.table.rows[key].version
    for number in range(4):
        world.submit("e0", f"a{number}", [{**STEP, "estimated-ms": 3000}] * 2)
    world.run(20.0)
    assert world.table.rows[key].version == version
    assert world.state("e0", "a0") == "completed"


# Starts may have been sent to the address that the row names.
def test_nothing_is_started_on_a_worker_whose_place_cannot_be_read():
    world = make_graph_world(workers=1)
    hidden = take_over(world, [work.place_key("w0")])
    entry = live_entry(world)
    world.submit(entry, "a1", [STEP])
    world.run(4.0)
    assert starts(world) == []
    hidden.show()
    world.run(4.0)
    assert world.state(entry, "a1") == "completed"


# Its agent would lose its authority to extend the lease, and with it the run.
def test_run_goes_on_at_a_worker_whose_announcement_cannot_be_read():
    world = make_graph_world(workers=1)
    begin_second_step(world)
    key = work.worker_key("w0")
    announce_unreadably(world, "w0")
    take_over(world, [key])
    world.run(12.0)
    assert world.table.rows[key].value == LATER
    assert world.state(live_entry(world), "a1") == "completed"
    assert ends(world) == ["a1.0.0.0", "a1.0.1.0"]


def test_last_readable_configuration_stays_in_force_at_a_takeover():
    world = make_graph_world(guaranteed=8)
    world.operator_table.write([], [Put("config", b'{"version":"next"}')])
    world.kill(world.scheduler())
    world.run(3.0)
    entry = live_entry(world)
    operations = world.nodes[entry].process.operations
    assert operations.guarantees == {"acct": 8}
    assert world.submit(entry, "a1", [STEP]).kind == answers.ACCEPTED
    world.run(4.0)
    assert world.state(entry, "a1") == "completed"


# Entries that have never read a configuration accept nothing, and go on with what is.
def test_accepted_work_goes_on_while_no_configuration_can_be_read():
    world = make_graph_world()
    begin_second_step(world)
    good = world.operator_table.rows["config"].value
    world.operator_table.write([], [Put("config", b'{"version":"next"}')])
    take_over(world, [])
    entry = live_entry(world)
    assert world.submit(entry, "b1", [STEP]).kind == answers.NOT_DONE
    world.run(9.0)
    assert ends(world) == ["a1.0.0.0", "a1.0.1.0"]
    world.operator_table.write([], [Put("config", good)])
    world.run(1.0)
    assert world.state(entry, "a1") == "completed"
    assert world.submit(entry, "b1", [STEP]).kind == answers.ACCEPTED


@pytest.mark.parametrize("seed", range(8))
def test_no_task_is_done_twice_whatever_rows_are_hidden(seed):
    world = make_graph_world(seed=seed)
    chance = random.Random(seed)
    gang = {**STEP, "count": 3, "gang": True, "gpu": 2, "estimated-ms": 5000}
    jobs = [f"a{number}" for number in range(8)]
    hidden = []
    for number, job_id in enumerate(jobs):
        steps = [[STEP, SECOND], [gang], [{**STEP, "count": 4}, SECOND]][number % 3]
        world.submit(live_entry(world), job_id, steps)
        for _ in range(2):
            world.run(chance.uniform(0.2, 2.0))
            event = chance.choice(["hide", "hide", "show", "kill", "agent", "forget"])
            if event == "hide":
                row = chance.choice(["job", "progress"])
                key = f"{row}/{chance.choice(jobs[: number + 1])}"
                if key in world.table.rows and world.table.rows[key].value != LATER:
                    hidden.append(HiddenRows(world, [key]))
            elif event == "show" and hidden:
                hidden.pop(chance.randrange(len(hidden))).show()
            elif event == "kill":
                scheduler = world.scheduler()
                world.kill(scheduler)
                world.restart(scheduler)
                world.run_until(world.scheduler, 10.0)
            elif event == "agent":
                name = chance.choice(["w0", "w1", "w2", "w3"])
                world.kill(name)
                world.restart(name)
            else:
                world.table.forget_history()
    world.run(8.0)
    for one in hidden:
        one.show()
    world.run(40.0)
    entry = live_entry(world)
    assert {world.state(entry, job_id) for job_id in jobs} == {"completed"}
    done = sorted(ends(world, runs.DONE))
    assert done == sorted(set(done))
    check_invariants(world)
