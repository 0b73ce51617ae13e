"""What callers, operators and workers are told, and the losses that it has to outlast.

Ends of jobs are in `test_told_ends.py`. Here are the other answers: refusals, accepted
jobs, cancels, states, acknowledged ends and acknowledged heartbeats. Each test lets a
process be lost that alone remembers what an answer rests on.
"""

import contextlib
from io import BytesIO
from types import SimpleNamespace

import msgspec
import pytest
from builders import make_job
from builders import make_world as make_cluster
from graph_world import make_graph_world, set_store_silent
from held_writes import (
    BODY,
    ENTRIES,
    LONG_STEP,
    PATH,
    STEP,
    TASK,
    HeldWrites,
    begin_submission,
    end_silence,
    lose_entry,
    make_world,
    submit,
    submit_into_doubt,
)
from outside_view import OutsideView
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock, deferLater
from twisted.web.test.requesthelper import DummyRequest

from samphiredeal.entry import api, http
from samphiredeal.entry.jobstore import JobStore
from samphiredeal.entry.metrics import Metrics
from samphiredeal.model import answers, runs, verdict
from samphiredeal.model.job import Job
from samphiredeal.model.shape import Shape
from samphiredeal.platform.memory import Faults, MemoryTable
from samphiredeal.platform.memory_worker import Work
from samphiredeal.platform.table import CALL_TIMEOUT_S
from samphiredeal.policy.graphs import reports
from samphiredeal.wire.messages import JobNotice

# Refusals


# Guards against "not accepted and never runs" for a job whose first write the store
# applies later, as the entry that knows of the write is lost, cut off, or new.
@pytest.mark.parametrize("is_answered", [False, True])
@pytest.mark.parametrize("how", ["killed", "restarted", "cut off"])
def test_job_in_doubt_at_a_lost_entry_is_not_refused(how, is_answered):
    world, first, second = make_world()
    held = submit_into_doubt(world, first, is_answered)
    set_store_silent(world, True)
    lose_entry(world, first, how)
    world.run(1.2)
    answer = submit(world, first if how == "restarted" else second)
    end_silence(world, held)
    starts = world.event_log.starts(TASK)
    assert not (answer.kind == answers.NOT_DONE and starts)


# The same where the entry that wrote had the call from another one, and both are lost.
def test_relayed_job_in_doubt_is_not_refused_after_the_loss_of_both_entries():
    world = make_graph_world()
    scheduler = world.scheduler()
    asked, second = (name for name in ENTRIES if name != scheduler)
    world.nodes[asked].faults.down = True
    world.network.cut(asked, second)
    world.run(1.5)
    held = HeldWrites(world, scheduler)
    assert submit(world, asked).kind == answers.UNSETTLED
    set_store_silent(world, True)
    world.kill(asked)
    world.kill(scheduler)
    world.run(1.2)
    answer = submit(world, second)
    end_silence(world, held)
    starts = world.event_log.starts(TASK)
    assert not (answer.kind == answers.NOT_DONE and starts)


# Guards against a refused cancel ("nothing was stored") that takes effect later.
@pytest.mark.parametrize("how", ["killed", "restarted", "cut off"])
def test_cancel_in_doubt_at_a_lost_entry_is_not_refused(how):
    world, first, second = make_world()
    world.submit(second, "a1", [LONG_STEP])
    world.run(1.0)
    held = HeldWrites(world, first)
    world.call(first, answers.CANCEL, PATH)
    world.run_until(lambda: len(held), 0.5)
    set_store_silent(world, True)
    lose_entry(world, first, how)
    world.run(1.2)
    entry = first if how == "restarted" else second
    answer = world.wait_for_answer(world.call(entry, answers.CANCEL, PATH))
    end_silence(world, held)
    is_cancelled = world.state(second, "a1") == "cancelled"
    assert not (answer.kind == answers.NOT_DONE and is_cancelled)


# Guards against a doubt that is dropped by a retry which was refused for its key, and
# so says nothing of the write.
@pytest.mark.parametrize("key", ["key-1", "unknown"])
def test_retry_with_an_unknown_key_does_not_end_a_doubt(key):
    world, first, _second = make_world()
    held = submit_into_doubt(world, first, is_answered=True)
    world.wait_for_answer(world.call(first, answers.SUBMIT, PATH, BODY, key=key))
    set_store_silent(world, True)
    world.run(4.5)
    answer = submit(world, first)
    end_silence(world, held)
    assert world.event_log.starts(TASK)
    assert answer.kind == answers.UNSETTLED


