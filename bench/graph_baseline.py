"""The baseline for job graphs: arrival order, first fit, no preemption."""

from samphiredeal.policy.graphs import fitting
from samphiredeal.policy.graphs.scheduler import GraphScheduler


class FirstFitScheduler(GraphScheduler):
    """A scheduler with the same events as the real one that skips what does not fit."""

    def plan(self, now, wall_ms):
        """Start all units that fit, in order of arrival, on the first workers."""
        for job in self.jobs.values():
            if job.active:
                job.add_due_occurrences(wall_ms)
        self._stop_unwanted_runs(now)
        waiting = self._waiting_units(now)
        waiting.sort(key=lambda unit: (unit.job.record.accepted_ms, unit.job.id))
        for unit in waiting:
            places = self._first_fit(unit)
            if places is not None:
                self._start(unit, places, now)

    def _first_fit(self, unit):
        places, missing = {}, unit.count
        for worker in self.workers.values():
            if missing and fitting.is_allowed(self, unit, worker):
                copies = min(missing, fitting.copies_in(unit, worker, worker.free))
                if copies:
                    places[worker.name] = copies
                    missing -= copies
        return None if missing else places
