"""Endpoints for the platform's balancer and for metrics."""

from collections.abc import Callable
from typing import Any

import falcon

from fireflylink_daemon._metrics import Metrics

METRICS_PATH = "/metrics"
TEXT = "text/plain; charset=utf-8"


class _Readiness:
    """Tells whether the daemon takes new connections."""

    __slots__ = ("ready",)

    def __init__(self, ready: Callable[[], bool]) -> None:
        self.ready = ready

    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        """Answers 200 while the daemon is ready, else 503."""
        resp.status = falcon.HTTP_200 if self.ready() else falcon.HTTP_503
        resp.content_type = TEXT
        resp.text = "ready" if self.ready() else "not ready"


class _MetricsText:
    """Shows the daemon's metrics."""

    __slots__ = ("metrics",)

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def on_get(self, _req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with all metrics as text."""
        resp.content_type = TEXT
        resp.text = self.metrics.exposition()


def make_readiness_application(path: str, ready: Callable[[], bool]) -> Any:
    """Returns the WSGI application that the balancer asks."""
    application = falcon.App()
    application.add_route(path, _Readiness(ready))
    return application


def make_metrics_application(metrics: Metrics) -> Any:
    """Returns the WSGI application that shows metrics."""
    application = falcon.App()
    application.add_route(METRICS_PATH, _MetricsText(metrics))
    return application
