"""Rows of the store that the landing before this one, or an earlier one, reads.

Guards against a job that an entry of an earlier build takes for one that has not begun,
as it cannot read the row of its progress (issue 58). `row_shapes_ae33cb2` holds the
shapes of that build; the rows of this one are collected from worlds in memory, and a
few are compared with bytes that ae33cb2 and be1a70d have written.
"""

import msgspec
import pytest
import row_shapes_ae33cb2 as earlier
from graph_builders import GANG, LONG, STEP, make_record, make_step
from graph_world import make_graph_world

from samphiredeal.entry.graphs import work
from samphiredeal.model import answers
from samphiredeal.model.graph import GraphSpec, JobRecord
from samphiredeal.model.operations import AdviceTerms
from samphiredeal.policy.graphs import records

PLACES = (
    records.PlaceRecord(0, "w0", "i-w0/1"),
    records.PlaceRecord(1, "w1", "i-w1/1"),
)
# Each member fills a worker.
WIDE_GANG = {**GANG, "cpu": 8000, "mem-mb": 8000, "gpu": 8, "estimated-ms": 2000}
LASTING = {**STEP, "count": 1, "long-running": True}
# More units than fit into one row.
LARGE = {"count": 2000, "cpu": 10, "mem-mb": 10, "gpu": 0, "estimated-ms": 3000}
UNEVEN = {"w0": 0.7, "w1": 0.7, "w2": 1.3, "w3": 1.3}


def written_rows(world):
    """Return every row that was written, in order."""
    return [row for row in world.table._records.since(0) if row.version]


def submit(world, job_id, steps, **fields):
    answer = world.submit("e0", job_id, steps, **fields)
    assert answer.kind == answers.ACCEPTED


def play_jobs(world):
    """Run jobs of all kinds to their ends, beside a lost agent and a takeover."""
    for name, speed in UNEVEN.items():
        world.workers[name].speed = speed
    due = {"start-at-ms": int(world.clock.seconds() * 1000) + 500, "interval-ms": 800}
    whole = {**STEP, "cpu": 8000, "mem-mb": 8000, "gpu": 8, "estimated-ms": 6000}
    submit(world, "a0", [{**whole, "count": 4}])
    submit(world, "a1", [{**STEP, "checkpointing": True}, {**STEP, "after": [0]}])
    submit(world, "a2", [STEP], repetitions=3, **due)
    submit(world, "a3", [LASTING])
    submit(world, "a4", [{**GANG, "requirements": "kind", "image": "tool:2"}])
    submit(world, "a5", [{**STEP, "requirements": "nowhere"}])
    world.run(1.0)
    world.wait_for_answer(world.call("e1", answers.CANCEL, "/normal/a5"))
    world.run_until(lambda: world.state("e0", "a4") == "completed", 40.0)
    submit(world, "a6", [LARGE])
    submit(world, "a7", [{**LONG, "count": 1}])
    world.run(4.0)
    cut_agent_off(world)
    world.kill(world.scheduler())
    world.run(20.0)
    entry = world.scheduler()
    world.wait_for_answer(world.call(entry, answers.CANCEL, "/normal/a3"))
    world.run(20.0)
    return entry


def cut_agent_off(world):
    """Cut one agent off from all entries, until it is evicted, and heal the links."""
    name = world.event_log.starts("a7.0.0.0")[-1].worker
    for entry in ("e0", "e1", "e2"):
        world.network.cut(name, entry)
    # The scheduler adds to the row once the leases have expired.
    world.run_until(lambda: f"evicted/{name}" in world.table.rows, 5.0)
    world.run(1.0)
    world.network.heal()


def fail_members(world, job_id, count, step=WIDE_GANG):
    """Run a gang of which `count` members fail in the first run."""
    submit(world, job_id, [step])
    for worker in list(world.workers.values())[:count]:
        worker.faults.fail_starts = 1
    world.run_until(lambda: world.state("e0", job_id) != "queued", 3.0)
    world.run(15.0)
    for worker in world.workers.values():
        worker.faults.fail_starts = 0


@pytest.fixture(scope="module")
def rows():
    """All rows of a world with jobs of all kinds, of which no run fails."""
    world = make_graph_world()
    entry = play_jobs(world)
    states = {f"a{number}": world.state(entry, f"a{number}") for number in range(8)}
    cancelled = dict.fromkeys(("a3", "a5"), "cancelled")
    assert states == {**dict.fromkeys(states, "completed"), **cancelled}
    return written_rows(world)


