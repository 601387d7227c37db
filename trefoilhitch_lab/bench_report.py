"""Bench report: median and worst of all seeds, compared to the baseline."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from statistics import median

from rich.table import Table

from trefoilhitch_lab.bench import BenchEntry

VIOLATION_FIELDS = (
    'lost_acked_writes',
    'duplicate_runs',
    'stale_reads',
    'false_not_run',
    'wrong_answers',
)
_PERCENT = 100


def summarise(entries: Iterable[BenchEntry]) -> Table:
    """Return a table with one row per deployment, scenario and system.

    Args:
        entries: entries of all runs.

    Returns:
        The table.

    """
    table = Table(title='bench: median (worst) of the seeds')
    for heading in (
        'deployment',
        'scenario',
        'system',
        'seeds',
        'replica reads',
        'failover gap s',
        'worst org served',
        'refused %',
        'cut',
        'violated guarantees',
        'p50 ms',
        'p99 ms',
    ):
        table.add_column(heading, justify='right')
    for key, runs in _group_runs(entries).items():
        table.add_row(*key, *_format_cells(runs))
    return table


def violation_count(entry: BenchEntry) -> int:
    """Return the number of violated guarantees of a run.

    Args:
        entry: entry of the run.

    Returns:
        Sum of all counts that must be 0.

    """
    return sum(getattr(entry, name) for name in VIOLATION_FIELDS)


def _group_runs(
    entries: Iterable[BenchEntry],
) -> dict[tuple[str, str, str], list[BenchEntry]]:
    groups: defaultdict[tuple[str, str, str], list[BenchEntry]] = defaultdict(
        list,
    )
    for each in entries:
        groups[each.deployment, each.scenario, each.system].append(each)
    return dict(sorted(groups.items()))


def _format_cells(runs: Sequence[BenchEntry]) -> list[str]:
    return [
        str(len(runs)),
        _format_median_and_worst(runs, lambda run: run.replica_read_share, min),
        _format_median_and_worst(runs, _gap_s, max),
        _format_median_and_worst(
            runs, lambda run: run.worst_org_served_share, min
        ),
        _format_median_and_worst(runs, _refused_percent, max),
        str(sum(run.cut_requests for run in runs)),
        str(sum(violation_count(run) for run in runs)),
        _format_median_and_worst(runs, lambda run: run.p50_ms, max),
        _format_median_and_worst(runs, lambda run: run.p99_ms, max),
    ]


def _gap_s(run: BenchEntry) -> float:
    return math.inf if run.failover_gap_s is None else run.failover_gap_s


def _refused_percent(run: BenchEntry) -> float:
    return run.wrongful_refusals / run.requests * _PERCENT


def _format_median_and_worst(
    runs: Sequence[BenchEntry],
    metric: Callable[[BenchEntry], float],
    worst: Callable[[Iterable[float]], float],
) -> str:
    samples = [metric(run) for run in runs]
    return f'{median(samples):.3g} ({worst(samples):.3g})'
