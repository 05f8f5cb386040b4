"""The daemon that runs on an entry instance."""


def main() -> None:
    """Runs ``fireflylinkd``.

    The command line is imported here and not above, because it makes the standard library
    cooperative for the whole process, which a program that only imports the package does not want.
    """
    from fireflylink_daemon import _main

    _main.main()


__all__ = ["main"]
