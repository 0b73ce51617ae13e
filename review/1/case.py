"""A large repeated job comes; urgent work within its guarantee has to begin in time."""

import asyncio
import json
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.deployment import HANBIT_LARGE, run_case  # noqa: E402

GUARANTEED_GPUS = 8
# Of `repertoire-check` in the site file: the widest step, the mean one, the most steps,
# the number of occurrences, the seconds between them, and the longest work.
LARGEST_WIDTH = 230
MEAN_WIDTH = 38
MOST_STEPS = 3
OCCURRENCES = 4
INTERVAL_MS = 4500
WORK_MS = 22_000
RECLAIM_S = HANBIT_LARGE.bounds["reclaim-ms"] / 1000
URGENT_JOBS = 9
URGENT_TASKS = 3
LARGE_ID = "00000000000000aa"


def repeated_job(width, steps):
    """Return a job of tasks that are small in resources and save their progress."""
    step = {"count": width, "cpu": 100, "mem-mb": 64, "estimated-ms": WORK_MS}
    step["checkpointing"] = True
    return {
        "spec": json.dumps({"ms": WORK_MS, "saves": True}),
        "steps": [step] * steps,
        "repetitions": OCCURRENCES,
        "start-at-ms": int(time.time() * 1000) + 1000,
        "interval-ms": INTERVAL_MS,
    }


async def play(deployment, is_disturbed):
    await deployment.start(HANBIT_LARGE, entries=2, executors=6)
    deployment.configure(GUARANTEED_GPUS)
    await deployment.wait_until_ready()
    size = (LARGEST_WIDTH, MOST_STEPS) if is_disturbed else (MEAN_WIDTH, 1)
    await deployment.submit(f"/late/{LARGE_ID}", repeated_job(*size))
    broken = []
    urgent = {"count": URGENT_TASKS, "cpu": 1000, "mem-mb": 512, "gpu": 1}
    urgent["estimated-ms"] = 1000
    job = {"spec": json.dumps({"ms": 1000}), "steps": [urgent]}
    for number in range(URGENT_JOBS):
        name = f"{0xB0 + number:016x}"
        status = await deployment.submit(f"/urgent/{name}", job, number)
        accepted_at = deployment.now()
        await asyncio.sleep(RECLAIM_S + 1.5)
        if status != 200:
            continue
        starts = [
            at
            for at, event, fields in deployment.events
            if event == "start" and fields["task"].startswith(name)
        ]
        begun = sum(at - accepted_at <= RECLAIM_S for at in starts)
        if begun < URGENT_TASKS:
            broken.append(
                f"RECLAIM: job {name}, accepted at {accepted_at:.3f}, had begun "
                f"{begun} of {URGENT_TASKS} tasks {RECLAIM_S} s later"
            )
    last = max(at for at, event, _ in deployment.events if event == "start")
    deployment.record("last start of any task", at=round(last, 3))
    row = deployment.store.value_of(f"progress/{LARGE_ID}") or b""
    deployment.record("row of the large job", bytes=len(row))
    refused = deployment.store.refused_writes
    deployment.record("writes too large", count=len(refused))
    for _, key, size in refused[:3]:
        deployment.record("write too large", key=key, bytes=size)
    return broken


is_disturbed = os.environ.get("TROUBLE", "1") != "0"
run_case(pathlib.Path(__file__).parent, play, is_disturbed)
