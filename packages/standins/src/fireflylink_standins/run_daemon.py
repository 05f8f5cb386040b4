"""Runs ``fireflylinkd`` as a module, so that fixtures start it with the interpreter they run on."""

from fireflylink_daemon import main

if __name__ == "__main__":
    main()
