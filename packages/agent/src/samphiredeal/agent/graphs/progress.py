"""Track which of a worker's runs make progress from poll to poll."""

from typing import NamedTuple

from samphiredeal.model.runs import RunId

_NEARLY_DONE_PERCENT = 99


class _Progress(NamedTuple):
    """The percentage of a run.

    `since` is when it last changed or the run started, and `still_looks` the number
    of polls since then in which it was the same.
    """

    percent: int
    since: float
    still_looks: int = 0


class ProgressTracker:
    """The progress of all runs that the last poll listed."""

    def __init__(self):
        self._runs = {}
        self._polled_at = 0.0

    @property
    def is_any_stalled(self):
        """Whether a run made no progress since the second last poll or its start."""
        return any(
            one.still_looks and one.percent < _NEARLY_DONE_PERCENT
            for one in self._runs.values()
        )

    def clear(self):
        """Forget all runs."""
        self._runs = {}

    def record_poll(self, running, started, polled_at):
        """Record the runs of a poll; `started` maps a run to its start time."""
        previous_runs, self._runs = self._runs, {}
        self._polled_at = polled_at
        for one in running:
            run = RunId(one.task, one.run)
            # A run is at 0 percent when it starts.
            before = previous_runs.get(run, _Progress(0, started.get(run, polled_at)))
            if one.percent != before.percent:
                self._runs[run] = _Progress(one.percent, polled_at)
            else:
                stalled_polls = before.still_looks + 1
                self._runs[run] = before._replace(still_looks=stalled_polls)

    def with_stall(self, running):
        """Return a run of the last poll with the duration of its stall."""
        progress = self._runs.get(RunId(running.task, running.run))
        if progress is None or not progress.still_looks:
            return running
        stall_ms = int((self._polled_at - progress.since) * 1000)
        return running._replace(still_ms=stall_ms, still_looks=progress.still_looks)
