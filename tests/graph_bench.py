"""The graph scheduler with simulated workers that apply orders immediately."""

from collections import defaultdict

from graph_builders import make_facts, make_report, make_scheduler

from samphiredeal.model import runs
from samphiredeal.model.runs import Ended, Refused, Running


class Bench:
    """A scheduler and its workers; each `step` advances the time and polls once."""

    def __init__(self, workers):
        self.facts = dict(workers)
        self.scheduler = make_scheduler(self.facts)
        self.now = 0.0
        self.running = {name: {} for name in workers}
        self.completions = {name: [] for name in workers}
        # Runs that were stopped before they had started.
        self.refused = defaultdict(list)
        self.percent = {}
        self.poll_count = 0
        # Workers that have not carried out their stops yet.
        self.stopping_slowly = set()

    def add(self, *records):
        for record in records:
            self.scheduler.add_job(record, None, self.now)

    def step(self, seconds=0.0):
        """Advance the time, report, plan, commit placements and apply orders."""
        self.now += seconds
        self.poll_count += 1
        for name in self.facts:
            self.report(name)
        self.scheduler.plan(self.now, int(self.now * 1000))
        for job in self.scheduler.take_dirty():
            for unit in job.units.values():
                for placement in unit.placements.values():
                    placement.committed = True
        for name in self.facts:
            starts, stops = self.scheduler.orders_for(name, self.now)
            for order in starts:
                self.running[name][(order.task, order.run)] = self.now
            for task, run in () if name in self.stopping_slowly else stops:
                self._stop(name, task, run)
        return self

    def _stop(self, name, task, run):
        if self.running[name].pop((task, run), None) is not None:
            self.end(name, task, run, runs.STOPPED)
        elif (task, run) not in {(e.task, e.run) for e in self.completions[name]}:
            self.refused[name].append(Refused(task, run, runs.STOPPED))

    def report(self, name, refused=(), **fields):
        listed = tuple(
            Running(task, run, "", self.percent.get((name, task), self.poll_count % 90))
            for task, run in self.running[name]
        )
        self.scheduler.apply_report(
            name,
            make_report(
                self.facts[name],
                running=listed,
                ended=tuple(self.completions[name]),
                looks=self.poll_count,
                refused=(*refused, *self.refused[name]),
                **fields,
            ),
            self.now,
        )

    def end(self, name, task, run, how=runs.DONE, checkpoint=""):
        self.running[name].pop((task, run), None)
        number = len(self.completions[name]) + 1
        self.completions[name].append(Ended(number, task, run, how, checkpoint))

    def end_all(self, job_id, how=runs.DONE):
        for name, listed in self.running.items():
            for task, run in list(listed):
                if task.startswith(job_id + "."):
                    self.end(name, task, run, how)

    def places(self, job_id):
        """Return the names of the workers that run a job's tasks, one per task."""
        return sorted(
            name
            for name, listed in self.running.items()
            for task, _run in listed
            if task.startswith(job_id + ".")
        )

    def state(self, job_id):
        return self.scheduler.jobs[job_id].state


def make_workers(count=4, per_rack=2, **fields):
    return {
        f"w{n}": make_facts(f"w{n}", "ab"[n % 2], f"r{n // per_rack}", **fields)
        for n in range(count)
    }
