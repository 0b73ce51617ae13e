"""What callers are told and what workers run, and the invariants between the two.

`OutsideView` asks every entry that runs for the states of jobs, all the while, and
compares the answers with the history of the workers. A `Caller` hands in or cancels a
job and repeats the call until it is settled. Both read nothing inside the system.
"""

import itertools
from typing import NamedTuple

import told_states
from told_states import MAX_CONTRADICTION_S, Told
from twisted.internet.defer import ensureDeferred

from samphiredeal.model import answers, runs
from samphiredeal.model.answers import Call

ASK_INTERVAL_S = 0.1
# Orders of a scheduler that has not read a cancel yet take effect within this time.
MAX_START_AFTER_CANCEL_S = 3.0
# An entry has told the end of every job within this time before the view is evaluated.
RECENT_S = 1.5
REPEAT_EVERY_S = 0.7
_HOST, _KEY = "desk.example", "key-1"


class Try(NamedTuple):
    """A submission or a cancel at one entry; `answered` has (time in s, answer kind).

    It is empty while there is no answer.
    """

    at: float
    verb: str
    job: str
    answered: list


class Caller:
    """Makes a call at one entry after another, until it is settled or given up.

    It makes at most `most` tries, one each `REPEAT_EVERY_S`; an entry that does not run
    takes none. The tries are recorded in the `OutsideView`.
    """

    def __init__(self, world, view, verb, job_id, body, entries, most=60):
        self._world = world
        self._view = view
        self._verb = verb
        self._job_id = job_id
        self._body = body
        self._entries = itertools.cycle(entries)
        self._left = most
        if verb == answers.SUBMIT:
            view.handed_in.add(job_id)
        self._try()

    def _try(self):
        settled = (answers.ACCEPTED, answers.CANCELLED)
        if self._left <= 0 or self._view.first_answer(self._job_id, settled):
            return
        self._left -= 1
        self._world.clock.callLater(REPEAT_EVERY_S, self._try)
        node = self._world.nodes[next(self._entries)]
        if not node.clock.dead:
            at = self._world.clock.seconds()
            one = Try(at, self._verb, self._job_id, [])
            self._view.tries.append(one)
            node.clock.run(self._call, node, one)

    def _call(self, node, one):
        path = self._view.prefix + self._job_id
        call = Call(self._verb, _HOST, path, _KEY, wait_s=3.0, body=self._body)

        def answered(answer):
            one.answered.append((self._world.clock.seconds(), answer.kind))

        asked = ensureDeferred(node.process.call_handler.answer(call))
        asked.addCallback(answered)


