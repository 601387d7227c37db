"""Cache of group states, refreshed from the groups' monitors."""

from trio import Event, current_time

from trefoilhitch._generated.peer import GroupChange, GroupQuery, GroupView
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.errors import NoPrimaryError, RefusalError
from trefoilhitch.group_monitors import GroupMonitors
from trefoilhitch.group_state import GroupState
from trefoilhitch.membership import Membership
from trefoilhitch.peer_client import PeerClients
from trefoilhitch.round_starter import TaskStarter
from trefoilhitch.term_guard import TermGuard

VIEW_TTL_S = 0.25
QUERY_TIMEOUT_MS = 500


class GroupDirectory:
    """Caches the state of each database group.

    Args:
        membership: returns the monitors of a group.
        peers: creates clients for other nodes.
        local_monitors: monitors that run on this node.
        nursery: runs refreshes.

    """

    def __init__(
        self,
        *,
        membership: Membership,
        peers: PeerClients,
        local_monitors: GroupMonitors,
        nursery: TaskStarter,
    ) -> None:
        """Start without any group states."""
        self._membership = membership
        self._peers = peers
        self._local_monitors = local_monitors
        self._nursery = nursery
        self._states: dict[str, GroupState] = {}
        self._refreshing: dict[str, Event] = {}
        self.term_guard = TermGuard()
        membership.on_change(self._apply_change)

    async def state(self, service: str) -> GroupState:
        """Return the state of a group.

        An expired state is returned as it is while a refresh runs in the
        background. Only the first view is waited for.

        Args:
            service: name of the service.

        Returns:
            The state; it has no view if no monitor has answered yet.

        """
        state = self._states.setdefault(service, GroupState())
        if current_time() >= state.expires_at:
            refreshed = self._refresh(service, state)
            if state.view is None:
                await refreshed.wait()
        return state

    async def refresh(self, service: str) -> None:
        """Refresh the state of a group now, because it proved to be wrong.

        Args:
            service: name of the service.

        """
        state = self._states.setdefault(service, GroupState())
        await self._refresh(service, state).wait()

    def _apply_change(self, change: GroupChange) -> None:
        state = self._states.get(change.service)
        if state is not None and state.replace_primary(change):
            self.term_guard.end_term(change.service)

    def _refresh(self, service: str, state: GroupState) -> Event:
        done = self._refreshing.get(service)
        if done is None:
            done = Event()
            self._refreshing[service] = done
            self._nursery.start_soon(self._query_monitors, service, state, done)
        return done

    async def _query_monitors(
        self,
        service: str,
        state: GroupState,
        done: Event,
    ) -> None:
        sent_at = current_time()
        try:
            view = await self._fetch_view(service)
        finally:
            self._refreshing.pop(service)
            done.set()
        if view is not None:
            state.apply_view(
                view,
                sent_at=sent_at,
                expires_at=current_time() + VIEW_TTL_S,
            )

    async def _fetch_view(self, service: str) -> GroupView | None:
        for node in self._membership.monitors_of(service):
            try:
                view = await self._fetch_view_from(node, service)
            except RefusalError:
                continue
            if view.primary:
                return view
        return None

    async def _fetch_view_from(self, node: str, service: str) -> GroupView:
        query = GroupQuery(service=service)
        if node == self._membership.identity.node:
            return self._local_monitors.view(query)
        address = self._membership.address_of(node)
        if address is None:
            raise NoPrimaryError('the monitor has no known address')
        deadline = deadline_after_ms(QUERY_TIMEOUT_MS)
        return await self._peers.at(address).group(query, deadline)
