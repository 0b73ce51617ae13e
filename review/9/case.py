"""A hand-in is in doubt; its cancel is answered "no such job"; then the job runs."""

import asyncio
import os

from rig import case
from rig.deployment import BOUNDS, job_id

STEP = {"count": 1, "cpu": 4000, "mem-mb": 8000, "gpu": 1, "estimated-ms": 4000}
# Writes in the disruption are done this much later, and not answered.
LATE_S = 6.0
# The share of the writes meanwhile that may be done late, and for how long.
MAX_SHARE = 0.35
MAX_LENGTH_S = 4.5


async def play(deployment, trouble):
    """Return how the rule was broken."""
    job = job_id()
    key = f"job/{job}"
    document = {"spec": "work", "steps": [STEP]}
    deployment.specs[job] = document
    writes = []

    def late_s(_machine, puts):
        is_late = any(put["key"] == key for put in puts)
        writes.append(is_late)
        return LATE_S if is_late else None

    began_at = deployment.now()
    if trouble:
        deployment.store.late_s = late_s
    # Some heartbeats of the scheduler, which the disruption spares.
    await asyncio.sleep(2.5)
    handed_in = await deployment.call("entry-0", "POST", f"/normal/{job}", document)
    deployment.store.late_s = lambda _machine, _puts: None
    length_s = deployment.now() - began_at
    deployment.record("store-sound", writes=len(writes), late=sum(writes))
    if trouble and length_s > MAX_LENGTH_S:
        raise RuntimeError(f"the disruption took {length_s:.1f} s")
    if trouble and sum(writes) > MAX_SHARE * len(writes):
        raise RuntimeError(f"too many late writes: {sum(writes)} of {len(writes)}")
    if trouble and handed_in.status != 504:
        raise RuntimeError(f"the hand-in was answered {handed_in.status}")
    cancelled = await deployment.call("entry-1", "DELETE", f"/normal/{job}")
    cancelled_at = deployment.now()
    await asyncio.sleep(LATE_S + 6)
    if cancelled.status not in (200, 410):
        return []
    latest = cancelled_at + BOUNDS["cancel_ms"] / 1000
    return [
        f"the cancel was answered {cancelled.status} at {cancelled_at:.2f} s, "
        f"and there is {one}"
        for one in deployment.found("start")
        if one["at"] > latest
    ]


if __name__ == "__main__":
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    case.main(__file__, play, is_disturbed, executors=11)
