"""Server side of one connection to an emulated wire endpoint."""

from functools import partial
from typing import TYPE_CHECKING

from trio import sleep, sleep_forever

from trefoilhitch_lab.wire_log import (
    ExecutedStatement,
    decode_position,
    encode_position,
)

if TYPE_CHECKING:
    from trefoilhitch_lab.wire_endpoint import WireEndpoint

_COMPLETE = ('COMPLETE -',)
_CONTROL_VERBS = frozenset(('STATUS', 'PAUSE', 'RESUME', 'STEPDOWN'))
_SESSION_VERBS = frozenset(('SET', 'RESET', 'PREPARE', 'BEGIN', 'ROLLBACK'))


class EndpointSession:
    """Executes the statements and transactions of one connection.

    Args:
        endpoint: endpoint that accepted the connection.
        organisation: organisation that the connection belongs to.

    """

    def __init__(self, endpoint: 'WireEndpoint', organisation: str) -> None:
        """Start without a transaction and without session variables."""
        self.state = 'I'
        self.organisation = organisation
        # Number of the connection in the group's records.
        self.connection = 0
        self._endpoint = endpoint
        self._is_read_only = False
        self._variables: dict[str, str] = {}
        self._prepared: dict[str, tuple[str, str]] = {}
        self._writes: dict[str, str] = {}
        self._request_ids: tuple[str, ...] = ()

    async def respond(self, line: str) -> tuple[str, ...]:
        """Execute a message.

        Args:
            line: the message as received.

        Returns:
            The response lines without the final READY line.

        """
        _, request_id, text = line.split(' ', 2)
        if text.startswith('MINLSN '):
            _, minimum, text = text.split(' ', 2)
            if self._endpoint.applied_position < decode_position(minimum):
                return self._error('LAGGING')
        verb, *words = text.split()
        self._endpoint.request_counts[verb] += 1
        if self._endpoint.faults.busy:
            return self._error('BUSY')
        if verb in _CONTROL_VERBS:
            return await self._control(verb, words)
        if verb in _SESSION_VERBS:
            return self._run_session_verb(verb, words)
        return await self._run(request_id, text, verb, words)

    async def _run(
        self, request_id: str, text: str, verb: str, words: list[str]
    ) -> tuple[str, ...]:
        if verb == 'COMMIT':
            return await self._commit()
        if verb == 'EXECUTE':
            name, *words = words
            if name not in self._prepared:
                return ('ERROR NOSTMT no such name',)
            verb = self._prepared[name][0]
        self._endpoint.group.executed.append(
            ExecutedStatement(
                self._endpoint.endpoint,
                request_id,
                text,
                self.organisation,
                dict(self._variables),
            )
        )
        if verb == 'WRITE':
            return await self._write(request_id, words)
        await sleep(self._endpoint.faults.read_delay_s)
        row = self._endpoint.applied_rows().get(words[0], 'none')
        return (f'DATAROW {row}', f'COMPLETE receipt-{request_id}')

    async def _write(
        self, request_id: str, words: list[str]
    ) -> tuple[str, ...]:
        if self._is_read_only or not self._endpoint.is_primary:
            self.state = 'I' if self.state == 'I' else 'E'
            return self._error('READONLY')
        name, text = words
        self._writes[name] = text
        self._request_ids = (*self._request_ids, request_id)
        if self.state == 'I':
            return await self._commit()
        return (f'COMPLETE receipt-{request_id}',)

    async def _commit(self) -> tuple[str, ...]:
        writes = self._writes
        request_ids = self._request_ids
        self._end_transaction()
        if not writes:
            return ('COMPLETE receipt-none',)
        if not self._endpoint.is_primary:
            return self._error('READONLY')
        endpoint = self._endpoint
        await endpoint.group.commit(endpoint, writes, request_ids)
        return (f'COMPLETE receipt-{request_ids[-1]}',)

    def _run_session_verb(self, verb: str, words: list[str]) -> tuple[str, ...]:
        if verb == 'BEGIN':
            return self._begin(read_only=bool(words))
        if verb == 'SET':
            name, text = words
            self._variables[name] = text
        elif verb == 'PREPARE':
            name, access, template = words
            self._prepared[name] = (access, template)
        elif verb == 'RESET':
            self._variables.clear()
            self._prepared.clear()
        else:
            self._end_transaction()
        return _COMPLETE

    def _begin(self, *, read_only: bool) -> tuple[str, ...]:
        if not (read_only or self._endpoint.is_primary):
            return self._error('READONLY')
        self.state = 'T'
        self._is_read_only = read_only
        return _COMPLETE

    async def _control(self, verb: str, words: list[str]) -> tuple[str, ...]:
        endpoint = self._endpoint
        term = int(words[0]) if words else 0
        delay_s = endpoint.faults.late_orders.get(verb)
        if delay_s is not None:
            carry_out = partial(self._carry_out, verb, term)
            endpoint.group.run_later(delay_s, carry_out)
            await sleep_forever()
        self._carry_out(verb, term)
        return (f'DATAROW {self._status()}', *_COMPLETE)

    def _carry_out(self, verb: str, term: int) -> None:
        endpoint = self._endpoint
        if verb == 'RESUME':
            endpoint.terms.fenced = 0
            endpoint.group.catch_up(endpoint)
        if verb == 'PAUSE' and term > endpoint.terms.known:
            endpoint.terms.fenced = term
        if verb == 'STEPDOWN' and term > endpoint.terms.known:
            endpoint.is_primary = False

    def _status(self) -> str:
        endpoint = self._endpoint
        role = 'primary' if endpoint.is_primary else 'replica'
        position = encode_position(endpoint.position)
        terms = endpoint.terms
        return f'{role} {terms.known} {position} {terms.fenced} 0 0 1'

    def _error(self, code: str) -> tuple[str, ...]:
        return (f'ERROR {code} {self._endpoint.endpoint}',)

    def _end_transaction(self) -> None:
        self.state = 'I'
        self._is_read_only = False
        self._writes = {}
        self._request_ids = ()
