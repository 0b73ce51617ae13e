"""Jobs of which a stored row cannot be read: nothing of them is started or stopped.

What they have done and where they run is not known. Runs that agents list of them keep
their room; if not even the shape of a run is known, its worker gets no new work. Their
ends stay listed, as a worker forgets the ends that are recorded.
"""

from samphiredeal.model.graph import parse_task_name

# A worker lists 500 ends. Those of the runs that it has already must find room there.
_MAX_LISTED_ENDS = 350


def is_held_task(scheduler, task):
    """Return whether a task, given by its name, belongs to a held job."""
    if not scheduler.held_jobs:
        return False
    name = parse_task_name(task)
    return name is not None and name.job in scheduler.held_jobs


def sort_unplaced_runs(scheduler, worker):
    """Divide a worker's runs without a placement into those held and foreign ones.

    A start that an agent has received may become a run at any time, so pending ones of
    held jobs use room, too.
    """
    unplaced = (run for run in worker.unplaced_runs if run not in worker.placements)
    foreign, held = set(), {}
    for run in unplaced:
        if is_held_task(scheduler, run.task):
            held[run] = _step_of(scheduler, run)
        elif run not in worker.unplaced_pending:
            foreign.add(run)
    worker.foreign_runs = frozenset(foreign)
    worker.set_held_runs(held)
    worker.update_closed()


def check_list(scheduler, worker, report):
    """Give a worker no new work while held ends fill the list of its ends.

    Ends that are not listed would be known only once the held ones are recorded.
    """
    is_long = len(report.ended) > _MAX_LISTED_ENDS
    worker.has_long_list = is_long and any(
        is_held_task(scheduler, ended.task) for ended in report.ended
    )
    worker.update_closed()


def _step_of(scheduler, run):
    """Return the `StepSpec` of a held run, or None if its job cannot be read."""
    name = parse_task_name(run.task)
    record = scheduler.held_jobs[name.job]
    if record is None or name.step >= len(record.spec.steps):
        return None
    return record.spec.steps[name.step]
