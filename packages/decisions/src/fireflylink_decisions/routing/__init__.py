"""From a request to its route and service."""

from fireflylink_decisions.routing._route_table import RouteTable, TrafficSplitter

__all__ = ["RouteTable", "TrafficSplitter"]