class OutsideView:
    """Asks all entries of a world for the states of some jobs until it is stopped."""

    def __init__(self, world, job_ids, prefix="/normal/"):
        self._world = world
        self._job_ids = job_ids
        self.prefix = prefix
        self.told = []
        # The submissions and cancels of `Caller`s, and the jobs that they hand in; the
        # others were accepted before.
        self.tries = []
        self.handed_in = set()
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
            answers.GET_STATE, _HOST, self.prefix + job_id, _KEY, wait_s=1.0, body=b""
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

    def first_answer(self, job_id, kinds):
        """Return when a try for a job was first answered by one of `kinds`, or None."""
        times = [
            at
            for one in self.tries
            if one.job == job_id
            for at, kind in one.answered
            if kind in kinds
        ]
        return min(times, default=None)

    def violations(self):
        """Return a line for each broken invariant."""
        return [line for _name, line in self.named_violations()]

    def named_violations(self):
        """Return (name of the invariant, line) for each violation."""
        checks = {
            "run beside a run": self._runs_beside_runs,
            "start after an end": self._starts_after_an_end,
            "state falls back": self._states_that_fall_back,
            "entries contradict": self._contradictions,
            "unknown job": self._unknown_jobs,
            "end without runs": self._ends_without_runs,
            "refused job": self._refused_jobs,
            "cancelled job": self._cancelled_jobs,
        }
        return [(name, line) for name, check in checks.items() for line in check()]

    def settled_violations(self):
        """Return (name, line) for what is broken once all faults are over for long."""
        lines = [("unfinished job", job_id) for job_id in self.unfinished()]
        return lines + [("end not told", line) for line in self._ends_not_told()]

    def _runs_beside_runs(self):
        return [
            f"{one.task} run {one.run} at {one.at:.2f} beside another"
            for one in self._world.event_log.overlaps()
        ]

    def _starts_after_an_end(self):
        """Return the starts after an end was recorded or the job was shown as done.

        An end that was recorded later than the start counts too.
        """
        log = self._world.event_log
        lines = told_states.starts_after_completed(self.told, log.starts())
        for start in log.starts():
            for end in log.recorded_in_time():
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
        return told_states.contradictions(self.told, told_states.ALL_STATES)

    def _known_since(self, job_id):
        """Return since when callers know that a job is accepted, or None."""
        if job_id not in self.handed_in:
            return float("-inf")
        times = [one.at for one in self.told if one.job == job_id]
        accepted_at = self.first_answer(job_id, (answers.ACCEPTED,))
        if accepted_at is not None:
            times.append(accepted_at)
        return min(times, default=None)

    def _submissions(self, job_id):
        return [
            one for one in self.tries if (one.verb, one.job) == (answers.SUBMIT, job_id)
        ]

    def _unknown_jobs(self):
        lines = []
        for one in self.refused:
            since = self._known_since(one.job)
            if since is not None and one.asked_at > since:
                lines.append(f"{one.entry} does not know {one.job} at {one.at:.2f}")
        return lines

    def _ends_without_runs(self):
        """Return the jobs that were shown as completed before all tasks were done."""
        lines, done_at = [], {}
        for event in self._world.event_log.events:
            if event.how == runs.DONE:
                done_at.setdefault(event.task, event.at)
        for job_id in self._job_ids:
            told_at = self.first_told(job_id, "completed")
            if told_at is None:
                continue
            steps = self._world.specs[job_id]["steps"]
            for number, step in enumerate(steps):
                for member in range(step["count"]):
                    task = f"{job_id}.0.{number}.{member}"
                    if done_at.get(task, float("inf")) > told_at:
                        lines.append(
                            f"{job_id} is shown as completed at {told_at:.2f}, "
                            f"{task} is not done"
                        )
        return lines

    def _refused_jobs(self):
        """Return what is seen of jobs that no try has handed in."""
        lines = []
        for job_id in self._job_ids:
            tries = self._submissions(job_id)
            kinds = {
                kind
                for one in tries
                for _at, kind in (one.answered or [(one.at, "no answer")])
            }
            if kinds != {answers.NOT_DONE}:
                continue
            for start in self._world.event_log.starts():
                if start.task.split(".")[0] == job_id:
                    lines.append(f"{start.task} starts at {start.at:.2f}, was refused")
            lines += [
                f"{one.entry} says {one.state} of {job_id} at {one.at:.2f}, was refused"
                for one in self.told
                if one.job == job_id
            ]
        return lines

    def _cancelled_jobs(self):
        """Return starts and states that an acknowledged cancel excludes.

        A job that ended before its cancel keeps its end.
        """
        lines = []
        for job_id in self._job_ids:
            cancelled_at = self.first_answer(job_id, (answers.CANCELLED,))
            if cancelled_at is None:
                continue
            at_text = f"cancelled at {cancelled_at:.2f}"
            for start in self._world.event_log.starts():
                late_s = start.at - cancelled_at
                is_same = start.task.split(".")[0] == job_id
                if is_same and late_s > MAX_START_AFTER_CANCEL_S:
                    lines.append(f"{start.task} starts at {start.at:.2f}, {at_text}")
            is_done = all(
                self._is_done_by(f"{job_id}.0.{number}.{member}", cancelled_at)
                for number, step in enumerate(self._world.specs[job_id]["steps"])
                for member in range(step["count"])
            )
            allowed = ("cancelled", "completed") if is_done else ("cancelled",)
            lines += [
                f"{one.entry} says {one.state} of {job_id} at {one.at:.2f}, {at_text}"
                for one in self.told
                if one.job == job_id
                and one.asked_at > cancelled_at + MAX_CONTRADICTION_S
                and one.state not in allowed
            ]
        return lines

    def _is_done_by(self, task, at):
        return any(
            event.task == task and event.how == runs.DONE and event.at <= at
            for event in self._world.event_log.events
        )

    def unfinished(self):
        """Return the accepted jobs whose last known state is not final."""
        accepted = [one for one in self._job_ids if self._known_since(one) is not None]
        return told_states.unfinished(self.told, accepted)

    def _ends_not_told(self):
        """Return the running entries that lately told no end of an accepted job."""
        world, lines = self._world, []
        since = world.clock.seconds() - RECENT_S
        for name, node in world.nodes.items():
            if name in world.workers or node.clock.dead:
                continue
            for job_id in self._job_ids:
                is_told = any(
                    (one.entry, one.job) == (name, job_id)
                    and one.state in told_states.FINAL_STATES
                    for one in self.told
                    if one.at > since
                )
                if not is_told and self._known_since(job_id) is not None:
                    lines.append(f"{name} tells no end of {job_id}")
        return lines
