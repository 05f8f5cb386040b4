"""Requests under load and faults, beside naive baselines."""
