"""One replay of a situation."""

from fireflylink_emulator._emulation import Emulation
from fireflylink_emulator._pattern import ArrivalPattern
from fireflylink_emulator._profile import FLEET
from fireflylink_emulator._situations import BaseSituation


def replay(situation: BaseSituation, pattern: ArrivalPattern, seed: int, naive: bool) -> Emulation:
    """Plays one situation to its end."""
    emulation = Emulation(situation.profiles, FLEET, seed, naive)
    situation.prepare(emulation)
    emulation.replay(pattern)
    return emulation
