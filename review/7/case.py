"""Two orders of a planned replacement of a primary are left unanswered."""

import asyncio
from pathlib import Path

from review.cases_2.stack import Stack, Writers, judge_lost, run_case

SERVICES = ('ledger', 'catalogue')
# Orders that are left unanswered are carried out 2 to 12 s later.
LATE_S = 5.0


async def play(stack: Stack, trouble: bool) -> bool:
    """Let the primaries of two services leave while clients write.

    Args:
        stack: the stack.
        trouble: whether two of the eight orders are left unanswered.

    Returns:
        Whether the rule held.

    """
    writers = [Writers(stack, service) for service in SERVICES]
    for each in writers:
        each.start(pause_s=1.6)
    await asyncio.sleep(4)
    primary = stack.groups['ledger'].backends['i-ledger-0']
    replica = stack.groups['ledger'].backends['i-ledger-2']
    if trouble:
        primary.order_delay = lambda verb: (
            LATE_S if verb == 'STEPDOWN' else None
        )
        replica.order_delay = lambda verb: LATE_S if verb == 'PAUSE' else None
    for group in stack.groups.values():
        leaving = next(iter(group.backends.values()))
        leaving.state = 'draining'
        leaving.register()
        stack.record.note('the primary leaves', leaving.name)
    await asyncio.sleep(3)
    # Later orders are answered.
    primary.order_delay = replica.order_delay = lambda _verb: None
    await asyncio.sleep(7)
    for each in writers:
        await each.stop()
        stack.record.note('answers to writes', each.outcomes)
    return judge_lost(stack)


if __name__ == '__main__':
    run_case(Path(__file__).resolve().parent, SERVICES, play)
