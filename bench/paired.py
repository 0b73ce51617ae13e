"""Modelled days under two versions: ``python -m bench.paired OTHER --days 200``.

Each version plays the same `bench.troubled_days`, with its own decisions, in processes
of its own. Prints what each earned, how many days were short, how many of these could
not be avoided, the urgent jobs that were late, and the difference of the days' worth
with its standard error.
"""

import json
import os
import pathlib
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import defopt

_DAYS_PER_PROCESS = 10
# Urgent jobs that take longer than this share of their objective are nearly late.
_NEARLY_LATE = 0.8


def play(day_name, seeds):
    """Return the results of some days, as values that can be written as JSON."""
    from bench import troubled_days
    from samphiredeal.model.shape import Shape
    from samphiredeal.policy.graphs.scheduler import GraphScheduler

    if not hasattr(Shape, "cores"):
        # Earlier versions have no such property; the model needs it.
        Shape.cores = property(lambda shape: shape[0] / 1000 + 8 * shape[2])
    results = []
    for seed in seeds:
        result = troubled_days.TroubledSimulation(
            troubled_days.DAYS[day_name], seed, GraphScheduler
        ).run()
        results.append(
            {
                "worth": result.worth,
                "earned": result.earned,
                "waste": result.waste_share,
                "short": [name for name, _floor in result.short],
                "avoidable": result.is_avoidable,
                "urgent": result.urgent,
            }
        )
    return results


def _play_in_process(checkout, day_name, seeds):
    """Return the results of `play` with the packages of a checkout."""
    here = pathlib.Path(__file__).resolve().parents[1]
    packages = sorted(str(path) for path in checkout.glob("packages/*/src"))
    path = os.pathsep.join([*packages, str(here)])
    arguments = json.dumps([day_name, seeds])
    done = subprocess.run(
        [sys.executable, "-m", "bench.paired_worker", arguments],
        cwd=here,
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode:
        raise RuntimeError(f"{checkout}: {done.stderr[-2000:]}")
    return json.loads(done.stdout)


def play_all(checkout, day_name, days, jobs):
    """Return the results of the days 0 to `days` - 1 under a checkout."""
    batches = [
        list(range(first, min(days, first + _DAYS_PER_PROCESS)))
        for first in range(0, days, _DAYS_PER_PROCESS)
    ]
    with ThreadPoolExecutor(jobs) as pool:
        results = pool.map(
            lambda seeds: _play_in_process(checkout, day_name, seeds), batches
        )
        return [result for batch in results for result in batch]


def summary(results):
    """Return a line on the results of one version."""
    short = [one for one in results if one["short"]]
    urgent = [share for one in results for share in one["urgent"]]
    late = sum(share > 1 for share in urgent)
    nearly = sum(share > _NEARLY_LATE for share in urgent)
    means = {
        name: statistics.mean(one[name] for one in results)
        for name in ("worth", "earned", "waste")
    }
    return (
        " ".join(f"{name}={mean:.4f}" for name, mean in means.items())
        + f" short={len(short)}/{len(results)}"
        + f" unavoidable={sum(not one['avoidable'] for one in short)}"
        + f" urgent: {len(urgent)}, {late / max(1, len(urgent)):.3f} late,"
        + f" {nearly / max(1, len(urgent)):.3f} over {_NEARLY_LATE}"
    )


def main(
    other: pathlib.Path,
    *,
    days: int = 200,
    day: str = "trouble-3",
    jobs: int = 4,
):
    """Play modelled days under this version and another one.

    :param other: a checkout of the other version
    :param days: how many days each plays
    :param day: which of the days of `bench.troubled_days`
    :param jobs: processes at a time
    """
    here = pathlib.Path(__file__).resolve().parents[1]
    results = {
        "this": play_all(here, day, days, jobs),
        "other": play_all(other.resolve(), day, days, jobs),
    }
    for name, found in results.items():
        print(f"{day} {name}: {summary(found)}")
    differences = [
        one["worth"] - other["worth"]
        for one, other in zip(results["this"], results["other"], strict=True)
    ]
    error = statistics.stdev(differences) / len(differences) ** 0.5
    print(
        f"{day} worth, this - other: {statistics.mean(differences):+.4f} ± {error:.4f}"
    )


if __name__ == "__main__":
    defopt.run(main)
