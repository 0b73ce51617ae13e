"""The scheduler of job graphs on simulated days: ``python -m bench.graphs 8 2.0``.

Prints for each site, for the real scheduler and the baseline, shares of the value of
all jobs: `worth` (net of wasted work), `earned`, `wasted`, and each kind's share.
"""

import multiprocessing
import statistics

import defopt

from bench import graph_load
from bench.graph_baseline import FirstFitScheduler
from bench.graph_drive import GraphSimulation
from samphiredeal.policy.graphs.scheduler import GraphScheduler


def simulate_day(day):
    """Return the `Outcome` of a (site, seed, load, scheduler class)."""
    site, seed, load, make_scheduler = day
    return GraphSimulation(site, seed, make_scheduler(), load).run()


def _means(site, outcomes):
    figures = {
        "worth": [outcome.net_value for outcome in outcomes],
        "earned": [outcome.earned for outcome in outcomes],
        "wasted": [outcome.waste_share for outcome in outcomes],
    }
    for kind in site.kinds:
        figures[kind.name] = [
            outcome.by_kind.get(kind.name, 1.0) for outcome in outcomes
        ]
    return " ".join(
        f"{name}={statistics.mean(values):.3f}" for name, values in figures.items()
    )


def main(seeds=8, load=2.0, *, jobs=4):
    """Simulate days of the grown sites.

    Parameters
    ----------
    seeds : int
        Number of days of each site.
    load : float
        Factor of the arrival rate of the load profile.
    jobs : int
        Number of parallel processes.
    """
    for site in (graph_load.HANBIT_GROWN, graph_load.TIDEWATER_GROWN):
        for make_scheduler in (GraphScheduler, FirstFitScheduler):
            days = [(site, seed, load, make_scheduler) for seed in range(seeds)]
            with multiprocessing.Pool(jobs) as pool:
                outcomes = pool.map(simulate_day, days, chunksize=1)
            print(f"{site.name} {make_scheduler.__name__} {_means(site, outcomes)}")


if __name__ == "__main__":
    defopt.run(main)
