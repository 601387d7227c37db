"""Runs a case and turns its result into an exit code."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from standin.bench import Bench, CouldNotRunError

LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(file: str, play: Callable[[Bench], Awaitable[list[str]]]) -> None:
    """Play a case and exit.

    Args:
        file: file of the case; the record is written beside it.
        play: plays the case; returns how the rule was broken.

    """
    sys.exit(asyncio.run(_run(Path(file).resolve().parent, play)))


async def _run(
    folder: Path, play: Callable[[Bench], Awaitable[list[str]]]
) -> int:
    bench = Bench(folder)
    try:
        breaks = await asyncio.wait_for(play(bench), LIMIT_S)
        for each in breaks:
            bench.record(f'BROKEN {each}')
            print(f'BROKEN {each}')
        if not breaks:
            bench.record('the rule held')
            print('the rule held')
        return BROKEN if breaks else HELD
    except (CouldNotRunError, OSError, TimeoutError) as exc:
        bench.record(f'could not run: {exc!r}')
        print(f'could not run: {exc!r}')
        return NOT_RUN
    finally:
        await bench.stop()
