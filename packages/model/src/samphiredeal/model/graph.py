"""Jobs as graphs of steps, where a step may depend on earlier steps.

A job has steps; a step has `count` tasks of one shape. A job may repeat: each
occurrence runs all steps once. A task's name is ``JOB.OCCURRENCE.STEP.INDEX``.

    >>> TaskName("5c0e7a21d94b36f8", 0, 1, 17).text
    '5c0e7a21d94b36f8.0.1.17'
"""

from typing import NamedTuple

from samphiredeal.model.operations import AdviceTerms
from samphiredeal.model.shape import Shape
from samphiredeal.model.untrusted import MAX_INTEGER, MAX_TEXT_CHARS

# Far above the largest job at the target size (128 members, 7,700 tasks).
MAX_STEPS = 200
MAX_TASKS = 10_000
MAX_PAYLOAD_BYTES = 4000
# Above any amount or duration; sums of these still fit into messages.
MAX_AMOUNT = 10**9
# Bounds the state kept for a repeated job, which is planned one window at a time.
MAX_REPEATS = 100_000


class StepSpec(NamedTuple):
    """The tasks of one step; times are in milliseconds.

    `after` holds the numbers of the steps that must complete first. `one_rack`
    requests one rack for all members of a gang, and `data_rack` names the rack
    that holds the data; work placed elsewhere takes longer. At most
    `spread_limit` tasks of one occurrence may share a worker (0: no limit).
    `lasting` tasks run until the job is cancelled. With `fills`, processors are
    not reserved for the tasks. The scheduler may stop at most `may_be_away`
    lasting tasks at one time.
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
    """A job as submitted: an opaque payload and steps, run `repeats` times.

    Occurrence K is due at `first_due_ms` + K * `interval_ms` (Unix time).
    If `repeats` is 0, the steps run once, immediately.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self):
        """The number of times that the steps run."""
        return self.repeats or 1


class JobRecord(NamedTuple):
    """An accepted job as stored; it never changes.

    Attributes of the queue have their values from when the job was accepted.
    `accepted_ms` is Unix time on the accepting entry's clock; if the caller was refused
    before, that of the first try that the entry knows of. If `advice` is set, a worker
    runs a step of the job only with a ticket.
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
        """The name as a string."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


def parse_task_name(text):
    """Return the `TaskName` in a string, or None if it is malformed."""
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskName(parts[0], *map(int, parts[1:]))


def validation_error(spec):
    """Return a message naming the invalid field and value, or None if valid."""
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        return f"payload: more than {MAX_PAYLOAD_BYTES} bytes"
    if not 1 <= len(spec.steps) <= MAX_STEPS:
        return f"steps: {len(spec.steps)} is not 1 to {MAX_STEPS}"
    if sum(step.count for step in spec.steps) > MAX_TASKS:
        return f"steps: more than {MAX_TASKS} tasks"
    if not 0 <= spec.repeats <= MAX_REPEATS:
        return f"repeats: {spec.repeats} is not 0 to {MAX_REPEATS}"
    if not 0 <= spec.first_due_ms <= MAX_INTEGER:
        return f"first due time: {spec.first_due_ms} is not 0 to {MAX_INTEGER}"
    if not 0 <= spec.interval_ms <= MAX_INTEGER:
        return f"interval: {spec.interval_ms} is not 0 to {MAX_INTEGER}"
    for number, step in enumerate(spec.steps):
        error = _step_error(number, step)
        if error:
            return f"steps[{number}].{error}"
    return None


def _step_error(number, step):
    if not 1 <= step.count <= MAX_TASKS:
        return f"count: {step.count} is not 1 to {MAX_TASKS}"
    amounts = [("shape", amount) for amount in step.shape]
    amounts += [
        ("estimate", step.estimate_ms),
        ("spread limit", step.spread_limit),
        ("target latency", step.target_latency_ms),
        ("tasks away", step.may_be_away),
    ]
    for name, amount in amounts:
        if not 0 <= amount <= MAX_AMOUNT:
            return f"{name}: {amount} is not 0 to {MAX_AMOUNT}"
    for text in (step.label, step.data_rack, step.image):
        if len(text) > MAX_TEXT_CHARS:
            return f"text: longer than {MAX_TEXT_CHARS} characters"
    for earlier in step.after:
        if not 0 <= earlier < number:
            return f"after: {earlier} is not an earlier step"
    return None
