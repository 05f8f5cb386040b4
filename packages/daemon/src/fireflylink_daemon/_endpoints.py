"""HTTP endpoints for the readiness checks of the platform's load balancer and for metrics."""

from collections.abc import Callable
from typing import Any

import falcon

from fireflylink_daemon._metrics import Metrics

METRICS_PATH = "/metrics"
TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"


class _ReadinessResource:
    """Reports whether the daemon accepts new connections."""

    __slots__ = ("is_ready",)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with status 200 while the daemon is ready, otherwise with 503."""
        resp.status = falcon.HTTP_200 if self.is_ready() else falcon.HTTP_503
        resp.content_type = TEXT_CONTENT_TYPE
        resp.text = "ready" if self.is_ready() else "not ready"


class _MetricsResource:
    """Exposes the daemon's metrics."""

    __slots__ = ("metrics",)

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with all metrics in the Prometheus text format."""
        resp.content_type = TEXT_CONTENT_TYPE
        resp.text = self.metrics.exposition()


def make_readiness_application(path: str, is_ready: Callable[[], bool]) -> Any:
    """Returns the WSGI application for the load balancer's readiness checks."""
    application = falcon.App()
    application.add_route(path, _ReadinessResource(is_ready))
    return application


def make_metrics_application(metrics: Metrics) -> Any:
    """Returns the WSGI application that exposes the metrics."""
    application = falcon.App()
    application.add_route(METRICS_PATH, _MetricsResource(metrics))
    return application
