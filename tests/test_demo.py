"""The demo's steps, run end to end in separate processes.

Guards against a request or gang that is not served, a deposit that runs twice when
it is sent through two entries, a zone change without effect, and a guarantee that
is not reclaimed.
"""

from samphiredeal.standins import demo


def test_demo_passes(capsys):
    assert demo.main() == 0, capsys.readouterr().err
