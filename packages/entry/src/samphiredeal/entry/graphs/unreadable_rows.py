"""The rows of the system's table that this build cannot decode.

A job is held while one of its rows is among them: a scheduler that takes such a job for
one that has not begun would stop its runs and start finished tasks again.
"""

from typing import NamedTuple

from eliot import log_message

from samphiredeal.entry.unreadable import log_unreadable_row, reason_of


class Unreadable(NamedTuple):
    """The version of a row that cannot be decoded, and why."""

    version: int
    reason: str


class UnreadableRows:
    """Unreadable rows by key, and the jobs that are held for them.

    `job_of(key)` returns the id of the job to which a row belongs, or an empty string.
    """

    def __init__(self, job_of):
        self._job_of = job_of
        self._rows = {}
        self._rows_of_jobs = {}
        # Rises with each change of the jobs held.
        self.revision = 0

    @property
    def held_jobs(self):
        """The ids of the jobs of which a row is unreadable."""
        return self._rows_of_jobs.keys()

    def __contains__(self, key):
        return key in self._rows

    def names_below(self, prefix):
        """Return the names of the rows whose keys begin with a prefix."""
        return [key[len(prefix) :] for key in self._rows if key.startswith(prefix)]

    def reason_for(self, job_id):
        """Return why a held job's rows cannot be read."""
        key = min(self._rows_of_jobs[job_id])
        return f"{key} cannot be read by this build: {self._rows[key].reason}"

    def has_version(self, row):
        """Return whether this or a newer version of a row is known as unreadable."""
        known = self._rows.get(row.key)
        return known is not None and known.version >= row.version > 0

    def add(self, row, error):
        """Add a row that cannot be decoded, and log it."""
        log_unreadable_row(row, error)
        unreadable = self._rows[row.key] = Unreadable(row.version, reason_of(error))
        job_id = self._job_of(row.key)
        if not job_id:
            return
        self._rows_of_jobs.setdefault(job_id, set()).add(row.key)
        self.revision += 1
        log_message(
            message_type="job_held",
            job=job_id,
            row=row.key,
            version=row.version,
            reason=unreadable.reason,
        )

    def remove(self, key):
        """Remove a row that has been read, or deleted."""
        if self._rows.pop(key, None) is None:
            return
        job_id = self._job_of(key)
        if not job_id:
            return
        rows = self._rows_of_jobs[job_id]
        rows.remove(key)
        if not rows:
            del self._rows_of_jobs[job_id]
        self.revision += 1
        log_message(
            message_type="job_released", job=job_id, row=key, rows_left=len(rows)
        )

    def keep_only(self, keys):
        """Remove all rows but some, which are all rows of the table."""
        for key in [one for one in self._rows if one not in keys]:
            self.remove(key)
