"""A serving step loses its last task to urgent work, while the other one is gone."""

import asyncio

from rig import case
from rig.deployment import BOUNDS, job_id

# What differs from the site hanbit-gig.
BOUNDS.update(
    {
        "max-hold-ms": 10000,
        "stop-timeout-ms": 900,
        "checkpoint-interval-s": 0.5,
        "restore-ms": 600,
        "reclaim-ms": 3400,
    }
)
NOTICE_S = 4.5
# Three of the eleven executors have this label, and each task fills one of them.
STEP = {"cpu": 8000, "mem-mb": 4000, "gpu": 8, "requirements": "r2"}
SERVING = {**STEP, "count": 2, "long-running": True, "may-miss": 1}
BATCH = {**STEP, "count": 1, "estimated-ms": 60_000}
URGENT = {**STEP, "count": 1, "estimated-ms": 3000}
# How long the first two are at work before the disruption.
AT_WORK_S = 6.0
# How long the executor is gone before the urgent job is handed in.
GONE_S = NOTICE_S + 0.4


async def play(deployment, trouble):
    """Return how the rule was broken."""
    # The urgent job is within the guarantee.
    deployment.configure(guaranteed_gpus=8)
    await asyncio.sleep(BOUNDS["config-apply-ms"] / 1000)
    batch, serving, urgent = job_id(), job_id(), job_id()
    for job, step in ((batch, BATCH), (serving, SERVING)):
        await submit(deployment, job, step, "normal")
        await deployment.wait_for(
            lambda job=job, step=step: len(hosts(deployment, job)) == step["count"],
            10,
            "the tasks run",
        )
    await asyncio.sleep(AT_WORK_S)
    if trouble:
        await hosts(deployment, serving)[0].close()
    await asyncio.sleep(GONE_S)
    await submit(deployment, urgent, URGENT, "urgent")
    await asyncio.sleep(6)
    return [
        f"{end['task']} was stopped at {end['at']:.2f} s, while "
        f"{lost['task']} was not at work, since {lost['at']:.2f} s"
        for end in deployment.found("end", how="stopped")
        for lost in deployment.found("lost")
        if is_of(serving, end)
        and is_of(serving, lost)
        and lost["task"] != end["task"]
        and end["at"] - lost["at"] >= NOTICE_S
        and not is_started_between(deployment, lost, end)
    ]


async def submit(deployment, job, step, queue):
    """Submit a job; raise RuntimeError if it is not accepted."""
    if not await deployment.submit(job, [step], queue):
        raise RuntimeError("a job was not accepted")


def hosts(deployment, job):
    """Return the executors that run tasks of a job."""
    return [
        one
        for one in deployment.executors.values()
        if any(name.startswith(job) for name in one.running)
    ]


def is_of(job, event):
    """Return whether an event is of a job's task."""
    return event["task"].startswith(job)


def is_started_between(deployment, lost, end):
    """Return whether a lost task was started again before the end of another one."""
    starts = deployment.found("start", task=lost["task"])
    return any(lost["at"] < start["at"] < end["at"] for start in starts)


if __name__ == "__main__":
    case.main(__file__, play, executors=11)
