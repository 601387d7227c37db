"""Runs the short tasks of a node; one that fails ends only itself."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeAlias

from trio import Nursery

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics

RoundTask: TypeAlias = Callable[..., Awaitable[Any]]


class TaskStarter(Protocol):
    """Starts tasks in the background, as a nursery does."""

    def start_soon(self, task: RoundTask, /, *args: Any) -> None:
        """Start a task.

        Args:
            task: asynchronous function.
            args: its arguments.

        """


class RoundStarter:
    """Starts tasks whose failures are reported and end nothing else.

    A round that fails is not run again: the next one follows soon.

    Args:
        nursery: runs the tasks.
        log: records failures with their traceback.
        metrics: counts failures by task.

    """

    def __init__(
        self, nursery: Nursery, *, log: DecisionLog, metrics: Metrics
    ) -> None:
        """Store the collaborators."""
        self._nursery = nursery
        self._log = log
        self._metrics = metrics

    def start_soon(self, task: RoundTask, /, *args: Any) -> None:
        """Start a task.

        Args:
            task: asynchronous function.
            args: its arguments.

        """
        self._nursery.start_soon(self._run, task, args)

    async def _run(self, task: RoundTask, args: tuple[Any, ...]) -> None:
        try:
            await task(*args)
        except Exception as exc:
            self._report(_name_of(task), exc)

    def _report(self, name: str, exc: Exception) -> None:
        self._metrics.count('task_failures', name)
        self._log.event('task_failed', task=name, error=type(exc).__name__)
        self._log.report(exc)


def _name_of(task: RoundTask) -> str:
    unnamed = type(task).__name__
    return getattr(task, '__qualname__', unnamed)
