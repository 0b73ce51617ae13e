"""The command line of the stand-ins: ``samphiredeal-standin KIND SETTINGS``."""

import defopt

from samphiredeal.standins import executor, platform, worker


def main():
    """Run one stand-in."""
    defopt.run(
        {"platform": platform.run, "executor": executor.run, "worker": worker.run}
    )
