"""Noting which of a worker's runs make progress from look to look."""

from typing import NamedTuple

from samphiredeal.model.runs import RunId

_DONE_PERCENT = 99


class _Progress(NamedTuple):
    """The percentage of a run, since when it is the same, and in how many looks."""

    percent: int
    since: float
    still_looks: int = 0


class ProgressNotes:
    """The progress of all runs that the last look has listed."""

    def __init__(self):
        self._runs = {}
        self._looked_at = 0.0

    @property
    def is_any_still(self):
        """Whether a run has made no progress since the look before the last."""
        return any(
            one.still_looks and one.percent < _DONE_PERCENT
            for one in self._runs.values()
        )

    def clear(self):
        """Forget all runs."""
        self._runs = {}

    def note(self, running, started, looked_at):
        """Take in the runs of a look; `started` gives when runs were started."""
        known, self._runs = self._runs, {}
        self._looked_at = looked_at
        for one in running:
            run = RunId(one.task, one.run)
            # Runs begin with 0 percent when they are started.
            before = known.get(run, _Progress(0, started.get(run, looked_at)))
            if one.percent != before.percent:
                self._runs[run] = _Progress(one.percent, looked_at)
            else:
                looks = before.still_looks + 1
                self._runs[run] = before._replace(still_looks=looks)

    def described(self, running):
        """Return a run of the last look with how long it has stood still."""
        progress = self._runs.get(RunId(running.task, running.run))
        if progress is None or not progress.still_looks:
            return running
        still_ms = int((self._looked_at - progress.since) * 1000)
        return running._replace(still_ms=still_ms, still_looks=progress.still_looks)
