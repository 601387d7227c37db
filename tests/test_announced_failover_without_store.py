"""A node knows of a failover, and then hears nothing more from the store."""

from trio import sleep

from tests.test_commit_gate import HELD, Parts, play

# Longer than a view of the leases is used.
SILENT_S = 2.0


def test_held_lease_is_not_forgotten_when_the_store_is_silent() -> None:
    """Guards against lost writes: a replica is unfenced for a moment.

    The holder answers, and is not asked: the notice is older than the view,
    and the view has expired.
    """

    async def steps(parts: Parts) -> None:
        parts.denies = True
        parts.announce()
        await sleep(0.1)
        assert not await parts.admit()
        parts.lease = None
        parts.is_held = True
        await sleep(SILENT_S)
        assert not await parts.admit()

    play(HELD, steps)
