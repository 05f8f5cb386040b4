"""Base class of all errors."""


class BaseFireflylinkError(Exception):
    """An error whose message states what is wrong and, for invalid input, what is allowed.

    Each layer defines its own subclasses and converts errors of the layer below to them.
    """
