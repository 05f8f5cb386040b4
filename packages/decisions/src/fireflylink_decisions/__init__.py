"""Decisions free of I/O. Each takes the time as an argument and is tested with a manual clock."""
