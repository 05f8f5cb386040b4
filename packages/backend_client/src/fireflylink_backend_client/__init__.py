"""Bounded connections to backend servers, grants and health."""
