"""The command line of the stand-ins: ``samphiredeal-standin KIND SETTINGS``."""

import defopt

from samphiredeal.standins import executor, graph_worker, platform, proxy, worker


def main():
    """Run one stand-in."""
    defopt.run(
        {
            "platform": platform.run,
            "executor": executor.run,
            "worker": worker.run,
            "graph-worker": graph_worker.run,
            "proxy": proxy.run,
        }
    )
