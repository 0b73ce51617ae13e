"""Executors crash and start again at once; no task may run twice at the same time."""

import asyncio
import json
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.deployment import TIDEWATER, overlapping_runs, run_case  # noqa: E402

EXECUTORS = 8
# One executor of eight is within the share that `srv_crash` stops at a time.
DOWN_S = 0.05
CRASHES = 14
CRASH_INTERVAL_S = 4.0
JOB_INTERVAL_S = 0.04
WORK_MS = 1500


async def hand_in_jobs(deployment, until_s):
    """Hand in short tasks that keep most executors busy."""
    step = {"count": 1, "cpu": 1000, "mem-mb": 512, "gpu": 1, "estimated-ms": WORK_MS}
    job = {"spec": json.dumps({"ms": WORK_MS}), "steps": [step]}
    number, pending = 0, set()
    while deployment.now() < until_s:
        number += 1
        path = f"/normal/{number:016x}"
        task = asyncio.ensure_future(deployment.submit(path, job, number))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.gather(*pending)


def last_started_on(deployment):
    """Return the executor that the newest task was started on."""
    starts = [fields for _, event, fields in deployment.events if event == "start"]
    name = starts[-1]["executor"]
    return next(one for one in deployment.executors if one.id == name)


async def play(deployment, is_disturbed):
    await deployment.start(TIDEWATER, entries=2, executors=EXECUTORS)
    deployment.configure()
    await deployment.wait_until_ready()
    draw = random.Random(3)
    until_s = deployment.now() + CRASHES * CRASH_INTERVAL_S
    jobs = asyncio.ensure_future(hand_in_jobs(deployment, until_s))
    for _ in range(CRASHES):
        await asyncio.sleep(CRASH_INTERVAL_S * draw.uniform(0.5, 1.0))
        executor = last_started_on(deployment)
        if is_disturbed:
            await executor.crash()
            deployment.record("crash", executor=executor.id)
            await asyncio.sleep(DOWN_S)
            await executor.start()
            deployment.record("start again", executor=executor.id)
    await jobs
    await asyncio.sleep(3.0)
    return [
        f"TWICE: runs {first} and {second} of task {task} were at work together for "
        f"{span:.3f} s from {at:.3f}"
        for task, first, second, at, span in overlapping_runs(deployment.events)
    ]


is_disturbed = os.environ.get("TROUBLE", "1") != "0"
run_case(pathlib.Path(__file__).parent, play, is_disturbed)
