"""Transactions whose commits depend on an endpoint without an entry."""

from functools import partial

import pytest
from trio import move_on_after

from tests import test_unlisted_endpoint as unlisted
from tests.acknowledged_writes import NO_ANSWER, AcknowledgedWrites
from tests.support import run_virtual
from tests.test_wire_failover import KEY
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import WireStack

JOINS = ((0.8, 2), (1.1, 0.1))


class AcknowledgedTransactions(AcknowledgedWrites):
    """Writes in transactions instead of single statements."""

    async def write(
        self, stack: WireStack, mark: str, node: str, *, timeout_s: float = 3
    ) -> str:
        """Commit one row; return the code of the first failure."""
        code = NO_ANSWER
        with move_on_after(timeout_s):
            code = await _commit_once(stack, mark, node)
        if not code:
            self.marks.append(mark)
        return code


async def _commit_once(stack: WireStack, mark: str, node: str) -> str:
    async with wire_client(stack.nodes[node].address) as client:
        started = await client.start('orders', KEY)
        if not started.startswith('READY'):
            return started or NO_ANSWER
        for text in ('BEGIN', f'WRITE {mark} {mark}', 'COMMIT'):
            answer = await client.query(text)
            if not answer.outcome.startswith('COMPLETE'):
                return answer.code or NO_ANSWER
    return ''


@pytest.mark.parametrize(('delay_s', 'listed_after_s'), JOINS)
@pytest.mark.parametrize('split', ['without-control', 'expired', 'leaving'])
def test_no_acknowledged_transaction_is_lost_to_an_unlisted_endpoint(
    split: str,
    delay_s: float,
    listed_after_s: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against lost commits that only a newcomer holds."""
    monkeypatch.setattr(
        unlisted, 'AcknowledgedWrites', AcknowledgedTransactions
    )
    run_virtual(
        partial(unlisted.play, unlisted.SPLITS[split], delay_s, listed_after_s)
    )
