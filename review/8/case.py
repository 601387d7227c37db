"""A fenced replica restarts while a failover call is unanswered."""

import asyncio
from pathlib import Path

from review.cases_2.stack import Stack, Writers, judge_lost, run_case

SERVICES = ('ledger', 'catalogue', 'visits')
# A call without an answer is carried out 2 to 12 s later.
LATE_S = 6.0
PRIMARY_DOWN_S = 2.0
REPLICA_DOWN_S = 0.5


async def play(stack: Stack, trouble: bool) -> bool:
    """Crash the primaries for two seconds while clients write.

    Args:
        stack: the stack.
        trouble: whether the first failover call of a service is left
            unanswered, and one of its replicas restarts then.

    Returns:
        Whether the rule held.

    """
    writers = [Writers(stack, service) for service in SERVICES]
    for each in writers:
        each.start(pause_s=0.5)
    await asyncio.sleep(4)
    replica = stack.groups['ledger'].backends['i-ledger-2']
    loop = asyncio.get_running_loop()
    left: list[str] = []

    async def restart() -> None:
        stack.record.note('a replica crashes', replica.status())
        replica.crash()
        await asyncio.sleep(REPLICA_DOWN_S)
        replica.forget()
        await replica.start()
        stack.record.note('the replica is back', replica.status())

    def delay(service: str) -> float | None:
        if not trouble or service != 'ledger' or left:
            return None
        left.append(service)
        loop.create_task(restart())
        return LATE_S

    stack.failover.delay = delay
    primaries = [
        next(iter(each.backends.values())) for each in stack.groups.values()
    ]
    for primary in primaries:
        stack.record.note('a primary crashes', primary.status())
        primary.crash()
    await asyncio.sleep(PRIMARY_DOWN_S)
    for primary in primaries:
        await primary.start()
        stack.record.note('the primary is back', primary.status())
    await asyncio.sleep(10)
    for each in writers:
        await each.stop()
        stack.record.note('answers to writes', each.outcomes)
    return judge_lost(stack)


if __name__ == '__main__':
    run_case(Path(__file__).resolve().parent, SERVICES, play)
