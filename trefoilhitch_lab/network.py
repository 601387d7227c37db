"""A network between places: latency, cuts and loss."""

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
    """Where a process runs.

    Args:
        region: its region.
        data_centre: its data centre.

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
    """Delays, cuts and loses messages between named processes.

    Args:
        latency: one-way latencies.
        places: place of each process by name.
        random: decides about jitter and loss.
        loss: share of messages that are lost.
        messages: how many messages each process sent to each other one.

    """

    latency: Latency = Latency()
    locations: Mapping[str, Location] = field(default_factory=dict)
    random: Random = field(default_factory=lambda: Random(0))
    loss: float = 0
    messages: Counter[tuple[str, str]] = field(default_factory=Counter)
    _cut_pairs: set[frozenset[str]] = field(default_factory=set)

    def cut(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Drop all messages between two sides.

        Args:
            left: names of processes.
            right: names of processes.

        """
        others = list(right)
        self._cut_pairs.update(
            frozenset((one, other))
            for one in left
            for other in others
            if one != other
        )

    def heal(self) -> None:
        """Let all messages through again."""
        self._cut_pairs.clear()

    def is_cut(self, source: str, target: str) -> bool:
        """Tell whether two processes cannot reach each other.

        Args:
            source: name of one.
            target: name of the other.

        Returns:
            True if all their messages are dropped.

        """
        return frozenset((source, target)) in self._cut_pairs

    async def transmit(self, source: str, target: str, deadline: float) -> None:
        """Take a message from one process to another.

        Args:
            source: name of the sender.
            target: name of the receiver.
            deadline: monotonic time until which the sender waits.

        Raises:
            DeadlineError: the message was dropped; the sender waited in vain.

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
    """The way between two processes.

    Args:
        network: delays, cuts and loses messages.
        source: name of the process that asks.
        target: name of the process that answers.

    """

    def __init__(self, network: Network, source: str, target: str) -> None:
        """Keep the ends."""
        self._network = network
        self._source = source
        self._target = target

    async def exchange(
        self,
        deadline: float,
        send_request: Callable[[], Awaitable[ResponseT]],
    ) -> ResponseT:
        """Carry a request there and its answer back.

        Args:
            deadline: monotonic time until which the source waits.
            send_request: what the target does.

        Returns:
            The answer.

        Raises:
            DeadlineError: the request or the answer was dropped.

        """
        await self._network.transmit(self._source, self._target, deadline)
        response = await send_request()
        await self._network.transmit(self._target, self._source, deadline)
        return response
