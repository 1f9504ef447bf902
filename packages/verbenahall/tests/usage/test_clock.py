"""The time of day on machines whose clocks are wrong."""

from verbenahall.usage import SyncedClock


class Clock:
    def __init__(self, seconds):
        self.seconds = seconds

    def __call__(self):
        return self.seconds


def make_clock(wall):
    boottime = Clock(50)
    return SyncedClock(boottime, Clock(wall)), boottime


def test_step_of_the_wall_clock_changes_nothing():
    wall = Clock(1000)
    boottime = Clock(50)
    clock = SyncedClock(boottime, wall)
    wall.seconds += 30
    boottime.seconds += 1
    assert clock.now() == 1001


def test_received_time_replaces_the_local_one():
    """A machine has started with a clock that was 20 seconds behind."""
    clock, boottime = make_clock(980)
    clock.record_time(1000)
    boottime.seconds += 2
    assert clock.now() == 1002


def test_message_that_waited_unread_does_not_set_the_time_back():
    """The process was paused for five seconds with a message unread."""
    clock, boottime = make_clock(1000)
    clock.record_time(1000)
    boottime.seconds += 5
    clock.record_time(1000.5)
    assert clock.now() == 1005


def test_median_ignores_wrong_clocks():
    clock, _ = make_clock(1000)
    assert clock.find_median([7]) is None
    assert clock.find_median([7, 0.01, -11, 0.02]) == 1000.01
