"""Stand-in of a database group: its endpoints, their logs, changes of lead."""

from collections.abc import Callable

from trio import Event, Nursery, sleep

from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_log import LogEntry, RanStatement

# Replicas that hold a commit before it is acknowledged.
SYNC_REPLICAS = 1
PROMOTION_S = 0.3


class WireGroup:
    """A database group: its endpoints, its log and what it acknowledged.

    Args:
        service: its name.
        changed: called when an endpoint's role changes.

    """

    def __init__(
        self,
        service: str,
        *,
        changed: Callable[[], None],
    ) -> None:
        """Start without endpoints."""
        self.service = service
        self.term = 1
        self.endpoints: dict[str, WireEndpoint] = {}
        self.ran: list[RanStatement] = []
        self.acknowledged: list[LogEntry] = []
        self.lost: list[LogEntry] = []
        self._sync_replicas = SYNC_REPLICAS
        self._changed = changed
        self._nursery: Nursery | None = None

    async def start(
        self, nursery: Nursery, data_centres: tuple[str, ...]
    ) -> None:
        """Start one endpoint in each data centre; the first leads.

        Args:
            nursery: runs them.
            data_centres: where they stand.

        """
        self._nursery = nursery
        for number, data_centre in enumerate(data_centres):
            name = f'{self.service}-{number}'
            endpoint = WireEndpoint(self, name, data_centre)
            await endpoint.start(nursery)
            self.endpoints[name] = endpoint
        next(iter(self.endpoints.values())).leads = True

    @property
    def lead(self) -> WireEndpoint | None:
        """The endpoint that leads, if one does."""
        leading = [each for each in self.endpoints.values() if each.leads]
        return leading[0] if leading else None

    def replicas(self) -> list[WireEndpoint]:
        """Return the endpoints that do not lead."""
        return [each for each in self.endpoints.values() if not each.leads]

    async def commit(
        self,
        lead: WireEndpoint,
        writes: dict[str, str],
        request_ids: tuple[str, ...],
    ) -> None:
        """Commit at the lead and wait until enough replicas hold it.

        Args:
            lead: the endpoint.
            writes: data by item.
            request_ids: ids of the statements that wrote.

        """
        entry = LogEntry(
            self.term, lead.position[1] + 1, dict(writes), request_ids
        )
        lead.log.append(entry)
        lead.applied = len(lead.log)
        held = Event()
        holders: list[str] = []
        for replica in self.endpoints.values():
            if replica is not lead and self._nursery is not None:
                self._nursery.start_soon(
                    self._ship, lead, replica, entry, holders, held
                )
        if self._sync_replicas:
            await held.wait()
        self.acknowledged.append(entry)

    async def promote(self, endpoint: str) -> bool:
        """Make an endpoint lead the next term.

        Args:
            endpoint: its id.

        Returns:
            False if it is not running.

        """
        chosen = self.endpoints.get(endpoint)
        if chosen is None or chosen.faults.down:
            return False
        if chosen.leads:
            return True
        await sleep(PROMOTION_S)
        self.lost.extend(
            entry for entry in self.acknowledged if entry not in chosen.log
        )
        self.term += 1
        for each in self.endpoints.values():
            each.leads = each is chosen
            each.fenced_term = 0
            self.catch_up(each)
        chosen.applied = len(chosen.log)
        self._changed()
        return True

    def catch_up(self, replica: WireEndpoint) -> None:
        """Give a replica the log of the lead.

        Args:
            replica: the endpoint.

        """
        lead = self.lead
        cut = replica.faults.cut_from_group or replica.fenced_term
        if lead is None or replica is lead or cut or lead.faults.cut_from_group:
            return
        replica.log = list(lead.log)
        replica.applied = min(replica.applied, len(replica.log))
        self._apply_later(replica)

    async def _ship(
        self,
        lead: WireEndpoint,
        replica: WireEndpoint,
        entry: LogEntry,
        holders: list[str],
        held: Event,
    ) -> None:
        await sleep(0)
        cut = lead.faults.cut_from_group or replica.faults.cut_from_group
        if cut or replica.faults.down or replica.fenced_term:
            return
        if entry.term != self.term or not lead.leads:
            return
        replica.follow(lead, entry)
        holders.append(replica.endpoint)
        if len(holders) >= self._sync_replicas:
            held.set()
        self._apply_later(replica)

    def _apply_later(self, replica: WireEndpoint) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(_apply, replica, len(replica.log))


async def _apply(replica: WireEndpoint, count: int) -> None:
    await sleep(replica.faults.lag_s)
    replica.applied = max(replica.applied, min(count, len(replica.log)))
