"""From a request to its route and service."""

from fireflylink_decisions.routing._route_table import RouteTable, SplitChooser

__all__ = ["RouteTable", "SplitChooser"]
