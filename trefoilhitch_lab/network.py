"""Emulated network: latency, partitions and message loss."""

from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar

from trio import current_time, sleep, sleep_until

from trefoilhitch.errors import DeadlineError

_MS_PER_S = 1000
ResponseT = TypeVar('ResponseT')


@dataclass(frozen=True, slots=True)
class Location:
    """The location of a process.

    Args:
        region: region of the data centre.
        data_centre: data centre in which the process runs.

    """

    region: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class Latency:
    """One-way latencies in milliseconds.

    Args:
        data_centre_ms: between data centres of a region.
        region_ms: between regions.

    """

    data_centre_ms: float = 0
    region_ms: float = 0


@dataclass(slots=True)
class Network:
    """Delays and drops messages between named processes.

    Args:
        latency: one-way latencies.
        locations: location of each process by name.
        random: source of jitter and loss.
        loss: fraction of messages that are lost, from 0 to 1.
        messages: number of messages by sender and receiver.

    """

    latency: Latency = Latency()
    locations: Mapping[str, Location] = field(default_factory=dict)
    random: Random = field(default_factory=lambda: Random(0))
    loss: float = 0
    messages: Counter[tuple[str, str]] = field(default_factory=Counter)
    _cut_pairs: set[frozenset[str]] = field(default_factory=set)

    def cut(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Drop all messages between two groups of processes.

        Args:
            left: names of the processes of one group.
            right: names of the processes of the other group.

        """
        others = list(right)
        self._cut_pairs.update(
            frozenset((one, other))
            for one in left
            for other in others
            if one != other
        )

    def heal(self) -> None:
        """Remove all cuts."""
        self._cut_pairs.clear()

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether all messages between two processes are dropped.

        Args:
            source: name of one process.
            target: name of the other process.

        Returns:
            True if the processes are cut off from each other.

        """
        return frozenset((source, target)) in self._cut_pairs

    async def transmit(self, source: str, target: str, deadline: float) -> None:
        """Transmit a message: wait for its latency, or drop it.

        Args:
            source: name of the sender.
            target: name of the receiver.
            deadline: monotonic time until which the sender waits.

        Raises:
            DeadlineError: the message was dropped or too late; raised at the
                deadline.

        """
        self.messages[source, target] += 1
        if self.is_cut(source, target) or self.random.random() < self.loss:
            await sleep_until(deadline)
            raise DeadlineError(f'{target} did not answer {source}')
        delay_s = self._draw_delay_s(source, target)
        if current_time() + delay_s > deadline:
            await sleep_until(deadline)
            raise DeadlineError(f'{target} did not answer {source}')
        if delay_s:
            await sleep(delay_s)

    def _draw_delay_s(self, source: str, target: str) -> float:
        source_location = self.locations.get(source)
        target_location = self.locations.get(target)
        if (
            source_location is None
            or target_location is None
            or source_location.data_centre == target_location.data_centre
        ):
            return 0
        same_region = source_location.region == target_location.region
        base_ms = (
            self.latency.data_centre_ms
            if same_region
            else self.latency.region_ms
        )
        return base_ms * (1 + self.random.random() / 4) / _MS_PER_S


class Channel:
    """Carries requests from one process to another.

    Args:
        network: network that delays and drops the messages.
        source: name of the process that sends requests.
        target: name of the process that responds.

    """

    def __init__(self, network: Network, source: str, target: str) -> None:
        """Store both ends of the channel."""
        self._network = network
        self._source = source
        self._target = target

    async def exchange(
        self,
        deadline: float,
        send_request: Callable[[], Awaitable[ResponseT]],
    ) -> ResponseT:
        """Transmit a request and its response.

        Args:
            deadline: monotonic time until which the source waits.
            send_request: sends the request to the target and returns the
                response.

        Returns:
            The response.

        Raises:
            DeadlineError: the request or the response was dropped or too
                late.

        """
        await self._network.transmit(self._source, self._target, deadline)
        response = await send_request()
        await self._network.transmit(self._target, self._source, deadline)
        return response
