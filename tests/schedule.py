"""The order in which trio runs tasks that are ready, drawn from a seed.

Trio draws it anew in each process. With a seed, a test that failed in one
order runs in that order again, as far as its sockets allow.
"""

import os
from collections.abc import Iterator
from contextlib import contextmanager

from hypothesis.internal.entropy import deterministic_PRNG

SEED_VARIABLE = 'SCHEDULE_SEED'
SEED = int(os.environ.get(SEED_VARIABLE, '1'))


@contextmanager
def seeded_schedule(seed: int = SEED) -> Iterator[None]:
    """Run a block with a seeded order; Hypothesis knows trio's generator."""
    with deterministic_PRNG(seed):
        yield
