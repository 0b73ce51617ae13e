"""The demo's steps as a test of the whole path in separate processes.

Proves: a request and a gang are served end to end, a deposit asked for through
two entries runs once, a zone goes out and back, a guarantee is reclaimed.
"""

from samphiredeal.standins import demo


def test_demo_passes(capsys):
    assert demo.main() == 0, capsys.readouterr().err
