"""Job rows in the table: the submitted jobs and their final states.

``job/<region>/<id>`` holds an active job, ``done/<region>/<id>`` an ended one.
A job is moved from one to the other in one transaction.
"""

from typing import NamedTuple

import msgspec
from twisted.internet.task import deferLater

from samphiredeal.model.job import Job
from samphiredeal.model.shape import Shape
from samphiredeal.platform.table import (
    Committed,
    Condition,
    Conflict,
    Put,
    Row,
    Unavailable,
    scan_all,
    write_until_resolved,
)

SUBMIT_TIMEOUT_S = 3.0
_FINISH_RETRY_S = 1.0


class JobRecord(NamedTuple):
    """The content of a job's row; `state` is ``active`` or the final state.

    `submitted_at` is wall-clock time in seconds, from which a new scheduler
    computes how long the job has waited.
    """

    job: Job
    state: str = "active"
    reason: str = ""
    attempt: str = ""
    cancelled: bool = False
    nonce: str = ""
    submitted_at: float = 0.0


class StoredJob(NamedTuple):
    """A job's record with its row's version."""

    version: int
    record: JobRecord


def encode_job(job):
    """Return a job as JSON bytes."""
    return msgspec.json.encode(job._asdict())


def decode_job(data):
    """Return the job from the bytes that `encode_job` returned."""
    return job_from_dict(msgspec.json.decode(data))


def job_from_dict(fields):
    """Return a job from its fields, with the shape as a list.

    Fields that are not the job's, such as an attempt's progress, are left out.
    """
    known = {name: fields[name] for name in Job._fields if name in fields}
    return Job(**{**known, "shape": Shape(*fields["shape"])})


class JobStore:
    """The job rows of one region."""

    def __init__(self, clock, table, region):
        self._clock = clock
        self._table = table
        self._region = region

    def _active_key(self, job_id):
        return f"job/{self._region}/{job_id}"

    def _done_key(self, job_id):
        return f"done/{self._region}/{job_id}"

    async def submit(self, job, nonce, submitted_at=0.0):
        """Write a job's row if its id is new.

        Return the stored `JobRecord`, which is another job's if the id was in use,
        or an `Unavailable`, after which the job may or may not be stored.
        """
        record = JobRecord(job, nonce=nonce, submitted_at=submitted_at)
        answer = await write_until_resolved(
            self._clock,
            self._table,
            [
                Condition(self._active_key(job.id), 0),
                Condition(self._done_key(job.id), 0),
            ],
            [Put(self._active_key(job.id), _encode(record))],
            give_up_at=self._clock.seconds() + SUBMIT_TIMEOUT_S,
        )
        if isinstance(answer, Committed):
            return record
        if isinstance(answer, Conflict):
            found = await self.read(job.id)
            return found.record if isinstance(found, StoredJob) else found
        return answer

    async def read(self, job_id):
        """Return the `StoredJob`, None if there is none, or an `Unavailable`."""
        for key in (self._active_key(job_id), self._done_key(job_id)):
            row = await self._table.read(key)
            if isinstance(row, Unavailable):
                return row
            if row.version:
                return StoredJob(row.version, _decode(row.value))
        return None

    async def list(self, state, after, limit):
        """Return a page of records after an id, or an `Unavailable`."""
        prefix = self._active_key("") if state == "active" else self._done_key("")
        page = await self._table.scan(prefix, prefix + after if after else "", limit)
        if isinstance(page, Unavailable):
            return page
        return [_decode(row.value) for row in page]

    async def all_active(self):
        """Return the records of all active jobs, or an `Unavailable`."""
        rows = await scan_all(self._table, self._active_key(""))
        if isinstance(rows, Unavailable):
            return rows
        return [_decode(row.value) for row in rows]

    async def cancel(self, job_id):
        """Mark a job as cancelled; return its record, None or an `Unavailable`."""
        return await self._update(job_id, lambda r: r._replace(cancelled=True))

    async def record_attempt(self, job_id, attempt_id):
        """Write the attempt of a job that is not repeatable before it starts."""
        return await self._update(job_id, lambda r: r._replace(attempt=attempt_id))

    async def finish(self, job_id, state, reason):
        """Move a job to the ended ones; retry until this is stored."""
        while True:
            found = await self.read(job_id)
            if found is None or (
                isinstance(found, StoredJob) and found.record.state != "active"
            ):
                return
            if isinstance(found, StoredJob):
                record = found.record._replace(state=state, reason=reason)
                answer = await self._table.write(
                    [Condition(self._active_key(job_id), found.version)],
                    [Put(self._done_key(job_id), _encode(record))],
                    [self._active_key(job_id)],
                )
                if isinstance(answer, Committed):
                    return
            await deferLater(self._clock, _FINISH_RETRY_S)

    async def _update(self, job_id, change):
        """Change an active job's record; retry after a conflict."""
        while True:
            found = await self.read(job_id)
            if not isinstance(found, StoredJob) or found.record.state != "active":
                return found.record if isinstance(found, StoredJob) else found
            record = change(found.record)
            key = self._active_key(job_id)
            answer = await self._table.write(
                [Condition(key, found.version)], [Put(key, _encode(record))]
            )
            if isinstance(answer, Committed):
                return record
            if isinstance(answer, Unavailable):
                check = await self._table.read(key)
                if isinstance(check, Row) and check.value == _encode(record):
                    return record
                return answer


def _encode(record):
    fields = record._asdict()
    fields["job"] = record.job._asdict()
    return msgspec.json.encode(fields)


def _decode(value):
    fields = msgspec.json.decode(value)
    return JobRecord(**{**fields, "job": job_from_dict(fields["job"])})
