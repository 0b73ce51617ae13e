"""A gang of three tasks starts on one executor that fails all that it starts."""

import asyncio
import os

from rig import case
from rig.deployment import job_id

STEP = {
    "count": 3,
    "cpu": 4000,
    "mem-mb": 8000,
    "gpu": 2,
    "estimated-ms": 3000,
    "gang": True,
}
# As long as the longest such disruption of the site.
SICK_S = 6.5


async def play(deployment, trouble):
    """Return how the rule was broken."""
    sick = deployment.executors["side-00"]
    if trouble:
        sick.sicken()
    job = job_id()
    if not await deployment.submit(job, [STEP], "urgent"):
        raise RuntimeError("the job was not accepted")

    async def ended():
        state = await deployment.state(job, "urgent")
        return state if state in ("completed", "failed") else None

    asyncio.get_running_loop().call_later(SICK_S, sick.recover)
    state = await deployment.wait_for(ended, 40, "the job ends")
    await asyncio.sleep(0.5)
    if state == "completed":
        return []
    failed = deployment.found("end", how="failed")
    runs = sorted({one["run"] for one in failed})
    per_task = {}
    for one in failed:
        per_task[one["task"]] = per_task.get(one["task"], 0) + 1
    if max(per_task.values(), default=0) >= 2:
        # Each attempt met a sick executor: the job failed with cause.
        return []
    return [
        f"job {job} is shown as failed; its gang has failed in runs {runs} only, "
        f"ends failed by task: {per_task}, max-attempts 2"
    ]


if __name__ == "__main__":
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    case.main(__file__, play, is_disturbed, executors=11)
