"""Fetches a recent proof of a primary when a read needs one.

With many nodes, proofs that are passed on in turn arrive too old. One node of
each data centre fetches the proofs of a service from the node that monitors
its primary, while others ask for them.
"""

from collections.abc import Sequence

from trio import Event, move_on_after

from trefoilhitch._generated.peer import MemberBeat, ProofReply, ProofRequest
from trefoilhitch.pooler.cluster_state import (
    ClusterState,
    primary_data_centre,
)
from trefoilhitch.pooler.control.peer_backoff import PeerBackoff
from trefoilhitch.pooler.gateway_placement import rank_by_name
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.monitor_order import rank_monitors
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.peer_messages import apply_proofs, newest_proof

# Oldest proof that a node passes on without looking for a newer one.
MAX_SHARED_AGE_S = 0.5
# How long a read waits for a proof before it does without one.
MAX_WAIT_S = 0.15
PROOF_TIMEOUT_S = 0.3
_MS_PER_S = 1000


class ProofFetcher:
    """Requests proofs of primaries from other nodes.

    Args:
        cluster: receives the proofs.
        membership: the known nodes.
        client: sends requests to other nodes.
        asked: tells which nodes may be asked.

    """

    def __init__(
        self,
        *,
        cluster: ClusterState,
        membership: MembershipView,
        client: PeerClient,
        asked: PeerBackoff,
    ) -> None:
        """Start without requests."""
        self._asked = asked
        self._cluster = cluster
        self._membership = membership
        self._client = client
        self._pending: dict[str, Event] = {}

    async def ensure_recent(self, service: str, not_before: float) -> None:
        """Wait for a moment for a proof that is recent enough.

        Args:
            service: service name.
            not_before: when the proof may have been requested at the earliest,
                on the clock that counts suspended time.

        """
        if self._has_recent(service, not_before):
            return
        with move_on_after(MAX_WAIT_S):
            await self._fetch(service)

    async def reply(self, request: ProofRequest) -> ProofReply:
        """Answer another node's request.

        Args:
            request: the request.

        Returns:
            The newest proof of this node.

        """
        max_age_s = request.max_age_ms / _MS_PER_S
        not_before = self._cluster.clock() - max_age_s
        if not self._has_recent(request.service, not_before):
            await self._fetch(request.service)
        return ProofReply(proofs=newest_proof(self._cluster, request.service))

    def _has_recent(self, service: str, not_before: float) -> bool:
        newest = self._cluster.observations.newest(service)
        return newest is not None and newest.sent_at >= not_before

    async def _fetch(self, service: str) -> None:
        if self._obtains_first_proof(service):
            await self._wait_for_first_proof(service)
            return
        pending = self._pending.get(service)
        if pending is not None:
            await pending.wait()
            return
        source = self._source(service)
        if source is None:
            return
        finished = Event()
        self._pending[service] = finished
        try:
            await self._request(service, source)
        finally:
            self._pending.pop(service)
            finished.set()

    def _obtains_first_proof(self, service: str) -> bool:
        """Return whether this node's monitor is to obtain the first proof.

        Another node would ask this one in turn, so that both would wait.
        """
        if self._cluster.observations.newest(service) is not None:
            return False
        monitors = self._rank_monitors(service, self._membership.live())
        return monitors[:1] == [self._membership.heartbeat.node]

    async def _wait_for_first_proof(self, service: str) -> None:
        with move_on_after(MAX_WAIT_S):
            while self._cluster.observations.newest(service) is None:
                await self._cluster.wait_for_change()

    async def _request(self, service: str, source: MemberBeat) -> None:
        sent_at = self._cluster.clock()
        request = ProofRequest(
            service=service, max_age_ms=int(MAX_SHARED_AGE_S * _MS_PER_S)
        )
        reply = await self._client.request(
            source.address,
            'proof',
            request,
            ProofReply,
            timeout_s=PROOF_TIMEOUT_S,
        )
        self._asked.record(source.node, answered=reply is not None)
        if reply is not None:
            apply_proofs(self._cluster, reply.proofs, sent_at)

    def _source(self, service: str) -> MemberBeat | None:
        """Return the node to ask, None if there is none."""
        own = self._membership.heartbeat
        live = self._membership.live()
        local = [node for node in live if self._membership.is_near(node)]
        for node in rank_by_name(f'proof/{service}', local):
            if node.node == own.node:
                break
            if self._asked.may_ask(node.node):
                return node
        return self._monitor(service, live)

    def _monitor(
        self, service: str, live: Sequence[MemberBeat]
    ) -> MemberBeat | None:
        """Return the monitor, None if it is this node or did not answer."""
        names = self._rank_monitors(service, live)
        first = names[0] if names else ''
        if first in {'', self._membership.heartbeat.node}:
            return None
        if not self._asked.may_ask(first):
            return None
        return next(node for node in live if node.node == first)

    def _rank_monitors(
        self, service: str, live: Sequence[MemberBeat]
    ) -> list[str]:
        return rank_monitors(
            service, primary_data_centre(self._cluster, service), live
        )
