"""Daemons as their peers know them."""

import enum

from fireflylink_core._value import BaseValue


class MemberState(enum.Enum):
    """Whether a daemon takes part or has announced that it leaves."""

    LIVE = "live"
    LEAVING = "leaving"


class Member(BaseValue):
    """A daemon: its instance, its data centre and the ports of its inner listeners.

    ``operator_port`` is 0 where it is not known, as for peers that settings name.
    """

    __slots__ = (
        "control_port",
        "data_centre",
        "forward_port",
        "host",
        "instance_id",
        "operator_port",
        "state",
    )

    def __init__(
        self,
        instance_id: str,
        data_centre: str,
        host: str,
        control_port: int,
        forward_port: int,
        state: MemberState = MemberState.LIVE,
        operator_port: int = 0,
    ) -> None:
        self.instance_id = instance_id
        self.data_centre = data_centre
        self.host = host
        self.control_port = control_port
        self.forward_port = forward_port
        self.state = state
        self.operator_port = operator_port
