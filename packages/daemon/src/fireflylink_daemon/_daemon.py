"""Wiring of the tasks and listeners of a daemon, its start and its graceful end."""

import random

import gevent
from gevent.event import Event
from gevent.ssl import CERT_REQUIRED, PROTOCOL_TLS_CLIENT, PROTOCOL_TLS_SERVER, SSLContext

from fireflylink_caller_frontend import HttpListener, make_application
from fireflylink_core import (
    BaseClock,
    BaseReply,
    CallerRequest,
    EndorseReply,
    EndorseRequest,
    HandoverReply,
    HandoverRequest,
    Member,
    SyncReply,
    SyncRequest,
)
from fireflylink_daemon._control_messages import EndorseAsked, HandoverAsked, Leave, SyncAsked
from fireflylink_daemon._control_state import MILLISECONDS_PER_SECOND, ControlState
from fireflylink_daemon._control_task import ControlTask
from fireflylink_daemon._document_cache import DocumentCache
from fireflylink_daemon._forwarding import ForwardApplication, Forwarder
from fireflylink_daemon._gateway_messages import ViewChanged
from fireflylink_daemon._gateway_task import GatewayTask
from fireflylink_daemon._log import log_event
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._operator_endpoint import (
    BaseStatusSource,
    DaemonStatus,
    make_operator_application,
)
from fireflylink_daemon._peer_calls import PEER_TIMEOUT
from fireflylink_daemon._peers import PeerDirectory
from fireflylink_daemon._planning import PlanningDesk
from fireflylink_daemon._platform_task import PlatformTask
from fireflylink_daemon._request_path import RequestPath
from fireflylink_daemon._settings import DaemonSettings, PeerTls
from fireflylink_daemon._view import View
from fireflylink_decisions.authority import AuthorityBook
from fireflylink_decisions.ownership import BoundedLoadPlanner, merge_tables
from fireflylink_documents import DocumentSigner
from fireflylink_platform_client import InstanceListClient, KeyValueClient
from fireflylink_protocol import BaseControlHandler, ControlServer

LEAVE_NOTICE = 2.0
"""Seconds between the announcement of a leave and the closing of the caller listener, so that the
balancer has noticed and callers have moved their connections."""

LEAVE_TIMEOUT = 20.0
"""Seconds after which a daemon that could not hand over its groups ends all the same."""

IN_FLIGHT_TIMEOUT = 30.0
LEAVE_CHECK_PERIOD = 0.05
CONTROL_STOP_GRACE = 0.5
NO_SETTINGS = "no configuration has been received"


class _ControlHandler(BaseControlHandler):
    """Passes the control messages of other daemons to the tasks."""

    __slots__ = ("_control", "_gateway")

    def __init__(self, control: ControlTask, gateway: GatewayTask) -> None:
        self._control = control
        self._gateway = gateway

    def sync(self, request: SyncRequest) -> SyncReply:
        reply: SyncReply = self._control.ask(SyncAsked(request), PEER_TIMEOUT)
        return reply

    def endorse(self, request: EndorseRequest) -> EndorseReply:
        reply: EndorseReply = self._control.ask(EndorseAsked(request), PEER_TIMEOUT)
        return reply

    def handover(self, request: HandoverRequest) -> HandoverReply:
        return HandoverReply(bool(self._gateway.ask(HandoverAsked(request), PEER_TIMEOUT)))


