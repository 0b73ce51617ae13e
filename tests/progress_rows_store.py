"""The rows of jobs' progress, written by a `ProgressStore` within its limits."""

from graph_builders import make_facts, make_record, make_scheduler, make_step

from samphiredeal.entry.graphs.progress_store import ProgressStore
from samphiredeal.model.graph import GraphSpec
from samphiredeal.platform.table import Condition, Limits, Put
from samphiredeal.policy.graphs import records
from samphiredeal.policy.graphs.scheduler import GraphScheduler
from samphiredeal.policy.graphs.state import FINAL_STATES

LIMITS = Limits(row_bytes=4_000, write_bytes=30_000, operations=20)
EPOCH = Condition("epoch", 1)
BEAT = Put("beat", b"{}")


class Store:
    """Rows written by a `ProgressStore`, with checks of its limits."""

    def __init__(self, scheduler, limits=LIMITS):
        self.scheduler = scheduler
        self.limits = limits
        self.rows = {}
        self.versions = {}
        self.version = 0
        self.progress = ProgressStore(limits, self.is_end_stored)
        self.writes = 0

    def is_end_stored(self, job_id):
        head = self.rows.get(f"progress/{job_id}")
        progress = records.decode(head, records.Progress) if head else None
        return progress is not None and progress.state in FINAL_STATES

    def write_all(self):
        """Write until nothing is left; return the number of writes."""
        before = self.writes
        while self.write_next():
            pass
        return self.writes - before

    def write_next(self):
        """Make one write; return whether there was anything to write."""
        dirty = self.scheduler.take_dirty()
        batch = self.progress.next_batch(dirty)
        whole = {write.job for write in batch.writes if write.is_whole}
        for job in dirty:
            job.dirty = job not in whole
        if batch.writes:
            self.apply(batch)
        return bool(batch.writes)

    def apply(self, batch):
        """Store a batch and record that it is stored."""
        self.put_rows(batch)
        versions = {put.key: self.version for put in batch.puts}
        self.progress.committed(batch, versions)
        for placement in batch.placements:
            placement.committed = True

    def put_rows(self, batch):
        """Store the rows of a batch, without an answer to the scheduler."""
        puts, deletes = [*batch.puts, BEAT], batch.deletes
        conditions = [EPOCH, *batch.conditions]
        assert max(len(value) for _key, value in puts) <= self.limits.row_bytes
        size = sum(len(value) for _key, value in puts)
        assert size <= self.limits.write_bytes
        assert len(puts) + len(deletes) + len(conditions) <= self.limits.operations
        self.version += 1
        self.writes += 1
        for key, value in puts:
            self.rows[key] = value
            self.versions[key] = self.version
        for key in deletes:
            self.rows.pop(key, None)

    def restored(self, record):
        """Return a new scheduler's state of a job, by its rows."""
        return self.taken_over(record).scheduler.jobs[record.id]

    def taken_over(self, record):
        """Return the same rows with a new scheduler that has loaded them."""
        head = records.decode(self.rows[f"progress/{record.id}"], records.Progress)
        prefix = f"units/{record.id}/"
        rows = {
            key.removeprefix(prefix): records.decode(value, records.UnitRows)
            for key, value in self.rows.items()
            if key.startswith(prefix)
        }
        store = Store(GraphScheduler(), self.limits)
        store.rows, store.versions = self.rows, self.versions
        store.version = self.version
        store.progress.track(record.id, self.version, rows, head.units)
        store.scheduler.add_job(record, records.join(head, rows.values()), 0.0)
        return store


def make_large(count, gang=False, repeats=0, id="a", **fields):
    step = make_step(count, 1, gang=gang, estimate_ms=10_000)
    spec = GraphSpec("payload", (step,), repeats, 0, 1)
    return make_record(id, spec=spec, **fields)


def make_store(*jobs, workers=30, limits=LIMITS):
    names = [f"w{number}" for number in range(workers)]
    scheduler = make_scheduler({name: make_facts(name) for name in names})
    for record in jobs:
        scheduler.add_job(record, None, 0.0)
    scheduler.plan(0.0, 1000)
    return Store(scheduler, limits)
