"""Checks of invariants over the recorded events of a world."""

from samphiredeal.model import verdict


def check_requests(world):
    """Check the verdicts and answers against the executions at the executors."""
    for answered in world.answered:
        outcome = answered.outcome
        runs = world.runs_of(answered.body)
        if outcome.verdict == verdict.RAN:
            assert outcome.body == b"answer to " + answered.body, (
                "another request's answer"
            )
            assert runs, f"{answered.body} did not run, but was answered ran"
        if outcome.verdict == verdict.NOT_RUN:
            before = [run for run in runs if run.at <= answered.at or not answered.key]
            assert not before, f"{answered.body} ran, but was answered not-run"
        if answered.key:
            assert len(runs) <= 1, f"{answered.body} ran {len(runs)} times"


def check_zone_starts(world, zone, out_at, back_at, bound_s):
    """Check that nothing started in a zone later than `bound_s` after it went out."""
    late = [
        run
        for run in world.runs
        if run.zone == zone and out_at + bound_s < run.at < back_at
    ]
    assert not late, f"{len(late)} requests started in {zone}, first {late[0]}"
    tasks = [
        start
        for start in world.task_starts
        if start[2] == zone and out_at + bound_s < start[3] < back_at
    ]
    assert not tasks, f"members started in {zone}: {tasks}"


class GangMonitor:
    """Fails when an attempt runs only part of its members for over `bound_s`."""

    def __init__(self, world, bound_s):
        self._world = world
        self._bound_s = bound_s
        self._partial_since = {}
        self.longest_s = 0.0
        world.watchers.append(self.check)

    def check(self):
        """Check for how long each attempt has run only part of its members."""
        now = self._world.clock.seconds()
        states = {}
        for runtime in self._world.runtimes.values():
            for attempt_id, task in runtime.tasks.items():
                states.setdefault(attempt_id, []).append(task)
        for attempt_id, tasks in states.items():
            members = tasks[0].job["members"]
            running = sum(task.state == "running" for task in tasks)
            done = sum(task.state == "done" for task in tasks)
            whole = (
                running == 0
                or sum(t.count for t in tasks) == members
                and (running + done == len(tasks))
            )
            if whole:
                self._partial_since.pop(attempt_id, None)
                continue
            since = self._partial_since.setdefault(attempt_id, now)
            self.longest_s = max(self.longest_s, now - since)
            assert now - since <= self._bound_s, f"{attempt_id} runs only in part"
