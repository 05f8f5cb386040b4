"""Measurements of the real decision code, each a command that prints both sides of one run."""
