"""The time of day does not follow jumps of a few seconds."""

from twisted.internet.task import Clock

from samphiredeal.entry.graphs.wall_clock import WallClock


def make_time(jump_s, begins_s, lasts_s, seconds):
    """Return (shown, true) milliseconds after a wall clock has jumped."""
    clock = Clock()

    def wall():
        now = clock.seconds()
        jumped = begins_s <= now < begins_s + lasts_s
        return 1000.0 + now + (jump_s if jumped else 0.0)

    time = WallClock(clock, wall)
    for _ in range(seconds):
        clock.advance(1.0)
        time.sample()
    return time.unix_ms(), int((1000.0 + clock.seconds()) * 1000)


def test_short_jumps_do_not_show():
    for jump_s in (-2.4, 2.4):
        for seconds in range(20, 30):
            shown, true = make_time(jump_s, 20, 6, seconds)
            assert abs(shown - true) <= 1


def test_lasting_change_shows_in_the_end():
    shown, true = make_time(10.0, 10, 1000, 100)
    assert abs(shown - true - 10_000) <= 1
