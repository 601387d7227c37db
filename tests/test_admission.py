"""Token requests to other nodes, on the virtual clock."""

from trio import current_time, sleep

from tests.support import with_virtual_clock
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.admission import MAX_PAUSE_S, Admission
from trefoilhitch.pooler.catalogue import Catalogue, Organisation
from trefoilhitch.pooler.rate_limit import RateRule
from trefoilhitch.pooler.rate_share import RateShare
from trefoilhitch.pooler.rate_shares import RateShares

NAME = 'himal'


class Tokens:
    """Other nodes, which have no spare tokens until a test sets some."""

    def __init__(self) -> None:
        """Start without spare tokens."""
        self.requested_at: list[float] = []
        self.spare: float = 0

    async def request_tokens(
        self,
        organisation: str,
        wanted: float,
        share: RateShare,
        priority: int = 0,
    ) -> float:
        """Record the request and give the spare tokens."""
        await sleep(0.02)
        self.requested_at.append(current_time())
        if self.spare:
            share.add_grant(self.spare, current_time())
        return self.spare


class OneShare:
    """Rates of one organisation.

    Args:
        share: its share.

    """

    def __init__(self, share: RateShare) -> None:
        """Store the share."""
        self._share = share

    def share(self, organisation: str) -> RateShare:
        """Return the share."""
        return self._share


def admission(tokens: Tokens) -> Admission:
    """Return the admission of a node that has no tokens of its own."""
    rates = RateShares(RateRule(), current_time())
    rates.apply_catalogue(
        Catalogue(
            revision=1,
            routes={},
            services={},
            keys={},
            organisations={NAME: Organisation(NAME, 1, 1)},
        ),
        current_time(),
    )
    return Admission(
        rates=rates, tokens=tokens, clock=current_time, metrics=Metrics()
    )


@with_virtual_clock
async def test_token_requests_back_off_while_none_are_given() -> None:
    tokens = Tokens()
    admitting = admission(tokens)
    for _ in range(200):
        assert not await admitting.admit(NAME)
        await sleep(0.05)
    # 10 s of steady refusals, up to 25 a second.
    assert len(tokens.requested_at) <= 3 + 10 / MAX_PAUSE_S


@with_virtual_clock
async def test_token_requests_resume_once_tokens_are_given() -> None:
    tokens = Tokens()
    admitting = admission(tokens)
    for _ in range(40):
        await admitting.admit(NAME)
        await sleep(0.05)
    tokens.spare = 1
    await sleep(MAX_PAUSE_S)
    admitted = [await admitting.admit(NAME) for _ in range(5)]
    assert all(admitted)


@with_virtual_clock
async def test_partial_yield_that_suffices_begins_no_pause() -> None:
    """Guards against refusals after an operation that ran."""
    tokens = Tokens()
    tokens.spare = 0.9
    share = RateShare(current_time())
    admitting = Admission(
        rates=OneShare(share),
        tokens=tokens,
        clock=current_time,
        metrics=Metrics(),
    )
    for _ in range(3):
        # Grants for another priority do not end a pause.
        share.add_grant(0.2, current_time(), 1)
        assert await admitting.admit(NAME)
    assert len(tokens.requested_at) == 3


@with_virtual_clock
async def test_partial_yield_of_a_refused_operation_begins_a_pause() -> None:
    """Guards against requests with each operation while tokens are few."""
    tokens = Tokens()
    tokens.spare = 0.2
    share = RateShare(current_time())
    admitting = Admission(
        rates=OneShare(share),
        tokens=tokens,
        clock=current_time,
        metrics=Metrics(),
    )
    for _ in range(3):
        assert not await admitting.admit(NAME)
    assert len(tokens.requested_at) == 1
