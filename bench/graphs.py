"""The scheduler of job graphs on modelled days: ``python -m bench.graphs 8 2.0``.

Prints for each site what a day earns, for the real scheduler and the baseline:
worth, the share of it that jobs earned, work thrown away, and each kind's share.
"""

import multiprocessing
import statistics

import defopt

from bench import graph_load
from bench.graph_baseline import FirstFitScheduler
from bench.graph_drive import GraphSimulation
from samphiredeal.policy.graphs.scheduler import GraphScheduler


def play(day):
    """Return the `Outcome` of a (site, seed, load, scheduler class)."""
    site, seed, load, make_scheduler = day
    return GraphSimulation(site, seed, make_scheduler(), load).run()


def _means(site, outcomes):
    figures = {
        "worth": [one.net_value for one in outcomes],
        "earned": [one.earned for one in outcomes],
        "wasted": [one.waste_share for one in outcomes],
    }
    for kind in site.kinds:
        figures[kind.name] = [one.by_kind.get(kind.name, 1.0) for one in outcomes]
    return " ".join(
        f"{name}={statistics.mean(values):.3f}" for name, values in figures.items()
    )


def main(seeds=8, load=2.0, *, jobs=4):
    """Play days of the grown sites.

    Parameters
    ----------
    seeds : int
        How many days of each site.
    load : float
        How many times the sheet's rate of arrivals.
    jobs : int
        Processes at a time.
    """
    for site in (graph_load.HANBIT_GROWN, graph_load.TIDEWATER_GROWN):
        for make_scheduler in (GraphScheduler, FirstFitScheduler):
            days = [(site, seed, load, make_scheduler) for seed in range(seeds)]
            with multiprocessing.Pool(jobs) as pool:
                outcomes = pool.map(play, days, chunksize=1)
            print(f"{site.name} {make_scheduler.__name__} {_means(site, outcomes)}")


if __name__ == "__main__":
    defopt.run(main)
