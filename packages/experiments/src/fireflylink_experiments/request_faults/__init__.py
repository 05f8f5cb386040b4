"""Generated requests under faults, with a count of violated guarantees."""
