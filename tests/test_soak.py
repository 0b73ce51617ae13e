"""A short soak with a fixed seed and with seeds that failed before.

Guards, by the answers to callers and the runs on workers, against accepted jobs that
do not end, tasks with two runs at a time, refused jobs that run, and workers over
their capacity.
"""

import pytest

from samphiredeal.standins import soak

SECONDS = 12.0
# Seeds that failed, with the cause.
FAILED_SEEDS = (
    # Fault of the check: a paused entry applied a cancel after its caller timed out.
    349,
)


@pytest.mark.parametrize("seed", [1, *FAILED_SEEDS])
def test_guarantees_hold_under_faults(seed, tmp_path, capsys):
    assert soak.main(seed, SECONDS, str(tmp_path)) == 0, capsys.readouterr().out
