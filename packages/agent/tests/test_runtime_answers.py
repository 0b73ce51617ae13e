"""What an agent concludes when the worker runtime refuses a call or does not answer.

A task ends only if the runtime has said so or its lease, no longer renewed, has
expired (`TASK_LEASE_S` of `drivers.py`).
"""

import msgspec
import pytest
from twisted.internet.defer import Deferred, TimeoutError, fail, succeed
from twisted.internet.task import Clock

from samphiredeal.agent.drivers import HttpRuntime
from samphiredeal.agent.members import MemberManager
from samphiredeal.agent.permits import PermitIssuer
from samphiredeal.model.shape import Shape
from samphiredeal.wire.messages import MembersEnded, Reserve, Reserved, Start, Stop

JOB = msgspec.json.encode({"shape": [1, 1, 1], "seconds": 60})


class LeasedTasks:
    """A worker runtime: tasks end once their lease is no longer renewed.

    `start_answer` and `stop_answer` replace its own answers; a stop that is not
    answered by 200 has no effect.
    """

    def __init__(self, clock):
        self.clock = clock
        self.leases = {}
        self.start_answer = self.stop_answer = None

    @property
    def at_work(self):
        now = self.clock.seconds()
        return [task for task, until in self.leases.items() if until > now]

    def call(self, method, path, body, _timeout_s):
        fields = msgspec.json.decode(body)
        _, _, task, *verb = path.split("/") + [""]
        if method == b"PUT":
            self.leases[task] = self.clock.seconds() + fields["lease_s"]
            return self.start_answer or succeed((200, b"{}"))
        if verb[0] == "stop":
            if self.stop_answer is not None:
                return self.stop_answer
            del self.leases[task]
            return succeed((200, b'{"kept_s": 0.0}'))
        return Deferred()


def make_members(clock, tasks):
    """Return a manager beside the runtime, and the messages that it sends."""
    sent = []
    runtime = HttpRuntime(clock, tasks, lambda *ended: None)
    permits = PermitIssuer(clock)
    members = MemberManager(
        clock, permits, Shape(8, 8, 8), runtime, sent.append, lambda: None
    )
    members.on_reserve(Reserve("a1", JOB, 1, 1, 0, 0), 0)
    (reserved,) = [one for one in sent if isinstance(one, Reserved)]
    members.on_start(Start("a1", reserved.permit, 1, 0, 0), 0)
    return members, sent


def check_ends(clock, tasks, sent):
    """Check that no end is reported while the task is at work, and that one is."""
    for _ in range(200):
        ended = [one for one in sent if isinstance(one, MembersEnded)]
        assert not (ended and tasks.at_work)
        clock.advance(0.05)
    assert ended


# Guards against TWICE: a start whose answer was lost counted as failed at once, and the
# attempt began elsewhere while the task ran under its first lease.
def test_start_without_an_answer_is_not_reported_as_failed_within_its_lease():
    clock = Clock()
    tasks = LeasedTasks(clock)
    tasks.start_answer = fail(TimeoutError())
    _members, sent = make_members(clock, tasks)
    check_ends(clock, tasks, sent)


# Guards against TWICE: a stop that the runtime refused, or answered unreadably, counted
# as the end of the task.
@pytest.mark.parametrize("answer", [(503, b""), (429, b""), (200, b"oops")])
def test_stop_that_is_refused_does_not_end_the_task_within_its_lease(answer):
    clock = Clock()
    tasks = LeasedTasks(clock)
    members, sent = make_members(clock, tasks)
    tasks.stop_answer = succeed(answer)
    members.on_stop(Stop("a1", 1, False, 0))
    check_ends(clock, tasks, sent)