@pytest.fixture(scope="module")
def rows_of_failures():
    """All rows of a world with gangs of which members fail, beside a takeover."""
    world = make_graph_world()
    for count in (1, 2, 3, 4):
        fail_members(world, f"b{count}", count)
    world.configure(**{"max-attempts": 1})
    world.run(1.0)
    fail_members(world, "b5", 4)
    submit(world, "b6", [WIDE_GANG])
    for worker in world.workers.values():
        worker.faults.fail_starts = 1
    world.run_until(lambda: len(world.event_log.starts("b6.0.0.0")) == 1, 3.0)
    world.run(2.0)
    world.kill(world.scheduler())
    world.run(20.0)
    assert world.state(world.scheduler(), "b5") == "failed"
    return written_rows(world)


def unreadable(rows):
    """Return a line for each row that ae33cb2 cannot read."""
    lines = []
    for row in rows:
        if earlier.kind_of(row.key) not in earlier.KINDS:
            continue
        try:
            earlier.decode(row.key, row.value)
        except ValueError as error:
            lines.append(f"{row.key}: {error}")
    return lines


@pytest.mark.parametrize("kind", earlier.KINDS)
def test_earlier_build_reads_all_rows_of_a_kind(rows, kind):
    own = [row for row in rows if earlier.kind_of(row.key) == kind]
    assert own
    assert unreadable(own) == []


@pytest.mark.parametrize("kind", earlier.KINDS)
def test_rows_without_a_failed_run_are_those_of_the_earlier_build(rows, kind):
    own = [row for row in rows if earlier.kind_of(row.key) == kind]
    assert own
    for row in own:
        record = earlier.decode(row.key, row.value)
        assert earlier.encode(record) == row.value, row.key


def test_rows_are_of_known_kinds(rows, rows_of_failures):
    kinds = {earlier.kind_of(row.key) for row in (*rows, *rows_of_failures)}
    assert kinds - {"cancel"} == set(earlier.KINDS)


def test_played_progress_has_all_forms(rows):
    """The jobs above reach every state, and split rows, so that the tests see them."""
    progress = [
        msgspec.json.decode(row.value) for row in rows if row.key.startswith("progress")
    ]
    states = {one[0] for one in progress if one}
    assert states >= {"running", "completed", "cancelled"}
    assert any(len(one) == 7 for one in progress)
    units = [unit for one in progress if len(one) > 4 for unit in one[4].values()]
    assert any(unit[3] for unit in units)
    assert any(unit[1] for unit in units)


def test_earlier_build_reads_rows_of_failed_runs(rows_of_failures):
    """While members of a failed run may still report, and after it."""
    assert unreadable(rows_of_failures) == []
    stored = [
        record
        for row in rows_of_failures
        if row.key.startswith("progress/b")
        for record in [earlier.decode(row.key, row.value)]
    ]
    units = [unit for record in stored for unit in record.units.values()]
    assert any(unit.failures and unit.places for unit in units)
    assert any(record.state == "failed" for record in stored)


