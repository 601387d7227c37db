"""Gossip of heartbeats: each round sends all known ones to a few peers."""

from random import Random

from trio import Event, current_time, sleep_until

from trefoilhitch._generated.peer import Heartbeat
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.config import ConfigHolder
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import RefusalError, StoreError
from trefoilhitch.membership import Membership
from trefoilhitch.peer_client import PeerClients
from trefoilhitch.round_starter import TaskStarter
from trefoilhitch.store import VmDirectory

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_MS = 750
PEERS_PER_ROUND = 2
VM_LIST_INTERVAL_S = 5.0
VM_LIST_TIMEOUT_MS = 2000


class HeartbeatSender:
    """Exchanges heartbeats with randomly chosen peers.

    Args:
        membership: builds and merges heartbeats.
        config: holds the revision that heartbeats carry.
        peers: creates clients for other nodes.
        directory: lists the VMs, including those without a heartbeat yet.
        log: records failures to read the list.
        random: chooses peers.

    """

    def __init__(
        self,
        *,
        membership: Membership,
        config: ConfigHolder,
        peers: PeerClients,
        directory: VmDirectory,
        log: DecisionLog,
        random: Random,
    ) -> None:
        """Store the collaborators."""
        self.joined = Event()
        self._membership = membership
        self._config = config
        self._peers = peers
        self._directory = directory
        self._log = log
        self._random = random

    async def run(self, nursery: TaskStarter) -> None:
        """Start a round at each interval until cancelled.

        Args:
            nursery: runs the exchanges.

        """
        wake_at = current_time()
        while True:
            self.start_round(nursery)
            wake_at = max(wake_at, current_time()) + HEARTBEAT_INTERVAL_S
            await sleep_until(wake_at)

    def start_round(self, nursery: TaskStarter) -> None:
        """Send a heartbeat to a few peers.

        Args:
            nursery: runs the exchanges.

        """
        heartbeat = self._membership.advance_heartbeat(
            self._config.current.revision
        )
        addresses = self._membership.peer_addresses()
        chosen = self._random.sample(
            addresses, min(PEERS_PER_ROUND, len(addresses))
        )
        for address in chosen:
            nursery.start_soon(self._exchange, address, heartbeat)

    async def poll_vm_list(self) -> None:
        """Read the platform's list of VMs at each interval until cancelled.

        The interval is shorter until a peer has answered a heartbeat.
        """
        while True:
            try:
                vms = await self._directory.list_vms(
                    deadline_after_ms(VM_LIST_TIMEOUT_MS)
                )
            except (StoreError, RefusalError) as exc:
                self._log.event('vm_list_unavailable', detail=str(exc))
            else:
                self._membership.update_listed_vms(vms)
            has_joined = self.joined.is_set()
            interval_s = (
                VM_LIST_INTERVAL_S if has_joined else HEARTBEAT_INTERVAL_S
            )
            await sleep_until(current_time() + interval_s)

    async def _exchange(self, address: str, heartbeat: Heartbeat) -> None:
        deadline = deadline_after_ms(HEARTBEAT_TIMEOUT_MS)
        try:
            response = await self._peers.at(address).heartbeat(
                heartbeat, deadline
            )
        except RefusalError:
            return
        self._membership.merge(response)
        self.joined.set()
