"""Decision logic without I/O. The current time is an argument, so tests use a manual clock."""
