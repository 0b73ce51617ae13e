"""Filtering of wall-clock jumps."""

from twisted.internet.task import Clock

from samphiredeal.entry.graphs.wall_clock import WallClock


def make_times(jump_s, begins_s, lasts_s, seconds):
    """Return (filtered, true) milliseconds after a wall clock has jumped."""
    clock = Clock()

    def wall():
        now = clock.seconds()
        jumped = begins_s <= now < begins_s + lasts_s
        return 1000.0 + now + (jump_s if jumped else 0.0)

    wall_clock = WallClock(clock, wall)
    for _ in range(seconds):
        clock.advance(1.0)
        wall_clock.sample()
    return wall_clock.unix_ms(), int((1000.0 + clock.seconds()) * 1000)


def test_short_jumps_are_filtered():
    for jump_s in (-2.4, 2.4):
        for seconds in range(20, 30):
            filtered, true = make_times(jump_s, 20, 6, seconds)
            assert abs(filtered - true) <= 1


def test_lasting_change_takes_effect():
    filtered, true = make_times(10.0, 10, 1000, 100)
    assert abs(filtered - true - 10_000) <= 1
