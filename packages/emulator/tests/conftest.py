"""Fixtures that the tests of the emulator share."""

import pytest

from fireflylink_core import ManualClock
from fireflylink_emulator import EventScheduler, read_pattern, replay_scenario


@pytest.fixture
def scheduler() -> EventScheduler:
    return EventScheduler(ManualClock(0.0))


@pytest.fixture(scope="session")
def replay_with_baseline():
    """Returns a function that replays a scenario with the production code and with the baseline.

    Each scenario is replayed once in a session.
    """
    runs = {}

    def replay(scenario):
        if scenario.name not in runs:
            pattern = read_pattern(scenario.name).unwrap()
            runs[scenario.name] = tuple(
                replay_scenario(scenario, pattern, seed=1, baseline=baseline)
                for baseline in (False, True)
            )
        return runs[scenario.name]

    return replay
