"""Files of a system on one machine: secrets, settings of daemons and of the operators' client."""

import json
import pathlib
import random
import secrets
import socket
from collections.abc import Iterable

from fireflylink_core import BaseValue

HOST = "127.0.0.1"
FIRST_PORT = 15_000
FIRST_OUTGOING_PORT = 32_768


class DaemonPlace(BaseValue):
    """Where one daemon of a local system listens, and its settings file."""

    __slots__ = (
        "caller_port",
        "control_port",
        "data_centre",
        "forward_port",
        "instance_id",
        "operator_port",
        "settings_path",
    )

    def __init__(
        self,
        instance_id: str,
        data_centre: str,
        caller_port: int,
        control_port: int,
        forward_port: int,
        operator_port: int,
        settings_path: pathlib.Path,
    ) -> None:
        self.instance_id = instance_id
        self.data_centre = data_centre
        self.caller_port = caller_port
        self.control_port = control_port
        self.forward_port = forward_port
        self.operator_port = operator_port
        self.settings_path = settings_path

    def listing(self) -> dict[str, object]:
        """Returns the daemon's entry in the platform's instance list."""
        return {
            "instance_id": self.instance_id,
            "data_centre": self.data_centre,
            "host": HOST,
            "control_port": self.control_port,
            "forward_port": self.forward_port,
            "operator_port": self.operator_port,
            "caller_port": self.caller_port,
            "state": "live",
        }

    def peer(self) -> dict[str, object]:
        """Returns the daemon as the settings of other daemons name it."""
        names = ("instance_id", "data_centre", "host", "control_port", "forward_port")
        return {name: value for name, value in self.listing().items() if name in names}


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now, below those that the system gives to outgoing connections.

    A port of that range could be taken by any connection before the daemon binds it. All ports are
    held at once, so that none is returned twice.
    """
    source = random.SystemRandom()
    held: dict[int, socket.socket] = {}
    while len(held) < count:
        port = source.randrange(FIRST_PORT, FIRST_OUTGOING_PORT)
        bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            bound.bind((HOST, port))
        except OSError:
            bound.close()
            continue
        held[port] = bound
    for bound in held.values():
        bound.close()
    return list(held)


class LocalFiles:
    """The folder of a local system."""

    __slots__ = ("folder", "key_path", "operator_settings", "token", "token_path")

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.key_path = folder / "cluster.key"
        self.token_path = folder / "operator.token"
        self.operator_settings = folder / "operator.json"
        self.token = secrets.token_hex(16)
        self.key_path.write_text(secrets.token_hex(32))
        self.token_path.write_text(self.token)

    def write_operator_settings(self, platform_port: int) -> None:
        """Writes the settings of the operators' client."""
        self.operator_settings.write_text(
            json.dumps(
                {
                    "platform": {"host": HOST, "port": platform_port},
                    "cluster_key_file": str(self.key_path),
                    "operator_token_file": str(self.token_path),
                },
                indent=2,
            )
        )

    def write_daemon_settings(
        self, instance_id: str, data_centre: str, platform_port: int
    ) -> DaemonPlace:
        """Writes the settings of a daemon on free ports."""
        caller, control, forward, operator = free_ports(4)
        path = self.folder / f"{instance_id}.json"
        path.write_text(
            json.dumps(
                {
                    "instance_id": instance_id,
                    "data_centre": data_centre,
                    "host": HOST,
                    "caller_port": caller,
                    "control_port": control,
                    "forward_port": forward,
                    "operator_port": operator,
                    "platform": {"host": HOST, "port": platform_port},
                    "cluster_key_file": str(self.key_path),
                    "operator_token_file": str(self.token_path),
                    "plain_inner_listeners": True,
                },
                indent=2,
            )
        )
        return DaemonPlace(instance_id, data_centre, caller, control, forward, operator, path)

    def write_peers(self, places: Iterable[DaemonPlace]) -> None:
        """Adds to the settings of each daemon the others, which it asks during an outage."""
        places = tuple(places)
        for place in places:
            settings = json.loads(place.settings_path.read_text())
            settings["peers"] = [other.peer() for other in places if other is not place]
            place.settings_path.write_text(json.dumps(settings, indent=2))
