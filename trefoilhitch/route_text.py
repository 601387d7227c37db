"""Renders the explanation of a route as text for people."""

from collections.abc import Iterator, Sequence
from types import MappingProxyType

from trefoilhitch._generated.peer import (
    ExplainedEndpoint,
    ExplainedRate,
    ExplainReply,
)
from trefoilhitch.terminal_text import printable

_FRESHNESS_TEXTS = MappingProxyType(
    {
        'latest': 'the latest data',
        'bounded': 'data at most {0} ms old',
        'own_writes': "the session's writes, and data at most {0} ms old",
    }
)


def render_route(reply: ExplainReply) -> str:
    """Render an explanation.

    Args:
        reply: the explanation of a node.

    Returns:
        Lines for people.

    """
    return '\n'.join(printable(line) for line in _lines(reply))


def _lines(reply: ExplainReply) -> Iterator[str]:
    yield (
        f'{reply.access} of {reply.database} for {reply.organisation} '
        f'at {reply.node} ({reply.data_centre}), '
        f'declaration {reply.revision}'
    )
    yield f'route: {_route(reply)}'
    yield f'primary: {_primary(reply)}'
    yield from _candidates(reply)
    yield f'rate: {_rate(reply.rate)}'


def _route(reply: ExplainReply) -> str:
    freshness = _FRESHNESS_TEXTS[reply.freshness].format(reply.max_age_ms)
    return (
        f'service {reply.service}, priority {reply.priority}, '
        f'reads return {freshness}'
    )


def _primary(reply: ExplainReply) -> str:
    name = reply.primary or 'none is known'
    if reply.proof_age_ms is not None:
        return f'{name}, term {reply.term}, proved {reply.proof_age_ms} ms ago'
    return f'{name}, not proved' if reply.primary else name


def _candidates(reply: ExplainReply) -> Iterator[str]:
    if not reply.candidates:
        yield 'endpoints: none'
        return
    if reply.primary_must_prove:
        yield f'proof: {_proof(reply)}'
    yield 'endpoints, in the order of preference:'
    for number, candidate in enumerate(reply.candidates, start=1):
        yield f'  {number}. {_candidate(candidate)}'
        for detail in _details(candidate):
            yield f'     {detail}'


def _proof(reply: ExplainReply) -> str:
    text = 'the primary has to prove with its response that it is the primary'
    if reply.freshness == 'latest':
        return text
    return f'none is recent enough; unless another node has one, {text}'


def _candidate(candidate: ExplainedEndpoint) -> str:
    distance = candidate.distance.replace('_', ' ')
    return (
        f'{candidate.endpoint} ({candidate.role}, {candidate.data_centre}, '
        f'{distance}): {candidate.share:.1%} of such requests'
    )


def _details(candidate: ExplainedEndpoint) -> Iterator[str]:
    observed = 'not observed'
    if candidate.age_ms is not None:
        observed = f'observed {candidate.age_ms} ms ago'
    yield f'expected delay {candidate.delay_ms:g} ms, {observed}'
    setbacks = _setbacks(candidate)
    if setbacks:
        yield f'behind others: {", ".join(setbacks)}'
    yield f'connection: {_gateway(candidate)}'


def _setbacks(candidate: ExplainedEndpoint) -> Sequence[str]:
    texts = {
        'failed recently': candidate.failed_recently,
        'its log lags': candidate.lagging,
        'circuit breaker open': candidate.blocked,
        'data centre evacuated': candidate.evacuated,
        'leaving': candidate.leaving,
        'no entry in the directory': candidate.missing,
    }
    return [text for text, applies in texts.items() if applies]


def _gateway(candidate: ExplainedEndpoint) -> str:
    text = f'held by {candidate.gateway}'
    if not candidate.gateway:
        text = 'no gateway accepts the request'
    if candidate.unreachable_gateways:
        names = ', '.join(candidate.unreachable_gateways)
        text = f'{text}; known to accept no connections: {names}'
    queue = candidate.queue
    if queue is not None:
        text = (
            f'{text}; {queue.waiting} waiting, '
            f'{queue.in_flight} of at most {queue.limit} in flight'
        )
    return text


def _rate(rate: ExplainedRate | None) -> str:
    if rate is None:
        return 'none is declared'
    outcome = 'enough for a request'
    if not rate.suffices:
        outcome = 'too few for a request, which would be refused'
    if rate.asks_others:
        outcome = 'too few for a request; other nodes would be asked'
    return (
        f'this node holds {rate.tokens:g} tokens, '
        f'{rate.granted:g} granted by others, '
        f'{rate.reserved:g} reserved for more urgent requests: {outcome}'
    )
