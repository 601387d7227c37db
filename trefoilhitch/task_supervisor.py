"""Runs the background tasks of a process; one that fails is run again."""

from collections.abc import Awaitable, Callable
from random import Random

from trio import current_time, sleep

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.retry import exponential_s

FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 5.0
# A task that ran for this long before it failed begins with the first pause.
STABLE_S = 30.0


class TaskSupervisor:
    """Runs background tasks, and runs those again that fail unexpectedly.

    A failure that nobody foresaw ends neither the process nor the requests of
    its clients.

    Args:
        log: records failures with their traceback.
        metrics: counts failures by task.
        random: spreads the restarts of many processes.

    """

    def __init__(
        self, log: DecisionLog, metrics: Metrics, random: Random
    ) -> None:
        """Start without failures."""
        self._log = log
        self._metrics = metrics
        self._random = random

    async def run(self, name: str, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it ends without a failure.

        Args:
            name: name of the task, for the log and the metrics.
            task: starts the task anew at each call.

        """
        failures = 0
        while True:
            stable_at = current_time() + STABLE_S
            try:
                return await task()
            except Exception as exc:
                self._report(name, exc)
            failures = 0 if current_time() >= stable_at else failures
            await sleep(self._pause_s(failures))
            failures += 1

    def _report(self, name: str, exc: Exception) -> None:
        self._metrics.count('task_failures', name)
        self._log.event('task_failed', task=name, error=type(exc).__name__)
        self._log.report(exc)

    def _pause_s(self, failures: int) -> float:
        longest_s = exponential_s(failures, FIRST_PAUSE_S, MAX_PAUSE_S)
        return longest_s * (1 + self._random.random()) / 2
