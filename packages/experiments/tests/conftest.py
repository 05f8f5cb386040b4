import pytest

from fireflylink_experiments._control_system import ControlSystem, SystemShape

SETTLED_AFTER = 6.0


@pytest.fixture(scope="module")
def settled_system() -> ControlSystem:
    """30 daemons in one data centre, enough for relays, after the first table has spread."""
    system = ControlSystem(SystemShape(30, 1, 1, 2), seed=1)
    system.run(SETTLED_AFTER)
    return system