class Daemon(BaseStatusSource):
    """One daemon: its tasks, its four listeners and the order in which they start and end.

    Example::

        daemon = Daemon(settings, SystemClock())
        daemon.start()
        daemon.leave()
    """

    __slots__ = (
        "_ended",
        "_peers",
        "_view",
        "callers",
        "clock",
        "control",
        "control_server",
        "forward_listener",
        "forwarder",
        "gateway",
        "metrics",
        "operators",
        "path",
        "platform",
        "settings",
        "state",
    )

    def __init__(self, settings: DaemonSettings, clock: BaseClock) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics()
        self._ended = Event()
        signer = DocumentSigner(settings.cluster_key)
        myself = Member(
            settings.instance_id,
            settings.data_centre,
            settings.host,
            settings.control_port,
            settings.forward_port,
            operator_port=settings.operator_port,
        )
        self.state = ControlState(myself, DocumentCache(signer), clock.now())
        self.state.directory.take_list((myself, *settings.peers), clock.now())
        self._view = self._first_view(myself)
        self._peers = PeerDirectory(settings.credentials)
        self.control = ControlTask(
            clock, self.state, PlanningDesk(BoundedLoadPlanner()), self._peers, self._publish
        )
        self.gateway = GatewayTask(
            clock, settings.instance_id, self._view, self.control, self._send_handover
        )
        self.platform = PlatformTask(
            clock,
            signer,
            lambda: KeyValueClient(settings.platform_host, settings.platform_port, clock=clock),
            InstanceListClient(settings.platform_host, settings.platform_port, clock=clock),
            self.control,
        )
        self.control.connect(self.platform)
        client_tls = _client_tls(settings.tls)
        self.forwarder = Forwarder(settings.instance_id, clock, client_tls)
        self.path = RequestPath(
            settings.instance_id,
            clock,
            self._view,
            self.gateway,
            self.forwarder,
            self.control,
            self.metrics,
            random.Random(),
        )
        self.control_server = ControlServer(
            settings.host,
            settings.control_port,
            _ControlHandler(self.control, self.gateway),
            settings.credentials,
        )
        forward = ForwardApplication(settings.instance_id, clock, self._serve_forwarded)
        self.forward_listener = HttpListener(
            forward, settings.host, settings.forward_port, _server_tls(settings.tls)
        )
        self.callers = HttpListener(
            make_application(self.path, clock), settings.host, settings.caller_port
        )
        self.operators = HttpListener(
            make_operator_application(
                settings.instance_id,
                settings.data_centre,
                settings.operator_token,
                self,
                self.metrics,
            ),
            settings.host,
            settings.operator_port,
        )

    def _first_view(self, myself: Member) -> View:
        configuration = self.state.cache.configuration
        return View(
            configuration=configuration,
            tables={},
            routes=merge_tables(configuration, ()),
            book=AuthorityBook(),
            settled={},
            members={myself.instance_id: myself},
            crashes=(),
            root="",
            leaving=False,
        )

    # Start and end

    def start(self) -> None:
        """Starts the tasks and then the listeners."""
        self._announce_ports()
        self.control.start()
        self.gateway.start()
        self.platform.start()
        self.control_server.start()
        self.forward_listener.start()
        self.operators.start()
        self.callers.start()
        log_event(
            "started",
            instance=self.settings.instance_id,
            data_centre=self.settings.data_centre,
        )

    def listening_line(self) -> str:
        """Returns the ports of the listeners as one line of key=value pairs."""
        return (
            f"event=listening caller_port={self.callers.port} "
            f"control_port={self.control_server.port} "
            f"forward_port={self.forward_listener.port} "
            f"operator_port={self.operators.port}"
        )

    def _announce_ports(self) -> None:
        """Replaces ports that were left to the operating system by the ones it chose."""
        self.state.myself = self.state.myself.replace(
            control_port=self.control_server.port,
            forward_port=self.forward_listener.port,
            operator_port=self.operators.port,
        )
        self.state.directory.hear(self.state.myself, self.clock.now())

    def leave(self) -> None:
        """Leaves gracefully: announces it, hands over the groups and ends what is in flight.

        Returns when the daemon has ended.
        """
        started = self.clock.now()
        self.control.post(Leave())
        self.callers.begin_closing()
        while self.clock.now() < started + LEAVE_NOTICE:
            gevent.sleep(LEAVE_CHECK_PERIOD)
        drained = self.callers.close(IN_FLIGHT_TIMEOUT)
        while not self.gateway.is_idle and self.clock.now() < started + LEAVE_TIMEOUT:
            gevent.sleep(LEAVE_CHECK_PERIOD)
        # Entry daemons that have not heard of the move yet are told that it moved.
        gevent.sleep(LEAVE_NOTICE if self.gateway.is_idle else 0)
        drained = self.forward_listener.close(IN_FLIGHT_TIMEOUT) and drained
        log_event("left", drained=drained, handed_over=self.gateway.is_idle)
        self._stop()

    def _stop(self) -> None:
        self.gateway.stop()
        self.platform.stop()
        self.control.stop()
        self.control_server.stop(CONTROL_STOP_GRACE)
        self.operators.close(0)
        self.forwarder.close()
        self._peers.close()
        self._ended.set()

    def wait(self) -> None:
        """Waits until the daemon has ended."""
        self._ended.wait()

    # What the tasks need of each other

    def _publish(self, view: View) -> None:
        self._view = view
        self.path.view = view
        self.gateway.post(ViewChanged(view))
        self.forwarder.retain(frozenset(view.members))

    def _send_handover(self, member: Member, request: HandoverRequest) -> bool:
        if member.instance_id == self.settings.instance_id:
            accepted: bool = self.gateway.ask(HandoverAsked(request), PEER_TIMEOUT)
            return accepted
        result = self._peers.channel(member).handover(request, PEER_TIMEOUT)
        return result.map(lambda reply: reply.accepted).value_or(False)

    def _serve_forwarded(self, request: CallerRequest, hashed_key: int) -> BaseReply:
        return self.path.serve_forwarded(request, hashed_key)

    # Status

    def status(self) -> DaemonStatus:
        now = self.clock.now()
        view = self._view
        authority_ms = {
            table_id: max(
                0,
                int((view.deadline(table_id, table.version) - now) * MILLISECONDS_PER_SECOND),
            )
            for table_id, table in view.tables.items()
        }
        broken = "" if view.configuration.version else NO_SETTINGS
        return DaemonStatus(
            view, self.state.in_force(), authority_ms, self.control.platform_reachable, broken
        )


def _server_tls(tls: PeerTls | None) -> SSLContext | None:
    if tls is None:
        return None
    context = SSLContext(PROTOCOL_TLS_SERVER)
    context.load_cert_chain(tls.certificate_file, tls.private_key_file)
    context.load_verify_locations(tls.authority_file)
    context.verify_mode = CERT_REQUIRED
    return context


def _client_tls(tls: PeerTls | None) -> SSLContext | None:
    if tls is None:
        return None
    context = SSLContext(PROTOCOL_TLS_CLIENT)
    context.load_cert_chain(tls.certificate_file, tls.private_key_file)
    context.load_verify_locations(tls.authority_file)
    # Peers are addressed by IP number; the authority signs daemons only.
    context.check_hostname = False
    return context
