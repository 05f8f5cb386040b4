"""Runs of the emulator that tests share."""

import pytest

from fireflylink_core import ManualClock
from fireflylink_emulator import EventScheduler, read_pattern, replay_scenario


@pytest.fixture
def agenda() -> EventScheduler:
    return EventScheduler(ManualClock(0.0))


@pytest.fixture(scope="session")
def replayed():
    """Returns a run of a situation with the real decisions and one with the baseline."""
    runs = {}

    def play(situation):
        if situation.name not in runs:
            pattern = read_pattern(situation.name).unwrap()
            runs[situation.name] = tuple(
                replay_scenario(situation, pattern, seed=1, baseline=naive)
                for naive in (False, True)
            )
        return runs[situation.name]

    return play