# Guards against a rejection of a call that an entry which was asked before, and did not
# reply, may have carried out: the key is withdrawn in between. Who rejects it is the
# next entry that is asked, or the one that has the call from its caller.
@pytest.mark.parametrize("rejected_by", ["the next", "the first"])
def test_call_without_a_reply_of_one_entry_is_not_rejected_after_that(rejected_by):
    world = make_graph_world()
    scheduler = world.scheduler()
    asked, third = (name for name in ENTRIES if name != scheduler)
    node = world.nodes[asked]
    node.faults.down = True
    if rejected_by == "the first":
        node.operator_table.faults = Faults()
        world.network.cut(asked, third)
    world.run(1.5)
    held = HeldWrites(world, scheduler)
    answers_received = begin_submission(world, asked)
    world.run_until(lambda: len(held), 0.5)
    world.configure(keys=("key-2",))
    answer = world.wait_for_answer(answers_received)
    end_silence(world, held)
    assert world.event_log.starts(TASK)
    assert answer.kind == answers.UNSETTLED


# Guards against "no such job" for one whose submission this entry has in doubt: the job
# may run after its cancel was answered so. A cancel that is in doubt too takes effect
# with the submission.
@pytest.mark.parametrize(
    "verb, state",
    [(answers.CANCEL, "cancelled"), (answers.GET_STATE, "completed")],
)
def test_job_in_doubt_is_not_said_to_be_unknown(verb, state):
    world, first, _second = make_world()
    held = submit_into_doubt(world, first, is_answered=True)
    answer = world.wait_for_answer(world.call(first, verb, PATH))
    assert answer.kind == answers.UNSETTLED
    end_silence(world, held)
    assert world.state(first, "a1") == state
    assert len(world.event_log.starts(TASK)) == (state == "completed")


# A look promises nothing for later: while a submission is pending at the store, an
# entry that does not know of it says that there is no such job, and finds it later.
def test_look_at_another_entry_tells_what_is_stored():
    world, first, second = make_world()
    held = submit_into_doubt(world, first, is_answered=True)
    assert world.state(second, "a1") == answers.NO_JOB
    end_silence(world, held)
    assert world.state(second, "a1") == "completed"
    assert len(world.event_log.starts(TASK)) == 1


# Guards against a start after a caller's cancel was answered with "no such job", while
# the submission was pending at the store.
@pytest.mark.parametrize("is_answered", [False, True])
def test_job_in_doubt_does_not_run_after_its_cancel_was_answered(is_answered):
    world, first, second = make_world()
    held = submit_into_doubt(world, first, is_answered)
    answer = world.wait_for_answer(world.call(second, answers.CANCEL, PATH))
    assert answer.kind in (answers.NO_JOB, answers.CANCELLED)
    world.run(1.0)
    end_silence(world, held)
    assert world.event_log.starts(TASK) == []


# Accepted jobs and cancels


# Guards against an accepted job that rests on a write whose answer was lost: the change
# feed, or the conflict of a second try, has shown the row.
@pytest.mark.parametrize("lost_answers", [1, 2])
def test_job_accepted_without_the_answer_of_the_store_outlasts_all_entries(
    lost_answers,
):
    world, first, _second = make_world()
    world.nodes[first].faults.lose_answers = lost_answers
    assert submit(world, first).kind == answers.ACCEPTED
    for name in ENTRIES:
        world.kill(name)
    for name in ENTRIES:
        world.restart(name)
    world.run(8.0)
    assert world.state(first, "a1") == "completed"
    assert len(world.event_log.starts(TASK)) == 1


# Guards against a job that two entries accept and that runs twice, or by neither: the
# write of the first is applied just before that of the second.
def test_job_accepted_by_a_conflict_with_another_entry_runs_once():
    world, first, second = make_world()
    held = submit_into_doubt(world, first, is_answered=False)
    world.kill(first)
    held.apply()
    assert submit(world, second).kind == answers.ACCEPTED
    world.run(4.0)
    held.apply()
    world.run(4.0)
    assert world.state(second, "a1") == "completed"
    assert len(world.event_log.starts(TASK)) == 1


