"""Decisions without input or output: ownership, routing, limits, retries, membership."""
