"""One tenant fills the cluster; another one's guaranteed work has to begin in time."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.deployment import (  # noqa: E402
    HANBIT,
    OTHER_KEY,
    run_case,
)

EXECUTORS = 7
GUARANTEED_GPUS = 8
RECLAIM_S = HANBIT.bounds["reclaim-ms"] / 1000
JOBS = 3
TASKS = 4


async def play(deployment, is_disturbed):
    await deployment.start(HANBIT, entries=2, executors=EXECUTORS)
    deployment.configure(GUARANTEED_GPUS)
    await deployment.wait_until_ready()
    # The other tenant uses whatever is idle, at the lowest priority: half of the GPUs
    # with each step.
    gpus = EXECUTORS * HANBIT.capacity["gpu"]
    filling = {"count": gpus // 2, "cpu": 1000, "mem-mb": 512, "gpu": 1}
    filling["long-running"] = True
    steps = [filling] * (2 if is_disturbed else 1)
    document = {"spec": json.dumps({"lasts": True}), "steps": steps}
    await deployment.submit("/late/00000000000000f1", document, key=OTHER_KEY)
    await asyncio.sleep(10.0)
    step = {"count": TASKS, "cpu": 1000, "mem-mb": 512, "gpu": 1, "estimated-ms": 1000}
    document = {"spec": json.dumps({"ms": 1000}), "steps": [step]}
    broken = []
    for number in range(JOBS):
        name = f"00000000000000b{number}"
        status = await deployment.submit(f"/urgent/{name}", document, number)
        accepted_at = deployment.now()
        await asyncio.sleep(RECLAIM_S + 5.0)
        if status != 200:
            continue
        starts = [
            at
            for at, event, fields in deployment.events
            if event == "start" and fields["task"].startswith(name)
        ]
        begun = sum(at - accepted_at <= RECLAIM_S for at in starts)
        if begun < TASKS:
            broken.append(
                f"RECLAIM: job {name}, accepted at {accepted_at:.3f}, had begun "
                f"{begun} of {TASKS} tasks {RECLAIM_S} s later, and {len(starts)} "
                f"by {deployment.now() - accepted_at:.1f} s"
            )
        if number == 0 and not starts:
            # Two jobs together would still be within the guarantee.
            state = (await deployment.call("GET", f"/urgent/{name}")).document
            deployment.record("state", job=name, answer=state)
            await deployment.call("DELETE", f"/urgent/{name}")
    return broken


is_disturbed = os.environ.get("TROUBLE", "1") != "0"
run_case(pathlib.Path(__file__).parent, play, is_disturbed)