# Guards against `completed` after `cancelled`: a job has ended, and before its end is
# stored a cancel is acknowledged (inc-twice, found by its review).
@pytest.mark.parametrize("later_s", [0.0, 0.02, 0.05, 0.1, 0.15, 0.2])
def test_cancel_that_is_stored_before_the_end_stays_what_is_told(later_s):
    world, first, second = make_world()
    assert submit(world, first).kind == answers.ACCEPTED
    world.run_until(lambda: world.event_log.starts(TASK), 3.0)
    set_store_silent(world, True)
    world.run_until(lambda: len(world.event_log.events) > 1, 3.0)
    view = OutsideView(world, ["a1"])
    world.run(3.0)
    set_store_silent(world, False)
    world.run(later_s)
    for entry in (first, second):
        world.call(entry, answers.CANCEL, PATH)
    world.run(4.0)
    assert view.violations() == []
    assert view.unfinished() == []


# Guards against a start after a cancel that was acknowledged, if all VMs lose power.
@pytest.mark.parametrize("later_s", [0.0, 0.1, 0.5])
def test_acknowledged_cancel_outlasts_a_loss_of_all_vms(later_s):
    world, first, _second = make_world()
    world.submit(first, "a1", [LONG_STEP])
    world.run_until(lambda: world.event_log.starts(TASK), 3.0)
    answer = world.wait_for_answer(world.call(first, answers.CANCEL, PATH))
    assert answer.kind == answers.CANCELLED
    cancelled_at = world.clock.seconds()
    world.run(later_s)
    for name in list(world.nodes):
        world.kill(name)
    for name in world.workers:
        world.lose_worker(name)
    world.run(1.0)
    for name in list(world.nodes):
        world.restart(name)
    for name in world.workers:
        world.return_worker(name)
    world.run(15.0)
    starts = [e for e in world.event_log.starts(TASK) if e.at > cancelled_at]
    assert starts == []
    assert world.state(first, "a1") == "cancelled"


# Guards against starts long after a cancel was acknowledged, by a scheduler that does
# not hear the store, and so not of the cancel. The bound is that of the users' pages.
@pytest.mark.parametrize("later_s", [0.0, 0.05, 0.3, 1.0])
@pytest.mark.parametrize("is_reset", [False, True])
def test_scheduler_cut_from_the_store_starts_nothing_long_after_a_cancel(
    is_reset, later_s
):
    world, first, _second = make_world()
    scheduler = world.scheduler()
    steps = [{**STEP, "estimated-ms": 400}, {**STEP, "after": [0], "count": 8}]
    world.submit(first, "a1", steps)
    world.run_until(lambda: world.event_log.starts(TASK), 3.0)
    if is_reset:
        for name in world.workers:
            world.network.cut(scheduler, name)
    world.run(later_s)
    world.nodes[scheduler].faults.silent = True
    answer = world.wait_for_answer(world.call(first, answers.CANCEL, PATH))
    assert answer.kind == answers.CANCELLED
    cancelled_at = world.clock.seconds()
    world.run(0.5)
    world.network.heal()
    world.run(15.0)
    late = [e for e in world.event_log.starts() if e.at > cancelled_at + 3.0]
    assert late == []
    assert not world.event_log.overlaps()


# Guards against a second run by a repeat of the submission long after the job's end,
# also if another scheduler has counted the time for which its rows are kept.
@pytest.mark.parametrize("is_replaced", [False, True])
def test_repeated_submission_within_the_time_kept_starts_nothing(is_replaced):
    world = make_graph_world(entries=2, workers=1)
    assert submit(world, "e0").kind == answers.ACCEPTED
    world.run(5.0)
    if is_replaced:
        world.kill(world.scheduler())
    world.run(115.0)
    alive = next(n for n in ("e0", "e1") if not world.nodes[n].clock.dead)
    assert submit(world, alive).kind == answers.ACCEPTED
    world.run(3.0)
    assert len(world.event_log.starts(TASK)) == 1
    assert world.state(alive, "a1") == "completed"


# States


