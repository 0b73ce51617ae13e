"""All entries lose power as a placement is stored; then its zone is evacuated."""

import asyncio
import base64
import json
import os
import signal

from rig import case
from rig.deployment import BOUNDS, job_id

STEP = {"count": 1, "cpu": 4000, "mem-mb": 8000, "gpu": 1, "estimated-ms": 2000}
# How long the entries are dark, as in the site's `herd_kill`.
DARK_S = 9.5
# The store acknowledges the evacuation this long after the entries are gone.
EVACUATED_AFTER_S = 0.5


async def play(deployment, trouble):
    """Return how the rule was broken."""
    entries = [one.name for one in deployment.entries]
    loop = asyncio.get_running_loop()
    job, placed = job_id(), loop.create_future()

    def on_commit(machine, puts):
        executor = placed_on(job, puts)
        if executor is None or placed.done():
            return
        deployment.record("placed", executor=executor, by=machine)
        placed.set_result(executor)
        if trouble:
            # They are told of this write, if at all, when they have no power.
            for name in entries:
                deployment.signal(name, signal.SIGKILL)

    deployment.store.on_commit = on_commit
    document = {"spec": "work", "steps": [STEP]}
    deployment.specs[job] = document
    await deployment.call("entry-0", "POST", f"/normal/{job}", document)
    executor = await asyncio.wait_for(placed, 5)
    zone = deployment.executors[executor].zone
    await asyncio.sleep(EVACUATED_AFTER_S)
    deployment.write_operator_row(f"evacuate/{zone}", {})
    evacuated_at = deployment.now()
    deployment.record("evacuated", zone=zone)
    await asyncio.sleep(DARK_S)
    if trouble:
        for name in entries:
            await deployment.start_process(name)
    await asyncio.sleep(8)
    # Work that comes now is kept out of the zone: the entries know of the evacuation.
    if not await deployment.submit(job_id(), [STEP]):
        raise RuntimeError("a job was not accepted after the return")
    await asyncio.sleep(4)
    latest = evacuated_at + BOUNDS["evacuate-ms"] / 1000
    return [
        f"{zone} was evacuated at {evacuated_at:.2f} s, and there is {one}"
        for one in deployment.found("start")
        if deployment.executors[one["executor"]].zone == zone and one["at"] > latest
    ]


def placed_on(job, puts):
    """Return the executor that a write places a job's task on, or None."""
    for put in puts:
        if put["key"] == f"progress/{job}":
            progress = json.loads(base64.b64decode(put["value"]))
            units = progress[4] if len(progress) > 4 else {}
            for unit in units.values():
                for _index, executor, _life in unit[4] if len(unit) > 4 else ():
                    return executor
    return None


if __name__ == "__main__":
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    case.main(__file__, play, is_disturbed, executors=11)
