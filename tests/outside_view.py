"""What callers are told and what workers run, and the invariants between the two.

`OutsideView` asks every entry that runs for the states of jobs, all the while, and
compares the answers with the history of the workers. It reads nothing inside the
system.
"""

import told_states
from told_states import Told
from twisted.internet.defer import ensureDeferred

from samphiredeal.model import answers, runs
from samphiredeal.model.answers import Call

ASK_INTERVAL_S = 0.1
_HOST, _KEY = "desk.example", "key-1"


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
        return told_states.first_told(self.told, job_id, state)

    def violations(self):
        """Return a line for each broken invariant."""
        return [
            *self._runs_beside_runs(),
            *self._starts_after_an_end(),
            *self._states_that_fall_back(),
            *self._contradictions(),
            *told_states.unknown_jobs(self.refused),
        ]

    def _runs_beside_runs(self):
        return [
            f"{one.task} run {one.run} at {one.at:.2f} beside another"
            for one in self._world.event_log.overlaps()
        ]

    def _starts_after_an_end(self):
        """Return the starts after an end was recorded or the job was shown as done."""
        log = self._world.event_log
        lines = told_states.starts_after_completed(self.told, log.starts())
        for start in log.starts():
            for end in log.taken_note_of():
                is_same = (end.task, end.how) == (start.task, runs.DONE)
                if is_same and end.run < start.run:
                    lines.append(
                        f"{start.task} run {start.run} starts at {start.at:.2f}, "
                        f"the end of run {end.run} was recorded at {end.at:.2f}"
                    )
        return lines

    def _states_that_fall_back(self):
        """Return the states of one entry that are followed by an earlier one."""
        return told_states.states_that_fall_back(self.told)

    def _contradictions(self):
        """Return the states that fall back from what another entry said long before."""
        return told_states.contradictions(self.told)

    def unfinished(self):
        """Return the jobs whose last known state is not final."""
        return told_states.unfinished(self.told, self._job_ids)
