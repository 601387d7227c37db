"""Prepared statements run a shape that their client did not prepare.

With TROUBLE, a shape has a blank in it, and two names differ in their last
letter only, which is not ASCII. Without, shapes and names are ASCII words.
"""

from standin.bench import Bench, CouldNotRunError
from standin.case import has_trouble, run_case
from standin.client import Client

# Shapes that two clients of one tenant prepare under the same name.
SHAPES = ('q2c', 'q2c razor' if has_trouble() else 'q2c-razor')
# Names of one client. The UTF-8 text of the two Nepali letters differs in its
# last byte, A0 and 85.
NAMES = ('\u0920', '\u0905') if has_trouble() else ('tha', 'a')


async def play(bench: Bench) -> list[str]:
    """Play the case; return how the rule was broken.

    Args:
        bench: the processes and their stand-ins.

    """
    await bench.start(nodes=2)
    breaks: list[str] = []
    for shape, item in zip(SHAPES, ('strop', 'hone'), strict=True):
        client = await _open(bench, f'client of {shape!r}')
        await _prepare(client, 's1', shape)
        breaks += await _execute(bench, client, f's1 {item} 5', shape)
    client = await _open(bench, 'client of two names')
    shapes = dict(zip(NAMES, ('stock', 'sale'), strict=True))
    for name, shape in shapes.items():
        await _prepare(client, name, shape)
    for name, shape in shapes.items():
        breaks += await _execute(bench, client, f'{name} paste 5', shape)
    rows = bench.group.servers['i-0'].rows()
    bench.record(f'rows at the primary: {rows}')
    unasked = rows.keys() - {'strop', 'hone', 'paste'}
    breaks += [f'UNASKED: nobody wrote the item {item}' for item in unasked]
    return breaks


async def _open(bench: Bench, name: str) -> Client:
    client = Client(name, bench.record)
    await client.open(bench.front('edge-0'), 'orders', 'key-himal')
    return client


async def _prepare(client: Client, name: str, shape: str) -> None:
    answer = await client.query(f'PREPARE {name} WRITE {shape}')
    if not answer.is_success:
        raise CouldNotRunError(f'PREPARE {name}: {answer}')


async def _execute(
    bench: Bench, client: Client, arguments: str, shape: str
) -> list[str]:
    """Execute a statement; return where it ran another shape."""
    runs_before = len(bench.group.runs)
    await client.query(f'EXECUTE {arguments}')
    return [
        f'PINNED: EXECUTE {arguments} of the shape {shape!r} ran {run_shape!r} '
        f'as {text!r}'
        for _, _, run_shape, text in bench.group.runs[runs_before:]
        if run_shape != shape
    ]


if __name__ == '__main__':
    run_case(__file__, play)
