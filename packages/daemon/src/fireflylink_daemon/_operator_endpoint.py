"""HTTP endpoint for operators, metrics and health checks."""

import abc
import hmac
import json
from typing import Any

import falcon

from fireflylink_core import BaseValue, key_hash
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._view import View
from fireflylink_decisions.membership import InForce

METRICS_TYPE = "text/plain; version=0.0.4"


class DaemonStatus(BaseValue):
    """What a daemon tells operators about itself and its data centre.

    ``authority_ms`` gives the remaining authority of each table in milliseconds.
    """

    __slots__ = (
        "authority_ms",
        "broken",
        "in_force",
        "platform_reachable",
        "view",
    )

    def __init__(
        self,
        view: View,
        in_force: InForce,
        authority_ms: dict[str, int],
        platform_reachable: bool,
        broken: str,
    ) -> None:
        self.view = view
        self.in_force = in_force
        self.authority_ms = authority_ms
        self.platform_reachable = platform_reachable
        self.broken = broken


class BaseStatusSource(abc.ABC):
    """Answers the questions of the operator endpoint."""

    __slots__ = ()

    @abc.abstractmethod
    def status(self) -> DaemonStatus:
        """Returns the current status."""


class _Resource:
    """Base of the resources: where the status comes from and who may read it."""

    __slots__ = ("data_centre", "instance_id", "metrics", "source")

    def __init__(
        self, instance_id: str, data_centre: str, source: BaseStatusSource, metrics: Metrics
    ) -> None:
        self.instance_id = instance_id
        self.data_centre = data_centre
        self.source = source
        self.metrics = metrics


class _StatusResource(_Resource):
    __slots__ = ()

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Describes the daemon and how far the configuration has come in its data centre."""
        status = self.source.status()
        view = status.view
        response.text = json.dumps(
            {
                "instance_id": self.instance_id,
                "data_centre": self.data_centre,
                "root": view.root,
                "configuration_version": view.configuration.version,
                "in_force": {
                    "version": status.in_force.version,
                    "members": status.in_force.members,
                    "confirmed": status.in_force.confirmed,
                    "lagging": list(status.in_force.lagging),
                },
                "tables": _tables(status),
                "platform_reachable": status.platform_reachable,
                "members": sorted(view.members),
                "leaving": view.leaving,
            }
        )


def _tables(status: DaemonStatus) -> dict[str, dict[str, int]]:
    return {
        table_id: {
            "version": table.version,
            "settled": status.view.settled.get(table_id, 0),
            "authority_ms": status.authority_ms.get(table_id, 0),
        }
        for table_id, table in sorted(status.view.tables.items())
    }


class _ExplainResource(_Resource):
    __slots__ = ()

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Tells who owns a key, since when and why."""
        service = request.get_param("service", required=True)
        key = request.get_param("key", required=True)
        view = self.source.status().view
        declared = view.configuration.services.get(service)
        if declared is None:
            raise falcon.HTTPNotFound(description=f"there is no service {service!r}")
        route = view.routes.find_hash(service, key_hash(key))
        if route is None:
            raise falcon.HTTPNotFound(description="no daemon is the gateway of this shard")
        settled = view.settled.get(route.table_id, 0)
        response.text = json.dumps(
            {
                "service": service,
                "shard": key_hash(key) % declared.shard_count,
                "exception": route.is_exception,
                "table": route.table_id,
                "group": route.group.group_id,
                "server_ids": list(route.group.server_ids),
                "gateway": route.group.gateway,
                "epoch": route.record.epoch,
                "gateway_epoch": route.group.gateway_epoch,
                "since_ms": route.record.since_ms,
                "reason": route.record.reason,
                "settled": settled >= route.record.changed_version,
            }
        )


class _LatencyResource(_Resource):
    __slots__ = ()

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Returns the latency histograms, which clients merge across daemons."""
        response.text = json.dumps({"histograms": self.metrics.encoded_histograms()})


class _MetricsResource(_Resource):
    __slots__ = ()

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Returns the metrics in the Prometheus text format."""
        status = self.source.status()
        self.metrics.gauges["configuration_version"] = status.view.configuration.version
        self.metrics.gauges["platform_reachable"] = float(status.platform_reachable)
        for table_id, remaining in status.authority_ms.items():
            name = table_id.replace(".", "_").replace("-", "_")
            self.metrics.gauges[f"authority_ms_{name}"] = remaining
        response.content_type = METRICS_TYPE
        response.text = self.metrics.exposition()


class _LiveResource(_Resource):
    __slots__ = ()

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Answers as long as the daemon's loop runs."""
        response.text = json.dumps({"state": "live"})


class _ReadyResource(_Resource):
    __slots__ = ()

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Tells the balancer whether to send requests here, and if not, why."""
        status = self.source.status()
        state = "leaving" if status.view.leaving else (status.broken and "broken") or "ready"
        if state != "ready":
            response.status = falcon.HTTP_503
        response.text = json.dumps({"state": state, "detail": status.broken})


class _OperatorAuthorization:
    """Lets only requests with the operators' token reach the paths under ``/operator``."""

    __slots__ = ("expected",)

    def __init__(self, token: str) -> None:
        self.expected = f"Bearer {token}"

    def process_request(self, request: falcon.Request, _response: falcon.Response) -> None:
        """Refuses a request without the token."""
        if not request.path.startswith("/operator"):
            return
        given = request.get_header("AUTHORIZATION") or ""
        if not hmac.compare_digest(given.encode(), self.expected.encode()):
            raise falcon.HTTPUnauthorized(description="the operators' token is required")


def make_operator_application(
    instance_id: str,
    data_centre: str,
    token: str,
    source: BaseStatusSource,
    metrics: Metrics,
) -> Any:
    """Returns the WSGI application of the operator endpoint."""
    application = falcon.App(middleware=[_OperatorAuthorization(token)])
    routes = {
        "/operator/status": _StatusResource,
        "/operator/explain": _ExplainResource,
        "/operator/latency": _LatencyResource,
        "/metrics": _MetricsResource,
        "/health/live": _LiveResource,
        "/health/ready": _ReadyResource,
    }
    for path, resource in routes.items():
        application.add_route(path, resource(instance_id, data_centre, source, metrics))
    return application
