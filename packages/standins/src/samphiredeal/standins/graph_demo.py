"""Demo of job graphs on the platform: ``python -m samphiredeal.standins.graph_demo``.

Starts the stand-in platform, two entries and three workers with their agents. Submits
a job of two steps, kills the scheduler while it runs, cancels another job and revokes
an API key. The exit status is 1 if a step fails.
"""

import signal
import sys
import tempfile
import time

from samphiredeal.standins.graph_cluster import start_small
from samphiredeal.standins.launch import wait_for

_STEP = {"count": 4, "cpu": 2000, "mem-mb": 4000, "gpu": 1, "estimated-ms": 3000}
JOB = {"spec": "3.0", "steps": [_STEP, {**_STEP, "after": [0]}]}
_TIMEOUT_S = 30
_REVOCATION_TIMEOUT_S = 2.0


def main():
    """Run the demo; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = start_small(folder)
        try:
            return _steps(cluster)
        except TimeoutError as error:
            print(f"FAILED {error}", file=sys.stderr)
            return 1
        finally:
            cluster.close()


def _steps(cluster):
    first, second = cluster.entries
    started_at = time.monotonic()

    def print_step(text):
        print(f"{time.monotonic() - started_at:6.2f} s  {text}")

    def state(entry, job, expected):
        def reached():
            reply = cluster.call(entry, "GET", f"/normal/{job}")
            return reply.document.get("state") == expected

        wait_for(reached, _TIMEOUT_S, f"{job} is {expected}")
        print_step(f"job {job} is {expected}, by {entry}")

    for job in ("a1", "b2"):
        cluster.call(first, "POST", f"/normal/{job}", JOB)
        print_step(f"job {job} submitted: 8 tasks in 2 steps")
        state(second, job, "running")
    cluster.call(second, "DELETE", "/normal/b2")
    state(first, "b2", "cancelled")
    scheduler = cluster.scheduler()
    cluster.signal(scheduler, signal.SIGKILL)
    print_step(f"{scheduler}, the scheduler, is killed")
    other = second if scheduler == first else first
    state(other, "a1", "completed")
    starts = [
        count
        for number in range(3)
        for task, count in cluster.start_counts(f"worker-{number}").items()
        if task.startswith("a1.")
    ]
    print_step(f"its {len(starts)} tasks started {sum(starts)} times")
    cluster.configure(keys=("another",))
    wait_for(
        lambda: cluster.call(other, "GET", "/normal/a1").status == 401,
        _REVOCATION_TIMEOUT_S,
        "the revoked key is rejected",
    )
    print_step("a revoked key is rejected")
    return 0 if starts == [1] * 8 else 1


if __name__ == "__main__":
    sys.exit(main())
