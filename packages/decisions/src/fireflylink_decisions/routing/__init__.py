"""Selection of the route and the service of a request."""

from fireflylink_decisions.routing._route_table import RouteTable, TrafficSplitter

__all__ = ["RouteTable", "TrafficSplitter"]
