"""The daemon that runs on an entry instance."""

from fireflylink_daemon._settings import Settings, SettingsError, read_settings

__all__ = ["Settings", "SettingsError", "main", "read_settings"]


def main() -> None:
    """Runs the daemon; its modules are loaded only now, after the sockets were made cooperative."""
    from fireflylink_daemon._main import main as run

    run()