def delay_snapshots(monkeypatch, world, seconds):
    """Let snapshots of the system's rows take longer than other calls.

    A snapshot of many rows takes several calls, and each of them may be slow.
    """
    snapshot = MemoryTable.snapshot

    def delayed(table):
        answer = snapshot(table)
        if table._records is not world.table._records:
            return answer
        return deferLater(world.clock, seconds, lambda: answer)

    monkeypatch.setattr(MemoryTable, "snapshot", delayed)


# Guards against a state that falls back, or a job that is not counted, as told by an
# entry that has the configuration but not yet the system's rows.
@pytest.mark.parametrize("delay_s", [0.5, 1.5])
def test_entry_without_the_rows_tells_no_state_of_its_own(monkeypatch, delay_s):
    world, first, second = make_world()
    assert submit(world, second).kind == answers.ACCEPTED
    world.run(4.0)
    assert world.state(second, "a1") == "completed"
    delay_snapshots(monkeypatch, world, delay_s)
    world.kill(first)
    world.restart(first)
    world.run(0.2)
    answer = world.wait_for_answer(world.call(first, answers.GET_STATE, PATH))
    assert answer.state in ("completed", "")


@pytest.mark.parametrize("delay_s", [0.5, 1.5])
def test_entry_without_the_rows_does_not_count_waiting_jobs(monkeypatch, delay_s):
    world, first, second = make_world()
    for number in range(4):
        job = {**STEP, "cpu": 1000, "gpu": 8, "requirements": "absent"}
        world.submit(second, f"a{number}", [job])
    world.run(2.0)
    count = world.wait_for_answer(world.call(second, answers.GET_STATE, "/normal/"))
    delay_snapshots(monkeypatch, world, delay_s)
    world.kill(first)
    world.restart(first)
    world.run(0.2)
    answer = world.wait_for_answer(world.call(first, answers.GET_STATE, "/normal/"))
    assert answer.kind == answers.NOT_DONE or answer.waiting == count.waiting


# Guards against states by rows of long ago: the store answers an entry in part, so that
# its configuration is new and its other rows are not.
@pytest.mark.parametrize("is_alone", [False, True])
def test_entry_tells_no_state_by_rows_of_long_ago(is_alone):
    world, first, second = make_world()
    assert submit(world, second).kind == answers.ACCEPTED
    world.run_until(lambda: world.state(first, "a1") == "running", 3.0)
    node = world.nodes[first]
    node.operator_table.faults = Faults()
    node.faults.silent = True
    if is_alone:
        lose_entry(world, first, "cut off")
    world.run(8.0)
    assert world.state(second, "a1") == "completed"
    answer = world.wait_for_answer(world.call(first, answers.GET_STATE, PATH))
    assert answer.state in ("completed", "")


# Guards against a state that falls back as an entry cannot ask others any more, and
# answers by its own older rows.
def test_state_that_another_entry_gave_does_not_fall_back():
    world, first, second = make_world()
    world.work_of[TASK] = Work(2.5)
    assert submit(world, second).kind == answers.ACCEPTED
    world.run_until(lambda: world.event_log.starts(TASK), 3.0)
    world.run(0.3)
    set_store_silent(world, True, [first])
    world.run_until(lambda: world.state(second, "a1") == "completed", 3.0)
    assert world.nodes[first].process.view.state_of("a1") == "running"
    assert world.state(first, "a1") == "completed"
    set_store_silent(world, True)
    lose_entry(world, first, "cut off")
    for _ in range(30):
        world.run(0.1)
        assert world.state(first, "a1") in ("completed", answers.NOT_DONE)


# Ends that are acknowledged to workers


# Guards against an end that is acknowledged to its worker before it is stored, if the
# scheduler is replaced around the end (`completions_recorded` is memory).
@pytest.mark.parametrize("killed_at_s", [-0.1, -0.01, 0.01, 0.02, 0.05, 0.1, 0.3])
def test_end_is_stored_before_it_is_acknowledged_around_a_takeover(killed_at_s):
    world, first, _second = make_world()
    assert submit(world, first).kind == answers.ACCEPTED
    world.run_until(lambda: world.event_log.starts(TASK), 3.0)
    world.clock.callLater(1.0 + killed_at_s, world.kill, world.scheduler())
    unstored = []

    def check():
        row = world.table.rows.get("progress/a1")
        if world.event_log.recorded and b"completed" not in row.value:
            unstored.append(world.clock.seconds())

    for _ in range(800):
        world.clock.advance(0.01)
        check()
    assert unstored == []
    assert world.event_log.recorded
    assert world.state(first, "a1") == "completed"
    assert len(world.event_log.starts(TASK)) == 1


