"""Outages of the store for all callers at once, and losses within and after them.

The store becomes silent; entries are killed one after another or at once, workers
crash, agents are killed with them, or everything at once. What was lost starts again
in the silence or after it. Losses come in series and overlap. Jobs are submitted
shortly before each silence, so that some end within it.
"""

import collections
import concurrent.futures
import threading
import time
from typing import NamedTuple

JOB = "job"
SILENCE = "silence"
PROCESS = "process"
CRASH = "crash"
STORE = "store"
_FIRST_WITHIN_S = (1.5, 4.0)
_SILENCE_S = (1.0, 6.0)
_MIN_BETWEEN_S = 1.0
_MEAN_BETWEEN_S = 4.0
_JOBS_BEFORE_S = (0.3, 1.2)
_JOB_COUNTS = (2, 6)
_RUN_S = (0.5, 5.0)
# From the beginning of the silence until some time after its end.
_LOSS_AFTER_S = 0.8
_LOSS_AFTER_RETURN_S = 0.6
_IN_TURN_S = (0.05, 0.8)
_DOWN_S = (0.1, 3.0)
_MAX_WORKER_DOWN_S = 4.0
_MAX_BORN_OFFSET_MS = 9000
_LOSS_COUNTS = (0, 1, 1, 1, 2)


class Step(NamedTuple):
    """The beginning or end of a fault, in seconds after the beginning of the plan.

    Those of kind `CRASH` and `JOB` have no end. `arguments` are those of the worker's
    `restart`, or the id and the document of a job.
    """

    at_s: float
    kind: str
    name: str
    begins: bool = True
    arguments: dict | None = None


def plan_outages(chosen, seconds, entries, workers, job_step):
    """Return the steps of all outages that begin within some seconds, in order.

    `chosen` is the random source; `entries` and `workers` are names, and `job_step` is
    the step of a job without the count of its tasks.
    """
    steps, at_s = [], chosen.uniform(*_FIRST_WITHIN_S)
    while at_s < seconds:
        silent_s = chosen.uniform(*_SILENCE_S)
        for _ in range(chosen.randint(*_JOB_COUNTS)):
            steps.append(_submit(chosen, at_s, entries, job_step))
        steps.append(Step(at_s, SILENCE, STORE))
        steps.append(Step(at_s + silent_s, SILENCE, STORE, begins=False))
        for _ in range(chosen.choice(_LOSS_COUNTS)):
            after_s = chosen.uniform(_LOSS_AFTER_S, silent_s + _LOSS_AFTER_RETURN_S)
            lose = chosen.choice(_LOSSES)
            steps += lose(chosen, at_s + after_s, entries, workers)
        at_s += silent_s + max(_MIN_BETWEEN_S, chosen.expovariate(1 / _MEAN_BETWEEN_S))
    return sorted(steps, key=lambda step: step.at_s)


def _submit(chosen, at_s, entries, job_step):
    """Return the step of a job that is submitted shortly before a time."""
    document = {
        "spec": str(round(chosen.uniform(*_RUN_S), 1)),
        "steps": [{**job_step, "count": chosen.randint(1, 2)}],
    }
    arguments = {"id": f"{chosen.getrandbits(64):016x}", "document": document}
    at_s -= chosen.uniform(*_JOBS_BEFORE_S)
    return Step(at_s, JOB, chosen.choice(entries), arguments=arguments)


def _kill(chosen, at_s, name):
    """Return the steps of a process that is killed and starts again."""
    end_s = at_s + chosen.uniform(*_DOWN_S)
    return [Step(at_s, PROCESS, name), Step(end_s, PROCESS, name, begins=False)]


def _crash(chosen, at_s, worker):
    """Return the step of a worker that crashes, under its own id or another one."""
    worker_id = f"i-{worker}"
    if chosen.random() < 0.5:
        worker_id += f"-o{chosen.randrange(10**6)}"
    down_s = chosen.choice((0.05, chosen.uniform(0.05, _MAX_WORKER_DOWN_S)))
    born_offset_ms = chosen.randint(1, _MAX_BORN_OFFSET_MS)
    arguments = {"id": worker_id, "born_offset_ms": born_offset_ms, "down_s": down_s}
    return [Step(at_s, CRASH, worker, arguments=arguments)]


def _lose_entries_in_turn(chosen, at_s, entries, _workers):
    steps = []
    for name in chosen.sample(entries, len(entries)):
        steps += _kill(chosen, at_s, name)
        at_s += chosen.uniform(*_IN_TURN_S)
    return steps


def _lose_entries_at_once(chosen, at_s, entries, _workers):
    return [step for name in entries for step in _kill(chosen, at_s, name)]


def _lose_workers(chosen, at_s, _entries, workers):
    lost = chosen.sample(workers, chosen.randint(1, len(workers)))
    steps = [step for name in lost for step in _crash(chosen, at_s, name)]
    if chosen.random() < 0.5:
        for name in lost:
            steps += _kill(chosen, at_s, f"agent-{name}")
    return steps


def _lose_entries_and_workers(chosen, at_s, entries, workers):
    lose = chosen.choice((_lose_entries_at_once, _lose_entries_in_turn))
    return [
        *lose(chosen, at_s, entries, workers),
        *_lose_workers(chosen, at_s, entries, workers),
    ]


def _lose_power(chosen, at_s, entries, workers):
    names = [*entries, *(f"agent-{name}" for name in workers)]
    steps = [step for name in names for step in _kill(chosen, at_s, name)]
    return steps + [step for name in workers for step in _crash(chosen, at_s, name)]


_LOSSES = (
    _lose_entries_in_turn,
    _lose_entries_at_once,
    _lose_workers,
    _lose_entries_and_workers,
    _lose_power,
)


class Outages:
    """Takes the steps of a plan in a thread of its own.

    `begin` and `end` map the kind of a step to a function of the step.
    """

    def __init__(self, steps, begin, end):
        self._steps = steps
        self._begin = begin
        self._end = end
        self._stopping = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(max_workers=1)
        self._run_ended = None

    def start(self):
        """Begin the plan."""
        self._run_ended = self._pool.submit(self._run)

    def stop(self):
        """End all faults that have begun; raise the error of a step that failed."""
        self._stopping.set()
        self._pool.shutdown()
        if self._run_ended is not None:
            self._run_ended.result()

    def _run(self):
        zero = time.monotonic()
        begun = collections.Counter()
        for step in self._steps:
            self._stopping.wait(max(0.0, zero + step.at_s - time.monotonic()))
            if step.begins and not self._stopping.is_set():
                begun[step.name] += 1
                self._begin[step.kind](step)
            elif not step.begins and begun[step.name]:
                begun[step.name] -= 1
                self._end[step.kind](step)
