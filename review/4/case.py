"""Executors lose some of their answers; no task may run again after it has ended."""

import asyncio
import json
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins.deployment import (  # noqa: E402
    HANBIT,
    overlapping_runs,
    run_case,
    starts_after_done,
)

# The largest dose of `answer_lost` in the site file, and the pause between two.
LOSING_SHARE = 0.424
LOST_SHARE = 0.132
WINDOW_S = 4.15
PAUSE_S = 1.0
WINDOWS = 15
EXECUTORS = 11
JOB_INTERVAL_S = 1.3
WORK_MS = 300


async def hand_in_jobs(deployment, until_s):
    """Hand in jobs of one short task for each executor."""
    step = {
        "count": EXECUTORS,
        "cpu": 1000,
        "mem-mb": 512,
        "gpu": 8,
        "estimated-ms": WORK_MS,
    }
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


async def play(deployment, is_disturbed):
    await deployment.start(HANBIT, entries=2, executors=EXECUTORS)
    deployment.configure()
    await deployment.wait_until_ready()
    draw = random.Random(2)
    until_s = deployment.now() + WINDOWS * (WINDOW_S + PAUSE_S)
    jobs = asyncio.ensure_future(hand_in_jobs(deployment, until_s))
    while deployment.now() < until_s - 1.0:
        losing = draw.sample(deployment.executors, int(LOSING_SHARE * EXECUTORS))
        for executor in losing if is_disturbed else ():
            executor.loses_answer = lambda: draw.random() < LOST_SHARE
        await asyncio.sleep(WINDOW_S)
        for executor in losing:
            executor.loses_answer = lambda: False
        await asyncio.sleep(PAUSE_S)
    await jobs
    await asyncio.sleep(3.0)
    return [
        f"TWICE: task {task} was started as run {run} at {at:.3f}, after run {done} "
        "had ended done"
        for task, done, run, at in starts_after_done(deployment.events)
    ] + [
        f"TWICE: runs {first} and {second} of task {task} were at work together for "
        f"{span:.3f} s from {at:.3f}"
        for task, first, second, at, span in overlapping_runs(deployment.events)
    ]


is_disturbed = os.environ.get("TROUBLE", "1") != "0"
run_case(pathlib.Path(__file__).parent, play, is_disturbed)