# What ae33cb2 has written for each record, and be1a70d too but for records of units.
GOLDEN = {
    "job": (
        make_record("a1", [make_step()]),
        b'["a1","queue","desk","acct",1,2,3.0,1000,0,["payload",[[1,[1000,1000,1],4000,'
        b'[],false,false,false,"","",0,false,false,"",0,false,0]],0,0,0]]',
    ),
    "job with all fields": (
        make_record(
            "a2",
            [
                make_step(3, 2, gang=True, one_rack=True, data_rack="r1"),
                make_step(
                    2,
                    after=(0,),
                    checkpointing=True,
                    label="kind",
                    spread_limit=1,
                    copies_allowed=True,
                    lasting=True,
                    image="tool:2",
                    target_latency_ms=300,
                    fills=True,
                    may_be_away=1,
                ),
            ],
            advice=AdviceTerms(0.1, 0.01, 5.0),
        ),
        b'["a2","queue","desk","acct",1,2,3.0,1000,0,["payload",[[3,[2000,2000,2],4000,'
        b'[],false,true,true,"","r1",0,false,false,"",0,false,0],[2,[1000,1000,1],4000,'
        b'[0],true,false,false,"kind","",1,true,true,"tool:2",300,true,1]],0,0,0],'
        b"[0.1,0.01,5.0]]",
    ),
    "repeated job": (
        make_record("a3", spec=GraphSpec("payload", (make_step(),), 3, 1000, 500)),
        b'["a3","queue","desk","acct",1,2,3.0,1000,0,["payload",[[1,[1000,1000,1],4000,'
        b'[],false,false,false,"","",0,false,false,"",0,false,0]],3,1000,500]]',
    ),
    "nothing begun": (records.Progress(), b"[]"),
    "units": (
        records.Progress(
            "running",
            begun=True,
            units={
                "0.0.0": records.UnitRecord(1, False, 0, "", PLACES[:1]),
                "0.0.1": records.UnitRecord(2, True, 1, "3.0"),
                "0.1": records.UnitRecord(3, False, 2, "", PLACES),
            },
        ),
        b'["running",true,"",[],{"0.0.0":[1,false,0,"",[[0,"w0","i-w0/1"]]],'
        b'"0.0.1":[2,true,1,"3.0",[]],'
        b'"0.1":[3,false,2,"",[[0,"w0","i-w0/1"],[1,"w1","i-w1/1"]]]}]',
    ),
    "occurrence": (
        records.Progress("running", True, "", (0, 1), {"2.0.0": records.UnitRecord(1)}),
        b'["running",true,"",[0,1],{"2.0.0":[1,false,0,"",[]]}]',
    ),
    "completed": (records.Progress("completed", True), b'["completed",true]'),
    "failed": (
        records.Progress("failed", True, "unit 0.1: no attempt left"),
        b'["failed",true,"unit 0.1: no attempt left"]',
    ),
    "cancelled": (records.Progress("cancelled"), b'["cancelled"]'),
    "split occurrences": (
        records.Progress("running", True, "", (4,), {}, 1001, True),
        b'["running",true,"",[4],{},1001,true]',
    ),
    "split head": (
        records.Progress(
            "running", True, "", (), {"0.0.0": records.UnitRecord(1)}, 0
        )._replace(is_split=True),
        b'["running",true,"",[],{"0.0.0":[1,false,0,"",[]]},0,true]',
    ),
    "rows of units": (
        records.UnitRows(
            {
                "0.0.0": records.UnitRecord(1, False, 0, "", PLACES[:1]),
                "0.0.1": records.UnitRecord(1, True),
            }
        ),
        b'[{"0.0.0":[1,false,0,"",[[0,"w0","i-w0/1"]]],"0.0.1":[1,true,0,"",[]]}]',
    ),
    "speed": (records.SpeedRecord(-223, 80), b"[-223,80]"),
    "unknown speed": (records.SpeedRecord(), b"[]"),
}
# Records that are written with all their fields.
GOLDEN_UNTRIMMED = {
    "epoch": (work.EpochRecord(3, "e0", "00c0ffee"), b'[3,"e0","00c0ffee"]'),
    "beat": (work.HeartbeatRecord(3, 17), b"[3,17,false,0]"),
    "last beat": (work.HeartbeatRecord(3, 17, True, 120_000), b"[3,17,true,120000]"),
    "worker": (work.WorkerRecord("10.0.0.1:7000", "a"), b'["10.0.0.1:7000","a"]'),
    "eviction": (work.EvictionRecord(3, 1), b"[3,1,0]"),
    "expired eviction": (work.EvictionRecord(3, 2, 90_000), b"[3,2,90000]"),
    "place": (work.PlaceRecord("10.0.0.1:7000"), b'["10.0.0.1:7000"]'),
    "entry": (work.EntryRecord("10.0.0.1:7000"), b'["10.0.0.1:7000"]'),
}
# The same from be1a70d, which wrote a sixth field of units: 0, or a failed run.
WRITTEN_BY_BE1A70D = [
    (
        records.Progress,
        b'["running",true,"",[],{"0.0.0":[1,false,0,"",[[0,"w0","i-w0/1"]],0],'
        b'"0.1":[3,false,2,"",[[0,"w0","i-w0/1"],[1,"w1","i-w1/1"]],3]}]',
    ),
    (records.UnitRows, b'[{"0.0.0":[1,false,0,"",[],0],"0.1":[2,false,1,"",[],2]}]'),
]


@pytest.mark.parametrize("name", GOLDEN)
def test_record_is_written_as_by_the_earlier_build(name):
    record, data = GOLDEN[name]
    assert records.encode(record) == data


@pytest.mark.parametrize("name", GOLDEN_UNTRIMMED)
def test_untrimmed_record_is_written_as_by_the_earlier_build(name):
    record, data = GOLDEN_UNTRIMMED[name]
    assert msgspec.json.encode(record) == data


@pytest.mark.parametrize("name", [*GOLDEN, *GOLDEN_UNTRIMMED])
def test_row_of_the_earlier_build_is_read(name):
    record, data = {**GOLDEN, **GOLDEN_UNTRIMMED}[name]
    assert records.decode(data, type(record)) == record


# Guards against the same fault in the other direction: a row that the last landing has
# written, with or without a failed run, cannot be read any more.
@pytest.mark.parametrize(
    ("kind", "data"), WRITTEN_BY_BE1A70D, ids=["progress", "units"]
)
def test_row_of_the_last_landing_is_read(kind, data):
    found = records.decode(data, kind).units
    assert {key: (unit.run, unit.failures) for key, unit in found.items()} == {
        key: (unit[0], unit[2])
        for fields in msgspec.json.decode(data)
        if isinstance(fields, dict)
        for key, unit in fields.items()
    }


def test_records_of_jobs_are_those_of_the_earlier_build():
    assert JobRecord._fields == earlier.JobRecord._fields
