"""What callers are told and what workers run, and the invariants between the two.

`OutsideView` asks every entry that runs for the states of jobs, all the while, and
compares the answers with the history of the workers. It reads nothing inside the
system.
"""

from typing import NamedTuple

from twisted.internet.defer import ensureDeferred

from samphiredeal.model import answers, runs
from samphiredeal.model.answers import Call

ASK_INTERVAL_S = 0.1
# Callers are told a state by rows that are at most this old: the time for which an
# entry answers from memory, with the wait for an end that is about to be stored.
MAX_CONTRADICTION_S = 4.25
_RANKS = {"queued": 0, "running": 1, "completed": 2, "failed": 2, "cancelled": 2}
_HOST, _KEY = "desk.example", "key-1"


class Told(NamedTuple):
    """A state that an entry gave to a caller, and when it was asked and answered."""

    asked_at: float
    at: float
    entry: str
    job: str
    state: str


class OutsideView:
    """Asks all entries of a world for the states of some jobs until it is stopped."""

    def __init__(self, world, job_ids, prefix="/normal/"):
        self._world = world
        self._job_ids = job_ids
        self._prefix = prefix
        self.told = []
        self.refused = []
        self._ask()

    def _ask(self):
        world = self._world
        world.clock.callLater(ASK_INTERVAL_S, self._ask)
        for name, node in list(world.nodes.items()):
            if name not in world.workers and not node.clock.dead:
                for job_id in self._job_ids:
                    node.clock.run(self._call, name, node, job_id)

    def _call(self, name, node, job_id):
        asked_at = self._world.clock.seconds()
        call = Call(
            answers.GET_STATE, _HOST, self._prefix + job_id, _KEY, wait_s=1.0, body=b""
        )

        def answered(answer):
            at = self._world.clock.seconds()
            if answer.state:
                self.told.append(Told(asked_at, at, name, job_id, answer.state))
            elif answer.kind == answers.NO_JOB:
                self.refused.append(Told(asked_at, at, name, job_id, answer.kind))

        asked = ensureDeferred(node.process.call_handler.answer(call))
        asked.addCallback(answered)

    def first_told(self, job_id, state):
        """Return when a caller was first told a state, or None."""
        times = [one.at for one in self.told if (one.job, one.state) == (job_id, state)]
        return min(times, default=None)

    def violations(self):
        """Return a line for each broken invariant."""
        return [
            *self._runs_beside_runs(),
            *self._starts_after_an_end(),
            *self._states_that_fall_back(),
            *self._contradictions(),
            *self._unknown_jobs(),
        ]

    def _runs_beside_runs(self):
        return [
            f"{one.task} run {one.run} at {one.at:.2f} beside another"
            for one in self._world.event_log.overlaps()
        ]

    def _starts_after_an_end(self):
        """Return the starts after an end was recorded or the job was shown as done."""
        log, lines = self._world.event_log, []
        for start in log.starts():
            told_at = self.first_told(start.task.split(".")[0], "completed")
            if told_at is not None and start.at > told_at:
                lines.append(
                    f"{start.task} run {start.run} starts at {start.at:.2f}, "
                    f"its job was shown as completed at {told_at:.2f}"
                )
            for end in log.recorded:
                is_same = (end.task, end.how) == (start.task, runs.DONE)
                if is_same and end.run < start.run:
                    lines.append(
                        f"{start.task} run {start.run} starts at {start.at:.2f}, "
                        f"the end of run {end.run} was recorded at {end.at:.2f}"
                    )
        return lines

    def _states_that_fall_back(self):
        """Return the states of one entry that are followed by an earlier one."""
        lines, newest = [], {}
        for one in sorted(self.told, key=lambda told: (told.at, told.asked_at)):
            key = (one.entry, one.job)
            before = newest.get(key)
            if before is None:
                newest[key] = one
            elif one.asked_at >= before.at:
                if _falls_back(before.state, one.state):
                    lines.append(
                        f"{one.entry} says {one.state} of {one.job} at {one.at:.2f}, "
                        f"{before.state} at {before.at:.2f}"
                    )
                newest[key] = one
        return lines

    def _contradictions(self):
        """Return the states that fall back from what another entry said long before."""
        lines = []
        finals = {}
        for one in sorted(self.told, key=lambda told: told.at):
            if _RANKS[one.state] == 2:
                finals.setdefault(one.job, one)
        for one in self.told:
            final = finals.get(one.job)
            if final is None or one.asked_at < final.at + MAX_CONTRADICTION_S:
                continue
            if _falls_back(final.state, one.state):
                lines.append(
                    f"{one.entry} says {one.state} of {one.job} at {one.at:.2f}, "
                    f"{final.entry} said {final.state} at {final.at:.2f}"
                )
        return lines

    def _unknown_jobs(self):
        return [
            f"{one.entry} does not know {one.job} at {one.at:.2f}"
            for one in self.refused
        ]

    def unfinished(self):
        """Return the jobs whose last known state is not final."""
        last = {one.job: one.state for one in sorted(self.told, key=lambda t: t.at)}
        return [
            job_id for job_id in self._job_ids if _RANKS.get(last.get(job_id), 0) < 2
        ]


def _falls_back(before, state):
    """Return whether a state may not follow another one.

    >>> _falls_back("completed", "running"), _falls_back("queued", "running")
    (True, False)
    """
    is_final = _RANKS[before] == 2
    return _RANKS[state] < _RANKS[before] or (is_final and state != before)
