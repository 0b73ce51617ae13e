"""The jobs of a rolling replacement, and the order of its steps; see `upgrade_roll`."""

import signal
from typing import NamedTuple

MEMBERS = 3
SIGNALS = (signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP)
_STEP = {"count": 3, "cpu": 1000, "mem-mb": 1000, "gpu": 1}
# The members are on workers of their own, and do not wait for each other as on the
# platform. They run for long enough that none is done before all have started, or
# before the scheduler hears that another one has failed.
_GANG = {**_STEP, "count": MEMBERS, "gang": True, "gpu": 4, "anti-affinity": 1}
# More tasks than fit into one row. They are on all workers, so that no agent has many
# starts to make before those of other jobs.
_LARGE = {"count": 1000, "cpu": 10, "mem-mb": 10, "gpu": 0, "anti-affinity": 300}

GANG, LARGE, RUNNING, WAITING, LASTING = "a", "b", "c", "d", "e"
REPEATED, SMALL = "f", "1"


def make_job(kind, now_ms=0):
    """Return the document of a job; the ids of jobs of a kind begin with it."""
    return {
        GANG: lambda: _job(15.0, _GANG),
        LARGE: lambda: _job(5.0, _LARGE, {**_LARGE, "after": [0]}),
        RUNNING: lambda: _job(60.0, _STEP),
        WAITING: lambda: _job(1.0, {**_STEP, "requirements": "nowhere"}),
        LASTING: lambda: _job(600.0, {**_STEP, "count": 1, "long-running": True}),
        REPEATED: lambda: {
            **_job(0.8, _STEP),
            "repetitions": 8,
            "start-at-ms": now_ms,
            "interval-ms": 1500,
        },
        SMALL: lambda: _job(1.5, _STEP, {**_STEP, "after": [0]}),
    }[kind]()


def _job(seconds, *steps):
    estimate = {"estimated-ms": int(seconds * 1000)}
    return {"spec": str(seconds), "steps": [{**step, **estimate} for step in steps]}


def task_names(job_id, document):
    """Return the names of all tasks of a job."""
    return [
        f"{job_id}.{occurrence}.{step}.{index}"
        for occurrence in range(document.get("repetitions", 1))
        for step, fields in enumerate(document["steps"])
        for index in range(fields["count"])
    ]


class Step(NamedTuple):
    """A step of a pass: the name of a method of `Roll`, and its arguments."""

    act: str
    arguments: tuple = ()


def plan_pass(chosen, names, number):
    """Return the steps of a pass in an order drawn from `chosen`; see `Roll`."""
    steps = [Step("replace", (name,)) for name in names]
    steps += [Step("move", (each,)) for each in SIGNALS]
    steps += [Step("cancel", (f"{kind}{number}",)) for kind in (RUNNING, WAITING)]
    steps += [Step("submit", (REPEATED, number)), Step("submit_large", (number,))]
    steps += [Step("fail_gang", (number,)), Step("cancel_ended")]
    return chosen.sample(steps, len(steps))
