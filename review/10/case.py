"""Two sessions of a tenant prepare statements whose shapes begin alike."""

import asyncio
from pathlib import Path

from review.cases_2.stack import Client, NotRunError, Stack, run_case

SERVICES = ('ledger',)
ROUNDS = 5
SHAPE = 'q2c'


async def play(stack: Stack, trouble: bool) -> bool:
    """Run prepared writes of two sessions of the same tenant in turn.

    Args:
        stack: the stack.
        trouble: whether the shape of the second session contains a blank.

    Returns:
        Whether the rule held.

    """
    other_shape = f'{SHAPE} keep' if trouble else f'{SHAPE}keep'
    wanted: dict[str, tuple[str, list[str]]] = {}
    answers: dict[str, str] = {}
    for number in range(ROUNDS):
        for session, shape in ((1, SHAPE), (2, other_shape)):
            request_id = f'e{number}x{session}'
            address = stack.nodes[0].addresses['front']
            client = Client(address, 'ledger-primary')
            if not await client.open():
                raise NotRunError('no session')
            text = f'PREPARE s1 WRITE {shape}'
            outcome, _, _ = await client.run(f'p{number}x{session}', text)
            stack.record.note(text, outcome)
            if not outcome.startswith('COMPLETE'):
                raise NotRunError('the statement was not prepared')
            item = [f'item{number}{session}', f'data{number}{session}']
            text = f'EXECUTE s1 {" ".join(item)}'
            outcome, _, _ = await client.run(request_id, text)
            stack.record.note(f'{request_id} {text}', outcome)
            wanted[request_id] = shape, item
            answers[request_id] = outcome
            client.close()
            await asyncio.sleep(0.1)
    return _judge(stack, wanted, answers)


def _judge(
    stack: Stack,
    wanted: dict[str, tuple[str, list[str]]],
    answers: dict[str, str],
) -> bool:
    held = True
    for request_id, shape, item in stack.groups['ledger'].executed:
        stack.record.note(f'{request_id} ran shape {shape!r}', item)
        if (shape, item) != wanted[request_id]:
            held = False
            stack.record.note(
                f'PINNED: {request_id} was to run {wanted[request_id][0]!r}',
                f'{wanted[request_id][1]}, answer {answers[request_id]}',
            )
    ran = {each[0] for each in stack.groups['ledger'].executed}
    for request_id in wanted.keys() - ran:
        held = False
        stack.record.note(
            f'PINNED: the name of {request_id} was unknown',
            answers[request_id],
        )
    return held


if __name__ == '__main__':
    run_case(Path(__file__).resolve().parent, SERVICES, play)
