"""Which route a request takes, and which service a split route sends it to."""

from fireflylink_core import Configuration, Route, Service


class RouteTable:
    """The routes of one configuration.

    Among the routes of a host, the one with the longest prefix that begins the path is taken.
    """

    __slots__ = ("hosts", "services", "version")

    def __init__(self, configuration: Configuration) -> None:
        self.version = configuration.version
        self.services: dict[str, Service] = {
            service.name: service for service in configuration.services
        }
        self.hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self.hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, None when there is none.

        Prefixes begin and end with a slash, so each candidate ends at a slash of the path.
        """
        prefixes = self.hosts.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class TrafficSplitter:
    """Spreads the requests of split routes over their services in proportion to the weights.

    Smooth weighted round robin keeps each daemon's shares exact over any few requests, so that the
    sum over daemons is too. A change of the weights starts anew.
    """

    __slots__ = ("current_weights",)

    def __init__(self) -> None:
        self.current_weights: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Returns the service of the next request of a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        balances = self.current_weights.get(route.name)
        if balances is None or balances.keys() != {target.service for target in route.targets}:
            balances = {target.service: 0.0 for target in route.targets}
            self.current_weights[route.name] = balances
        total = 0.0
        for target in route.targets:
            balances[target.service] += target.weight
            total += target.weight
        chosen = max(balances, key=lambda service: balances[service])
        balances[chosen] -= total
        return chosen

    def keep_only(self, routes: tuple[Route, ...]) -> None:
        """Forgets routes that a configuration no longer has."""
        kept = {route.name for route in routes}
        for name in list(self.current_weights):
            if name not in kept:
                del self.current_weights[name]
