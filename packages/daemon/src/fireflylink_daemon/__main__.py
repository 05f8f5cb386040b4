"""Entry point of ``python -m fireflylink_daemon``, the same as the command ``fireflylinkd``."""

from fireflylink_daemon import main

main()
