"""Selection of a request's route, and of the service for a route with several targets."""

from fireflylink_core import Configuration, Route, Service


class RouteTable:
    """The routes and services of one configuration.

    Of the routes of a host, the one with the longest prefix that matches the path applies. If
    ``is_complete`` is false, routes that the operators configured may be missing.
    """

    __slots__ = ("hosts", "is_complete", "services", "version")

    def __init__(self, configuration: Configuration) -> None:
        self.version = configuration.version
        self.is_complete = configuration.is_complete
        self.services: dict[str, Service] = {
            service.name: service for service in configuration.services
        }
        self.hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self.hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, None when no route matches.

        Prefixes begin and end with a slash, so only the parts of the path up to one of its slashes
        are looked up, the longest first.
        """
        routes_by_prefix = self.hosts.get(host)
        if routes_by_prefix is None:
            return None
        slash = path.rfind("/")
        while slash >= 0:
            route = routes_by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            slash = path.rfind("/", 0, slash)
        return None


class TrafficSplitter:
    """Distributes the requests of a route over its target services in proportion to their weights.

    Smooth weighted round robin keeps the proportions of each daemon, and so of all daemons
    together, exact even over a few requests. The current weights of a route are reset when its set
    of services changes.
    """

    __slots__ = ("current_weights",)

    def __init__(self) -> None:
        self.current_weights: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = self.current_weights.get(route.name)
        if weights is None or weights.keys() != {target.service for target in route.targets}:
            weights = {target.service: 0.0 for target in route.targets}
            self.current_weights[route.name] = weights
        total = 0.0
        for target in route.targets:
            weights[target.service] += target.weight
            total += target.weight
        chosen = max(weights, key=lambda service: weights[service])
        weights[chosen] -= total
        return chosen

    def keep_only(self, routes: tuple[Route, ...]) -> None:
        """Drops the state of all routes other than the given ones."""
        kept_names = {route.name for route in routes}
        for name in list(self.current_weights):
            if name not in kept_names:
                del self.current_weights[name]
