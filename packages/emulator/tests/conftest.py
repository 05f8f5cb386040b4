"""Runs of the emulator that tests share."""

import pytest

from fireflylink_core import ManualClock
from fireflylink_emulator import EventScheduler, read_pattern, replay_scenario


@pytest.fixture
def scheduler() -> EventScheduler:
    return EventScheduler(ManualClock(0.0))


@pytest.fixture(scope="session")
def replayed():
    """Returns a run of a situation with the real decisions and one with the baseline."""
    runs = {}

    def play(scenario):
        if scenario.name not in runs:
            pattern = read_pattern(scenario.name).unwrap()
            runs[scenario.name] = tuple(
                replay_scenario(scenario, pattern, seed=1, baseline=baseline)
                for baseline in (False, True)
            )
        return runs[scenario.name]

    return play
