"""The daemon, which runs on each instance and routes callers' requests to backend servers."""

from fireflylink_daemon._settings import Settings, SettingsError, read_settings

__all__ = ["Settings", "SettingsError", "main", "read_settings"]


def main() -> None:
    """Runs the daemon.

    Its modules are imported only here: ``_main`` has gevent patch the sockets before it imports the
    others, and a program that only reads settings must not be patched.
    """
    from fireflylink_daemon._main import main as run

    run()
