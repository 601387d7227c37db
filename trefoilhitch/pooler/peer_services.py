"""What a node does for other nodes, and how their messages are read."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from msgspec import Struct

from trefoilhitch.errors import BadRequestError
from trefoilhitch.http_message import HttpRequest
from trefoilhitch.json_decoding import UnreadableJsonError
from trefoilhitch.pooler.acknowledging.failover_announcement import Announcer
from trefoilhitch.pooler.control.status_source import StatusSource
from trefoilhitch.pooler.declaration_sync import DeclarationSync
from trefoilhitch.pooler.explaining.route_explainer import RouteExplainer
from trefoilhitch.pooler.gateway_server import GatewayServer
from trefoilhitch.pooler.lease_observer import LeaseObserver
from trefoilhitch.pooler.peer_decoding import decode_message
from trefoilhitch.pooler.peer_sync import PeerSync
from trefoilhitch.pooler.proof_fetcher import ProofFetcher
from trefoilhitch.pooler.running_attempts import RunningAttempts

MessageT = TypeVar('MessageT')
PeerCallHandler = Callable[[HttpRequest], Awaitable[Struct]]


@dataclass(frozen=True, slots=True)
class PeerServices:
    """What a node does for other nodes.

    Args:
        sync: exchanges state.
        gateway: runs statements on this node's connections.
        leases: keeps a view of the leases.
        attempts: the failovers that run in this process.
        announcer: records the failovers of other nodes.
        proofs: fetches proofs of primaries.
        declarations: sends the declaration in force.
        statuses: obtains the statuses of endpoints.
        explainer: explains where requests would be routed.

    """

    sync: PeerSync
    gateway: GatewayServer
    leases: LeaseObserver
    attempts: RunningAttempts
    announcer: Announcer
    proofs: ProofFetcher
    declarations: DeclarationSync
    statuses: StatusSource
    explainer: RouteExplainer


def read_message(req: HttpRequest, message_type: type[MessageT]) -> MessageT:
    """Decode the message of another node.

    Args:
        req: the request.
        message_type: type of the message.

    Returns:
        The message.

    Raises:
        BadRequestError: the message is malformed.

    """
    try:
        return decode_message(req.body, message_type)
    except UnreadableJsonError as exc:
        raise BadRequestError(str(exc)) from exc
