"""One replay of a scenario."""

from fireflylink_emulator._emulation import Emulation
from fireflylink_emulator._pattern import ArrivalPattern
from fireflylink_emulator._profile import FLEET
from fireflylink_emulator._scenarios import BaseScenario


def replay_scenario(
    scenario: BaseScenario, pattern: ArrivalPattern, seed: int, baseline: bool
) -> Emulation:
    """Replays one scenario with its events; returns the ended emulation."""
    emulation = Emulation(scenario.profiles, FLEET, seed, baseline)
    scenario.schedule_events(emulation)
    emulation.replay(pattern)
    return emulation
