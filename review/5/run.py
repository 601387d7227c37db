"""A key that was taken away goes on being used in an open transaction.

The operator takes away a tenant's key. With TROUBLE, the same version also
removes the route of the database that the tenant was using.
"""

import asyncio

from standin.bench import CONFIG_APPLY_S, Bench, CouldNotRunError, desired_state
from standin.case import has_trouble, run_case
from standin.client import Client

PAUSE_S = 1.0
# A transaction has 12 statements at most; BEGIN and a write come before.
STATEMENTS = (
    *(f'WRITE strop 1{number}' for number in range(6)),
    'READ invoice',
    'WRITE strop 20',
    'COMMIT',
)
# The other tenant writes this before the READ.
FOREIGN_WRITE = 'WRITE invoice of-another-tenant'
FOREIGN_WRITE_BEFORE = 6


async def play(bench: Bench) -> list[str]:
    """Play the case; return how the rule was broken.

    Args:
        bench: the processes and their stand-ins.

    """
    await bench.start(nodes=3)
    other = Client('other tenant', bench.record)
    await other.open(bench.front('edge-1'), 'visits', 'key-lakhe')
    client = Client('client', bench.record)
    await client.open(bench.front('edge-0'), 'orders', 'key-himal')
    for text in ('WRITE strop 1', 'BEGIN', 'WRITE strop 2'):
        answer = await client.query(text)
        if not answer.is_success:
            raise CouldNotRunError(f'{text}: {answer}')
    bench.store.put('config', 'main', _next_version())
    loop = asyncio.get_running_loop()
    confirmed_at = loop.time()
    bench.record('the store confirms version 2, which lacks key-himal')
    breaks: list[str] = []
    is_open = True
    for number, text in enumerate(STATEMENTS):
        await asyncio.sleep(PAUSE_S)
        if number == FOREIGN_WRITE_BEFORE:
            answer = await other.query(FOREIGN_WRITE)
            if not answer.is_success:
                raise CouldNotRunError(f'the other tenant: {answer}')
        if not is_open:
            continue
        late_s = loop.time() - confirmed_at
        answer = await client.query(text)
        is_open = answer.is_success
        if is_open and late_s > CONFIG_APPLY_S:
            breaks.append(
                f'CONFIG: {text!r}, sent {late_s:.1f} s after its key was '
                f'dropped, was run: {answer}'
            )
    return breaks


def _next_version() -> dict[str, object]:
    state = desired_state(2)
    for tenant in state['tenants']:
        if tenant['name'] == 'himal':
            tenant['api_keys'] = ['key-himal-new']
    if has_trouble():
        state['routes'] = [
            route for route in state['routes'] if route['host'] != 'orders'
        ]
    return state


if __name__ == '__main__':
    run_case(__file__, play)
