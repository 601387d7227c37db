"""Metrics: counters and latency histograms, in the Prometheus text format."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import groupby, islice
from operator import attrgetter

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_PERCENT = 100
# Length of the longest valid id of an endpoint.
MAX_LABEL_CHARS = 255
# Labels of one counter or gauge: more than the 3,600 endpoints for which
# docs/CAPACITY.md is written, so that only replaced ones can exceed it.
MAX_LABELS = 10000
# Label of all further ones.
OTHER_LABEL = 'other'

# Source: Prometheus documentation, "Exposition formats", text-based format.
_LABEL_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})


@dataclass(frozen=True, slots=True)
class Gauge:
    """A value that is read when the metrics are requested.

    Args:
        name: name of the metric.
        number: the value.
        label_name: name of its label, empty for none.
        label: value of its label.

    """

    name: str
    number: float
    label_name: str = ''
    label: str = ''

    @property
    def labels(self) -> str:
        """Its label in the Prometheus text format."""
        return _labels(self.label_name, self.label)


class Metrics:
    """Counts requests and measures how long they take."""

    def __init__(self) -> None:
        """Start from zero."""
        self._counters: Counter[tuple[str, str]] = Counter()
        self._label_counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._gauge_sources: list[Callable[[], Iterable[Gauge]]] = []
        self._latency = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def count(self, name: str, label: str = '') -> None:
        """Add one to a counter.

        Args:
            name: name of the counter.
            label: label that is counted separately, empty for none.

        """
        self.add(name, 1, label)

    def add(self, name: str, amount: int, label: str = '') -> None:
        """Add to a counter.

        Args:
            name: name of the counter.
            amount: amount to add.
            label: label that is counted separately, empty for none; it is cut
                after MAX_LABEL_CHARS characters, and those that come after
                MAX_LABELS others are counted together.

        """
        key = (name, label)
        if key not in self._counters:
            key = self._make_key(name, _bounded(label))
        self._counters[key] += amount

    def set_gauge(self, name: str, current: float) -> None:
        """Set a number that may rise and fall.

        Args:
            name: name of the gauge.
            current: its present number.

        """
        self._gauges[name] = current

    def add_gauges(self, source: Callable[[], Iterable[Gauge]]) -> None:
        """Add a source of gauges.

        Args:
            source: called each time the metrics are requested.

        """
        self._gauge_sources.append(source)

    def observe(self, seconds: float) -> None:
        """Record how long a request took.

        Args:
            seconds: time from the complete request to the complete response.

        """
        self._latency.record_value(
            max(MIN_LATENCY_US, int(seconds * _US_PER_S))
        )

    def total(self, name: str) -> int:
        """Return the sum of a counter over all its labels.

        Args:
            name: name of the counter.

        Returns:
            The sum.

        """
        return sum(
            count
            for (counter_name, _), count in self._counters.items()
            if counter_name == name
        )

    def latency_ms(self, quantile: float) -> float:
        """Return a quantile of the latency.

        Args:
            quantile: between 0 and 1.

        Returns:
            Milliseconds.

        """
        latency_us = self._latency.get_value_at_percentile(quantile * _PERCENT)
        return float(latency_us) / _US_PER_MS

    def render(self) -> str:
        """Return all metrics in the Prometheus text format.

        Returns:
            Lines, each with its end.

        """
        return ''.join(f'{line}\n' for line in self._lines())

    def _make_key(self, name: str, label: str) -> tuple[str, str]:
        if (name, label) in self._counters:
            return name, label
        if self._label_counts[name] >= MAX_LABELS:
            return name, OTHER_LABEL
        self._label_counts[name] += 1
        return name, label

    def _lines(self) -> Iterator[str]:
        previous_name = ''
        for (name, label), count in sorted(self._counters.items()):
            if name != previous_name:
                yield f'# TYPE trefoilhitch_{name}_total counter'
                previous_name = name
            labels = _labels('kind', label)
            yield f'trefoilhitch_{name}_total{labels} {count}'
        yield from self._gauge_lines()
        yield '# TYPE trefoilhitch_request_seconds summary'
        for quantile in QUANTILES:
            seconds = self.latency_ms(quantile) / _US_PER_MS
            labels = f'{{quantile="{quantile}"}}'
            yield f'trefoilhitch_request_seconds{labels} {seconds}'
        total = self._latency.get_total_count()
        yield f'trefoilhitch_request_seconds_count {total}'

    def _gauge_lines(self) -> Iterator[str]:
        for name, current in sorted(self._gauges.items()):
            yield f'# TYPE trefoilhitch_{name} gauge'
            yield f'trefoilhitch_{name} {current}'
        gauges = [gauge for source in self._gauge_sources for gauge in source()]
        gauges.sort(key=attrgetter('name', 'label'))
        for name, same_name in groupby(gauges, attrgetter('name')):
            yield f'# TYPE trefoilhitch_{name} gauge'
            for gauge in islice(same_name, MAX_LABELS):
                yield f'trefoilhitch_{name}{gauge.labels} {gauge.number}'


def _labels(name: str, label: str) -> str:
    """Return a label in the text format, which is empty for an empty label."""
    if not label:
        return ''
    return f'{{{name}="{_bounded(label).translate(_LABEL_ESCAPES)}"}}'


def _bounded(label: str) -> str:
    """Return a label without what cannot be encoded, and not too long."""
    encodable = label[:MAX_LABEL_CHARS].encode('utf-8', 'backslashreplace')
    return encodable.decode()[:MAX_LABEL_CHARS]
