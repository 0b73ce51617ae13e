"""Jobs as graphs: steps of tasks that wait for earlier steps.

A job has steps; a step has `count` tasks of one shape. A job may repeat: each
occurrence runs all steps once. A task's name is ``JOB.OCCURRENCE.STEP.INDEX``.

    >>> TaskName("5c0e7a21d94b36f8", 0, 1, 17).text
    '5c0e7a21d94b36f8.0.1.17'
"""

from typing import NamedTuple

from samphiredeal.model.operations import AdviceTerms
from samphiredeal.model.shape import Shape

# Far above the largest job at the target size (128 members, 7,700 tasks).
MAX_STEPS = 200
MAX_TASKS = 10_000
MAX_PAYLOAD_BYTES = 4000
# A repeated job is planned one window at a time; this bounds its bookkeeping.
MAX_REPEATS = 100_000


class StepSpec(NamedTuple):
    """The tasks of one step; times are in milliseconds.

    `after` holds the numbers of the steps that must be done first. `one_rack`
    asks for all members of a gang on one rack, `data_rack` names the rack where
    the data lies; elsewhere the work takes longer. At most `spread_limit` tasks
    of one occurrence may share a worker (0: no limit). `lasting` tasks run until
    the job is cancelled. `fills` says that the processors are not reserved.
    At most `may_be_away` lasting tasks may be stopped by us at one time.
    """

    count: int
    shape: Shape
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    copies_allowed: bool = False
    lasting: bool = False
    image: str = ""
    target_latency_ms: int = 0
    fills: bool = False
    may_be_away: int = 0


class GraphSpec(NamedTuple):
    """What a caller submits: an opaque payload and steps, run `repeats` times.

    Occurrence K is due at `first_due_ms` + K * `interval_ms` (Unix time).
    `repeats` of 0 means that the steps run once, at once.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self):
        """How many times the steps run."""
        return self.repeats or 1


class JobRecord(NamedTuple):
    """An accepted job as it is stored; it never changes.

    Attributes of the queue are kept as they were when the job was accepted.
    `accepted_ms` is Unix time by the accepting entry's clock. With `advice` a
    worker runs a step of the job only with a ticket.
    """

    id: str
    queue: str
    service: str
    account: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int
    accepted_ms: int
    spec: GraphSpec
    advice: AdviceTerms | None = None


class TaskName(NamedTuple):
    """The name of a task."""

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def text(self):
        """The name as one string."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


def parse_task_name(text):
    """Return the `TaskName` in a string, or None if it is not one."""
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskName(parts[0], *map(int, parts[1:]))


def validation_error(spec):
    """Return what is wrong with a graph, naming field and value, or None."""
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        return f"payload: more than {MAX_PAYLOAD_BYTES} bytes"
    if not 1 <= len(spec.steps) <= MAX_STEPS:
        return f"steps: {len(spec.steps)} is not 1 to {MAX_STEPS}"
    if sum(step.count for step in spec.steps) > MAX_TASKS:
        return f"steps: more than {MAX_TASKS} tasks"
    if not 0 <= spec.repeats <= MAX_REPEATS:
        return f"repeats: {spec.repeats} is not 0 to {MAX_REPEATS}"
    if spec.interval_ms < 0:
        return f"interval: {spec.interval_ms} is negative"
    for number, step in enumerate(spec.steps):
        fault = _step_fault(number, step)
        if fault:
            return f"steps[{number}].{fault}"
    return None


def _step_fault(number, step):
    if not 1 <= step.count <= MAX_TASKS:
        return f"count: {step.count} is not 1 to {MAX_TASKS}"
    if min(step.shape) < 0:
        return f"shape: {tuple(step.shape)} has a negative amount"
    if step.estimate_ms < 0:
        return f"estimate: {step.estimate_ms} is negative"
    if step.spread_limit < 0:
        return f"spread limit: {step.spread_limit} is negative"
    for earlier in step.after:
        if not 0 <= earlier < number:
            return f"after: {earlier} is not an earlier step"
    return None