# Guards against an end that is acknowledged although its report could not be applied:
# an internal error would let the task start again (inc-twice, found by its review).
@pytest.mark.parametrize("errors", [1, 3, 12])
def test_end_whose_report_fails_to_apply_is_not_acknowledged(monkeypatch, errors):
    world, first, _second = make_world()
    assert submit(world, first).kind == answers.ACCEPTED
    world.run_until(lambda: world.event_log.starts(TASK), 3.0)
    view = OutsideView(world, ["a1"])
    apply, left = reports._apply_completion, [errors]

    def fail_at_first(*arguments):
        left[0] -= 1
        if left[0] >= 0:
            raise RuntimeError("an internal error")
        apply(*arguments)

    monkeypatch.setattr(reports, "_apply_completion", fail_at_first)
    for _ in range(280):
        # The reactor logs what a message's receiver raises.
        with contextlib.suppress(RuntimeError):
            world.run(0.05)
    assert left[0] < 0
    assert view.violations() == []
    assert view.unfinished() == []
    assert len(world.event_log.starts(TASK)) == 1


# Guards against a start beyond the attempts of a task, by the ends that were recorded.
# Here the first end `failed` is listed only after the lease of its worker has expired
# and the run was given up: by the platform's rules it does not count.
def test_task_starts_no_more_after_its_attempts_were_recorded():
    world, first, _second = make_world()
    world.work_of[TASK] = Work(1.0, runs.FAILED)
    assert submit(world, first).kind == answers.ACCEPTED
    world.run_until(lambda: world.event_log.starts(TASK), 3.0)
    worker = world.event_log.starts(TASK)[0].worker
    for name in ENTRIES:
        world.network.cut(worker, name)
    world.run_until(lambda: len(world.event_log.starts(TASK)) == 2, 20.0)
    world.network.heal()
    world.run(15.0)
    log = world.event_log
    acknowledged = [end for end in log.recorded if end.how == runs.FAILED]
    assert len(acknowledged) >= 2
    counted = {end.run for end in log.recorded_in_time() if end.how == runs.FAILED}
    for start in log.starts(TASK):
        ended = [e for e in log.events if e.kind == "end" and e.at <= start.at]
        assert len(counted & {e.run for e in ended if e.how == runs.FAILED}) < 2
    assert world.state(first, "a1") == "failed"


# Guards against occurrences that start early or twice as another scheduler takes over,
# which knows due times and ends from rows only.
@pytest.mark.parametrize("killed_at_s", [1.9, 2.0, 2.02, 2.2, 2.5, 3.1])
def test_due_times_outlast_the_scheduler(killed_at_s):
    world, first, _second = make_world()
    begins_at = world.clock.seconds()
    first_due_ms = round((begins_at + 2.0) * 1000)
    repeated = {"repetitions": 3, "start-at-ms": first_due_ms, "interval-ms": 1000}
    accepted = world.submit(first, "a1", [STEP], **repeated)
    assert accepted.kind == answers.ACCEPTED
    world.clock.callLater(killed_at_s, world.kill, world.scheduler())
    world.run(15.0)
    starts = world.event_log.starts()
    assert sorted(e.task for e in starts) == [f"a1.{n}.0.0" for n in range(3)]
    for start in starts:
        due_at = begins_at + 2.0 + int(start.task.split(".")[1])
        assert start.at >= due_at - 0.25
    assert world.state(first, "a1") == "completed"


# Heartbeats and stop orders


