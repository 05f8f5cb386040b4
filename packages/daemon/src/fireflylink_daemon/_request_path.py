"""The path of a request from the entry daemon to the gateway of its shard."""

import random

import gevent

from fireflylink_caller_frontend import BaseRequestHandler
from fireflylink_core import (
    BaseClock,
    BaseReply,
    CallerRequest,
    NotRun,
    Service,
    ServiceKind,
    key_hash,
)
from fireflylink_daemon._control_messages import SyncNow
from fireflylink_daemon._forwarding import Forwarder
from fireflylink_daemon._gateway_task import GatewayTask
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._task import BaseTask
from fireflylink_daemon._view import View
from fireflylink_decisions.admission import issue_request_id
from fireflylink_decisions.retries import RequestAttempts, RetryBudget, RetryPolicy

HASH_BITS = 64
REROUTE_REASONS = frozenset({"moved", "no-owner", "no-authority", "gateway-unreachable"})
"""Refusals that end once a newer table arrives; they are retried until the deadline."""

FIRST_REROUTE_DELAY = 0.005
LAST_REROUTE_DELAY = 0.1

NO_OWNER = NotRun("no-owner", "No daemon is the gateway of this shard.", 503, retry_after_ms=200)


class RequestPath(BaseRequestHandler):
    """Finds the gateway of each request, here or at another daemon, and retries where it may.

    Only the entry daemon retries, so that two layers never multiply the load.
    """

    __slots__ = (
        "_budgets",
        "_random",
        "clock",
        "control",
        "forwarder",
        "gateway",
        "instance_id",
        "metrics",
        "view",
    )

    def __init__(
        self,
        instance_id: str,
        clock: BaseClock,
        view: View,
        gateway: GatewayTask,
        forwarder: Forwarder,
        control: BaseTask,
        metrics: Metrics,
        random_source: random.Random,
    ) -> None:
        self.instance_id = instance_id
        self.clock = clock
        self.view = view
        self.gateway = gateway
        self.forwarder = forwarder
        self.control = control
        self.metrics = metrics
        self._random = random_source
        self._budgets: dict[str, RetryPolicy] = {}

    def service(self, name: str) -> Service | None:
        found: Service | None = self.view.configuration.services.get(name)
        return found

    def issue_request_id(self) -> str:
        return issue_request_id(self.clock.wall_ms(), self._random)

    def handle(self, request: CallerRequest) -> BaseReply:
        started = self.clock.now()
        reply = self._run(request)
        self.metrics.note_reply(request.service, request.tenant, reply, self.clock.now() - started)
        return reply

    def _run(self, request: CallerRequest) -> BaseReply:
        policy = self._policy(request.service)
        attempts = RequestAttempts(request.idempotent, request.deadline)
        reroute_delay = FIRST_REROUTE_DELAY
        while True:
            reply = self._attempt(request, self._hashed_key(request))
            now = self.clock.now()
            if isinstance(reply, NotRun) and reply.reason in REROUTE_REASONS:
                # The wait for a newer table is not a retry that could overload a server.
                if now + reroute_delay >= request.deadline:
                    return attempts.final(reply)
                self.control.post(SyncNow())
                gevent.sleep(reroute_delay)
                reroute_delay = min(reroute_delay * 2, LAST_REROUTE_DELAY)
                continue
            decision = policy.decide(attempts, reply, now)
            if isinstance(decision, BaseReply):
                return decision
            gevent.sleep(decision.at - now)

    def _policy(self, service: str) -> RetryPolicy:
        policy = self._budgets.get(service)
        if policy is None:
            policy = RetryPolicy(RetryBudget(self.clock.now()), self._random)
            self._budgets[service] = policy
        return policy

    def _hashed_key(self, request: CallerRequest) -> int:
        """Returns the hash by which the request finds its shard.

        An idempotent request of a pooled service may go to any shard, and to another one each time.
        """
        if request.key:
            return key_hash(request.key)
        if request.idempotent:
            return self._random.getrandbits(HASH_BITS)
        return key_hash(request.request_id)

    def _attempt(self, request: CallerRequest, hashed_key: int) -> BaseReply:
        route = self.view.routes.find_hash(request.service, hashed_key)
        if route is None:
            return NO_OWNER
        gateway = route.group.gateway
        if gateway == self.instance_id:
            return self.gateway.serve(request, route, hashed_key)
        member = self.view.members.get(gateway)
        if member is None:
            return NO_OWNER
        return self.forwarder.forward(member, request, hashed_key)

    def serve_forwarded(self, request: CallerRequest, hashed_key: int) -> BaseReply:
        """Serves a request that another entry daemon forwarded, without forwarding it again."""
        service = self.service(request.service)
        if service is None:
            return NO_OWNER
        if service.kind is ServiceKind.KEYED or not request.idempotent:
            hashed_key = key_hash(request.key or request.request_id)
        route = self.view.routes.find_hash(request.service, hashed_key)
        if route is None or route.group.gateway != self.instance_id:
            return NotRun("moved", "This daemon is not the gateway of the shard.", 503, 20)
        return self.gateway.serve(request, route, hashed_key)
