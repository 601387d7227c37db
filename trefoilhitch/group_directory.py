"""Keeps an entry's group states fresh by asking the groups' monitors."""

from trio import Event, Nursery, current_time

from trefoilhitch._generated.peer import GroupChange, GroupQuery, GroupView
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.errors import NoPrimaryError, RefusalError
from trefoilhitch.fleet import Fleet
from trefoilhitch.group_state import GroupState
from trefoilhitch.monitors import Monitors
from trefoilhitch.peer_client import PeerClients
from trefoilhitch.term_guard import TermGuard

VIEW_LIFE_S = 0.25
QUERY_TIMEOUT_MS = 500


class GroupDirectory:
    """Answers what is known of a group.

    Args:
        fleet: names the monitors.
        peers: reaches them.
        local: this node's own monitors.
        nursery: runs refreshes.

    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        peers: PeerClients,
        local: Monitors,
        nursery: Nursery,
    ) -> None:
        """Start without knowledge."""
        self._fleet = fleet
        self._peers = peers
        self._local = local
        self._nursery = nursery
        self._states: dict[str, GroupState] = {}
        self._refreshing: dict[str, Event] = {}
        self.guard = TermGuard()
        fleet.on_change(self._take_change)

    async def state(self, service: str) -> GroupState:
        """Return what is known of a group.

        A state that is past its life is used once more while it is refreshed.

        Args:
            service: name of the service.

        Returns:
            The state; it has no view if no monitor answered.

        """
        state = self._states.setdefault(service, GroupState())
        if current_time() >= state.expires_at:
            refreshed = self._refresh(service, state)
            if state.view is None:
                await refreshed.wait()
        return state

    async def refresh(self, service: str) -> None:
        """Ask the monitors now, because what is known proved wrong.

        Args:
            service: name of the service.

        """
        state = self._states.setdefault(service, GroupState())
        await self._refresh(service, state).wait()

    def _take_change(self, change: GroupChange) -> None:
        state = self._states.get(change.service)
        if state is not None and state.replace_primary(change):
            self.guard.end_term(change.service)

    def _refresh(self, service: str, state: GroupState) -> Event:
        running = self._refreshing.get(service)
        if running is None:
            running = Event()
            self._refreshing[service] = running
            self._nursery.start_soon(
                self._ask_monitors, service, state, running
            )
        return running

    async def _ask_monitors(
        self,
        service: str,
        state: GroupState,
        running: Event,
    ) -> None:
        asked_at = current_time()
        try:
            view = await self._first_view(service)
        finally:
            self._refreshing.pop(service)
            running.set()
        if view is not None:
            state.adopt(
                view,
                asked_at=asked_at,
                expires_at=current_time() + VIEW_LIFE_S,
            )

    async def _first_view(self, service: str) -> GroupView | None:
        for node in self._fleet.monitors_of(service):
            try:
                view = await self._view_from(node, service)
            except RefusalError:
                continue
            if view.primary:
                return view
        return None

    async def _view_from(self, node: str, service: str) -> GroupView:
        query = GroupQuery(service=service)
        if node == self._fleet.identity.node:
            return self._local.view(query)
        address = self._fleet.address_of(node)
        if address is None:
            raise NoPrimaryError('the monitor has no known address')
        deadline = deadline_after_ms(QUERY_TIMEOUT_MS)
        return await self._peers.at(address).group(query, deadline)
