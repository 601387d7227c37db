"""Fair queue: shares, expired requests and completeness."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from trefoilhitch.fair_queue import FairQueue, QueuedRequest

FOREVER = 1e9


def _drain(queue: FairQueue, turns: int) -> Counter[str]:
    served: Counter[str] = Counter()
    for _ in range(turns):
        req = queue.pop(0)
        assert req is not None
        served[req.organisation] += 1
    return served


def test_shares_follow_the_weights() -> None:
    queue = FairQueue(weights={'large': 40, 'small': 10})
    for _ in range(100):
        queue.push(QueuedRequest('large', FOREVER))
        queue.push(QueuedRequest('small', FOREVER))
    assert _drain(queue, 50) == {'large': 40, 'small': 10}


def test_burst_of_one_organisation_does_not_delay_another() -> None:
    queue = FairQueue(weights={'surge': 10, 'quiet': 10})
    for _ in range(1000):
        queue.push(QueuedRequest('surge', FOREVER))
    queue.push(QueuedRequest('quiet', FOREVER))
    assert queue.estimate_ahead('quiet') <= 3
    assert _drain(queue, 2)['quiet'] == 1


def test_expired_and_discarded_requests_are_not_served() -> None:
    queue = FairQueue(weights={})
    expired, discarded, valid = (
        QueuedRequest('a', each) for each in (5, FOREVER, FOREVER)
    )
    for req in (expired, discarded, valid):
        queue.push(req)
    queue.discard(discarded)
    queue.discard(discarded)
    assert queue.pop(10) is valid
    assert queue.pop(10) is None
    assert not queue


@given(st.lists(st.sampled_from('abc'), max_size=60))
def test_every_request_is_served_once(names: list[str]) -> None:
    queue = FairQueue(weights={'a': 1, 'b': 5})
    reqs = [QueuedRequest(name, FOREVER) for name in names]
    for req in reqs:
        queue.push(req)
    served = [queue.pop(0) for _ in reqs]
    assert {id(req) for req in served} == {id(each) for each in reqs}
    assert queue.pop(0) is None
