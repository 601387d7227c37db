"""Heartbeats: a few peers a round, with all that is known of the others."""

from random import Random

from trio import Event, Nursery, current_time, sleep_until

from trefoilhitch._generated.peer import Heartbeat
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.config import ConfigHolder
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import RefusalError, StoreError
from trefoilhitch.fleet import Fleet
from trefoilhitch.peer_client import PeerClients
from trefoilhitch.store import VmDirectory

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_MS = 750
FANOUT = 2
LIST_INTERVAL_S = 5.0
LIST_TIMEOUT_MS = 2000


class Heartbeats:
    """Exchanges heartbeats with randomly chosen peers.

    Args:
        fleet: keeps what is known of nodes.
        config: its revision is told to peers.
        peers: reaches them.
        directory: lists VMs that were not heard yet.
        log: takes note of failures of the list.
        random: chooses peers.

    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        config: ConfigHolder,
        peers: PeerClients,
        directory: VmDirectory,
        log: DecisionLog,
        random: Random,
    ) -> None:
        """Keep the collaborators."""
        self.joined = Event()
        self._fleet = fleet
        self._config = config
        self._peers = peers
        self._directory = directory
        self._log = log
        self._random = random

    async def run(self, nursery: Nursery) -> None:
        """Start a round at each interval, for ever.

        Args:
            nursery: runs the exchanges.

        """
        wake_at = current_time()
        while True:
            self.start_round(nursery)
            wake_at = max(wake_at, current_time()) + HEARTBEAT_INTERVAL_S
            await sleep_until(wake_at)

    def start_round(self, nursery: Nursery) -> None:
        """Send a heartbeat to a few peers.

        Args:
            nursery: runs the exchanges.

        """
        heartbeat = self._fleet.beat(self._config.current.revision)
        contacts = self._fleet.contacts()
        chosen = self._random.sample(contacts, min(FANOUT, len(contacts)))
        for address in chosen:
            nursery.start_soon(self._exchange, address, heartbeat)

    async def follow_list(self) -> None:
        """Read the platform's list of VMs at each interval, for ever."""
        while True:
            try:
                vms = await self._directory.list_vms(
                    deadline_after_ms(LIST_TIMEOUT_MS)
                )
            except (StoreError, RefusalError) as exc:
                self._log.event('vm_list_unavailable', detail=str(exc))
            else:
                self._fleet.listed(vms)
            settled = self.joined.is_set()
            interval_s = LIST_INTERVAL_S if settled else HEARTBEAT_INTERVAL_S
            await sleep_until(current_time() + interval_s)

    async def _exchange(self, address: str, heartbeat: Heartbeat) -> None:
        deadline = deadline_after_ms(HEARTBEAT_TIMEOUT_MS)
        try:
            answer = await self._peers.at(address).heartbeat(
                heartbeat, deadline
            )
        except RefusalError:
            return
        self._fleet.observe(answer)
        self.joined.set()
