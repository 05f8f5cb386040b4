"""HTTP front end towards callers."""