# Guards against starts on a worker whose leaving was acknowledged, if its agent forgets
# that, and a heartbeat from before arrives late. The next heartbeat ends it, within the
# time for which a machine counts as out of touch after the loss of a process (3 s).
@pytest.mark.parametrize("phase_s", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("late_s", [0.05, 0.3, 1.0])
def test_late_heartbeat_after_a_restart_of_the_agent_misleads_it_briefly(
    late_s, phase_s
):
    world = make_graph_world(workers=1)
    worker = world.workers["w0"]
    late = worker.facts
    worker.facts = late._replace(leaving=True, leaving_in_ms=60_000)
    world.run(3.5 + phase_s)
    world.kill("w0")
    world.restart("w0")
    restarted_at = world.clock.seconds()
    node = world.nodes["w0"]
    world.clock.callLater(
        late_s, node.clock.run, node.process.run_manager.record_heartbeat, late, 1
    )
    world.submit("e0", "a1", [STEP])
    world.run(20.0)
    starts = [e for e in world.event_log.starts(TASK) if e.at > restarted_at + 3.0]
    assert starts == []


# Guards against a stop that is forgotten by an agent which restarts before it has
# carried the order out.
@pytest.mark.parametrize("killed_at_s", [0.0, 0.005, 0.02, 0.05, 0.2])
def test_stop_order_outlasts_a_restart_of_the_agent(killed_at_s):
    world, first, _second = make_world()
    world.submit(first, "a1", [{**STEP, "estimated-ms": 30_000}])
    world.run_until(lambda: world.event_log.starts(TASK), 3.0)
    worker = world.event_log.starts(TASK)[0].worker
    world.call(first, answers.CANCEL, PATH)
    world.run_until(lambda: "cancel/a1" in world.table.rows, 0.5)
    cancelled_at = world.clock.seconds()
    for _ in range(round(killed_at_s / 0.005)):
        world.clock.advance(0.005)
    world.kill(worker)
    world.run(0.1)
    world.restart(worker)
    world.run(5.0)
    ends = [e for e in world.event_log.events if e.kind == "end"]
    assert ends
    assert ends[0].at < cancelled_at + 3.0 + 0.2
    assert len(world.event_log.starts(TASK)) == 1


# The HTTP API of callers and operators


class ApiRequest(DummyRequest):
    """A request of the HTTP API; keeps what is answered."""

    too_large = False
    _disconnected = False

    def __init__(self, method, names, body=b""):
        super().__init__(names)
        self.method = method
        self.content = BytesIO(body)

    @property
    def verdict(self):
        """The verdict in the answer's headers."""
        return self.responseHeaders.getRawHeaders(http.VERDICT_HEADER)[0]


def call_api(node, clock, request, resource):
    """Pass a request to one resource of the API."""
    root = api.make_api(node, Metrics("entry", "e0"), clock)
    root.children[b"v1"].children[resource].render(request)
    clock.pump([0.5] * 20)
    assert request.finished


# Guards against "not-run" for a cancel whose write the table may apply later.
def test_cancel_without_an_answer_of_the_table_is_not_told_as_not_run():
    clock = Clock()
    table = MemoryTable(clock)
    jobs = JobStore(clock, table, "r")
    submitted = ensureDeferred(jobs.submit(Job("j1", "a", Shape(1, 1, 1)), "n"))
    clock.pump([0.1] * 10)
    assert submitted.called
    table.faults.lose_answers = 1
    read = table.read
    # The cancel reads two rows before it writes, and reads its own back after that.
    reads = []

    def read_until_written(key):
        reads.append(key)
        if table.faults.lose_answers == 0:
            return table._time_out(CALL_TIMEOUT_S)
        return read(key)

    table.read = read_until_written
    request = ApiRequest(b"DELETE", [b"j1"])
    call_api(SimpleNamespace(jobs=jobs), clock, request, b"jobs")
    assert msgspec.json.decode(table.rows["job/r/j1"].value)["cancelled"]
    assert request.responseCode == 503
    assert request.verdict != b"not-run"


# Guards against "unknown" for the cancel of a job whose submission another entry has in
# doubt: the job runs later.
def test_job_in_doubt_is_cancelled_at_another_entry():
    clock = Clock()
    table = MemoryTable(clock)
    submitting = MemoryTable(clock)
    held = []
    submitting.read = table.read

    def hold(conditions, puts, deletes=()):
        held.append((conditions, puts, deletes))
        return submitting._time_out(CALL_TIMEOUT_S)

    submitting.write = hold
    job = Job("j1", "a", Shape(1, 1, 1))
    ensureDeferred(JobStore(clock, submitting, "r").submit(job, "n"))
    clock.pump([0.5] * 20)
    request = ApiRequest(b"DELETE", [b"j1"])
    call_api(SimpleNamespace(jobs=JobStore(clock, table, "r")), clock, request, b"jobs")
    assert request.responseCode in (202, 404)
    for write in held:
        table._apply(*write)
    row = table.rows.get("job/r/j1")
    assert row is None or msgspec.json.decode(row.value)["cancelled"]


# Guards against "not-run" for a request that fails in the entry after its dispatch.
def test_request_that_fails_after_its_dispatch_is_not_told_as_not_run():
    clock = Clock()
    dispatched = []

    async def serve(request):
        dispatched.append(request)
        raise RuntimeError("the entry fails after the dispatch")

    node = SimpleNamespace(
        config=SimpleNamespace(current=SimpleNamespace(accounts={"halls": {}})),
        new_id=lambda: "r1",
        refusal_reason=lambda: None,
        requests=SimpleNamespace(serve=serve),
    )
    request = ApiRequest(b"POST", [], b"a draft")
    request.requestHeaders.setRawHeaders("Samphiredeal-Account", ["halls"])
    call_api(node, clock, request, b"requests")
    assert dispatched
    assert request.verdict != b"not-run"


# Guards against a change that is told to be in force everywhere by an entry that does
# not know of one that lags.
def test_entry_that_is_cut_off_is_told_to_lag():
    world, change = make_cluster_with_lagging_entry()
    assert "entry-1" in world.nodes["entry-0"].process.lagging(change.revision)


# The one that lags refuses by itself, as nobody confirms its configuration.
def test_entry_that_lags_unseen_runs_nothing():
    world, _change = make_cluster_with_lagging_entry()
    outcomes = world.start_request("entry-1", b"a draft")
    world.run_until(lambda: outcomes, 10.0)
    assert outcomes[0].verdict == verdict.NOT_RUN
    assert world.runs_of(b"a draft") == []


def make_cluster_with_lagging_entry():
    """Return (world, change): entry-1 has not heard of the change for 6 s."""
    world = make_cluster()
    world.store_down(entries=["entry-1"])
    for other in ("entry-0", "entry-2"):
        world.network.cut(other, "entry-1")
    world.run(6.0)
    answer = world.change_and_wait("entry-0", "account", "new", {"weight": 2.0})
    current = world.nodes["entry-1"].process.config.current
    assert current.revision < answer.change.revision
    return world, answer.change


# Guards against a job, or a cancel, that is stored and acknowledged, and of which the
# scheduler never hears: the notice to it is lost with its link.
@pytest.mark.parametrize("lost", [0, 1])
def test_stored_job_of_which_the_notice_is_lost_is_run(lost):
    world = make_cluster(workers=3)
    entry = other_than_scheduler(world)
    job = make_job("j1", declared_s=2.0)
    stored = store(world, entry.jobs.submit(job, "n1", world.clock.seconds()))
    world.network.lose_next += [JobNotice] * lost
    entry.notify_job("submit", job.id, job)
    world.run(30.0)
    assert stored
    assert world.holder().host.scheduler.attempt_of("j1") or is_ended(world, "j1")


@pytest.mark.parametrize("lost", [0, 1])
def test_stored_cancel_of_which_the_notice_is_lost_takes_effect(lost):
    world = make_cluster(workers=3)
    entry = other_than_scheduler(world)
    job = make_job("j1", command="sleep 900")
    store(world, entry.jobs.submit(job, "n1", world.clock.seconds()))
    entry.notify_job("submit", job.id, job)
    world.run(5.0)
    assert store(world, entry.jobs.cancel("j1"))[0].cancelled
    world.network.lose_next += [JobNotice] * lost
    entry.notify_job("cancel", job.id)
    world.run(30.0)
    assert is_ended(world, "j1")


def other_than_scheduler(world):
    """Return an entry that does not hold the scheduler lease."""
    return next(entry for entry in world.entries() if entry.host is None)


def store(world, coroutine):
    """Run a coroutine until it ends; return a list with its result."""
    results = []
    ensureDeferred(coroutine).addCallback(results.append)
    world.run_until(lambda: results, 5.0)
    return results


def is_ended(world, job_id):
    """Return whether the row of an ended job is stored."""
    return any(
        key.startswith("done/") and key.endswith(job_id) for key in world.table.rows
    )
