"""Jobs: gangs of one or more members, scheduled all or nothing."""

from typing import NamedTuple

from samphiredeal.model.shape import Shape

URGENT = "urgent"
NORMAL = "normal"
CLASSES = (URGENT, NORMAL)

ANYWHERE = "any"
SAME_ZONE = "zone"
SAME_RACK = "rack"
SAME_WORKER = "worker"
ADJACENCIES = (ANYWHERE, SAME_ZONE, SAME_RACK, SAME_WORKER)


class Job(NamedTuple):
    """A job as requested by a caller.

    `members` tasks of `shape` each start together, within one worker, rack or
    zone depending on `adjacency`. `movable` work may be checkpointed and
    preempted. `repeatable` work may be run again after it was started; other work
    is never preempted. `declared_s` is the caller's estimate of the run time.
    """

    id: str
    account: str
    shape: Shape
    members: int = 1
    klass: str = NORMAL
    adjacency: str = ANYWHERE
    selector: str = ""
    movable: bool = True
    repeatable: bool = True
    declared_s: float = 3600.0
    kind: str = ""
    command: str = ""
    labels: dict = {}

    @property
    def total(self):
        """The shape of all members together."""
        return self.shape.times(self.members)


class WorkerInfo(NamedTuple):
    """A worker as announced by its agent."""

    name: str
    zone: str
    rack: str
    capacity: Shape
    labels: tuple = ()
    incarnation: str = ""
