"""The falcon application towards callers."""

import json
from typing import Any

import falcon

from fireflylink_caller_frontend._errors import RequestRefusedError
from fireflylink_caller_frontend._handler import BaseRequestHandler
from fireflylink_caller_frontend._replies import JSON_TYPE, write_reply
from fireflylink_caller_frontend._request_reader import METHODS, read_request
from fireflylink_core import BaseClock, NotRun

UNKNOWN_PATH = NotRun("unknown-path", "The path must be /v1/<service> or /v1/<service>/<key>.", 404)


class _ServiceResource:
    """Requests of a service, with or without a key."""

    __slots__ = ("clock", "handler")

    def __init__(self, handler: BaseRequestHandler, clock: BaseClock) -> None:
        self.handler = handler
        self.clock = clock

    def respond(
        self, source: falcon.Request, target: falcon.Response, service: str, key: str = ""
    ) -> None:
        """Reads, runs and answers one request."""
        declared = self.handler.service(service)
        if declared is None:
            write_reply(target, NotRun("unknown-service", f"There is no service {service!r}.", 404))
            return
        try:
            request = read_request(source, declared, key, self.clock)
        except RequestRefusedError as error:
            write_reply(target, error.reply)
            return
        write_reply(target, self.handler.handle(request))

    on_get = on_head = on_put = on_delete = on_post = respond
    on_patch = on_options = respond


class _RequestIdResource:
    """Request ids for callers that do not make their own."""

    __slots__ = ("handler",)

    def __init__(self, handler: BaseRequestHandler) -> None:
        self.handler = handler

    def on_post(self, _source: falcon.Request, target: falcon.Response) -> None:
        """Issues a request id."""
        target.content_type = JSON_TYPE
        target.data = json.dumps({"request_id": self.handler.issue_request_id()}).encode()


def _unknown_path(req: falcon.Request, resp: falcon.Response, **kwargs: Any) -> None:
    write_reply(resp, UNKNOWN_PATH)


def make_application(handler: BaseRequestHandler, clock: BaseClock) -> Any:
    """Returns the WSGI application that callers use.

    Example::

        listener = HttpListener(make_application(handler, clock), "127.0.0.1", 8080)
    """
    application = falcon.App()
    application.req_options.strip_url_path_trailing_slash = False
    resource = _ServiceResource(handler, clock)
    application.add_route("/v1/request-ids", _RequestIdResource(handler))
    application.add_route("/v1/{service}/{key}", resource)
    application.add_route("/v1/{service}", resource)
    application.add_sink(_unknown_path, "/")
    return application


__all__ = ["METHODS", "make_application"]
