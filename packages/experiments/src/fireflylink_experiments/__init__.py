"""A command that measures the cost of planning and granting keys."""
