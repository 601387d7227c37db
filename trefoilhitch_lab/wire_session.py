"""Server side of one connection to an emulated wire endpoint."""

from functools import partial
from typing import TYPE_CHECKING

from trio import sleep, sleep_forever

from trefoilhitch_lab.prepared_names import PreparedNames, Shape
from trefoilhitch_lab.wire_grammar import (
    MalformedError,
    Request,
    parse_request,
)
from trefoilhitch_lab.wire_log import ExecutedStatement, encode_position

if TYPE_CHECKING:
    from trefoilhitch_lab.wire_endpoint import WireEndpoint

_COMPLETE = ('COMPLETE -',)
_CONTROL_VERBS = frozenset(('STATUS', 'PAUSE', 'RESUME', 'STEPDOWN'))
_SESSION_VERBS = frozenset(
    ('SET', 'RESET', 'PREPARE', 'DEALLOC', 'BEGIN', 'ROLLBACK')
)
_END_VERBS = frozenset(('COMMIT', 'ROLLBACK'))


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
        self._prepared = PreparedNames(endpoint.group.held_peak)
        self._writes: dict[str, str] = {}
        self._request_ids: tuple[str, ...] = ()

    async def respond(self, line: str) -> tuple[str, ...]:
        """Execute a message.

        Args:
            line: the message as received.

        Returns:
            The response lines without the final READY line.

        """
        try:
            req = parse_request(line)
        except MalformedError as exc:
            self._endpoint.request_counts['MALFORMED'] += 1
            return (f'ERROR MALFORMED {exc}',)
        refusal = self._refusal(req)
        if refusal:
            return self._error(refusal)
        return await self._run(req)

    async def _run(self, req: Request) -> tuple[str, ...]:
        if req.verb in _CONTROL_VERBS:
            return await self._control(req)
        if req.verb in _SESSION_VERBS:
            return self._run_session_verb(req)
        if req.verb == 'COMMIT':
            return await self._commit()
        return await self._run_recorded(req)

    def _refusal(self, req: Request) -> str:
        """Return the code of a statement that is not run, empty otherwise."""
        endpoint = self._endpoint
        if self.state == 'E' and req.verb not in _END_VERBS:
            return 'MALFORMED'
        if req.minimum and endpoint.applied_position < req.minimum:
            return 'LAGGING'
        endpoint.request_counts[req.verb] += 1
        if endpoint.faults.busy:
            return 'BUSY'
        is_malformed = req.verb in endpoint.faults.malformed_verbs
        return 'MALFORMED' if is_malformed else ''

    async def _run_recorded(self, req: Request) -> tuple[str, ...]:
        access, shape, fields = req.verb, None, req.fields
        if access == 'EXECUTE':
            shape = self._prepared.find(fields[0])
            if shape is None:
                return ('ERROR NOSTMT no such name',)
            access, fields = shape[0], fields[1:]
        if access == 'WRITE' and len(fields) == 1:
            return self._error('MALFORMED')
        self._record(req, shape, fields)
        if access == 'WRITE':
            return await self._write(req.request_id, fields)
        await sleep(self._endpoint.faults.read_delay_s)
        row = self._endpoint.applied_rows().get(fields[0], 'none')
        return (f'DATAROW {row}', f'COMPLETE receipt-{req.request_id}')

    def _record(
        self, req: Request, shape: Shape | None, fields: tuple[str, ...]
    ) -> None:
        self._endpoint.group.executed.append(
            ExecutedStatement(
                self._endpoint.endpoint,
                req.request_id,
                req.text,
                self.organisation,
                dict(self._variables),
                connection=self.connection,
                shape=shape,
                row_name=fields[0],
                row_text=fields[1] if len(fields) > 1 else None,
            )
        )

    async def _write(
        self, request_id: str, fields: tuple[str, ...]
    ) -> tuple[str, ...]:
        if self._is_read_only or not self._endpoint.is_primary:
            self.state = 'I' if self.state == 'I' else 'E'
            return self._error('READONLY')
        name, text = fields
        self._writes[name] = text
        self._request_ids = (*self._request_ids, request_id)
        if self.state == 'I':
            return await self._commit()
        return (f'COMPLETE receipt-{request_id}',)

    async def _commit(self) -> tuple[str, ...]:
        has_failed = self.state == 'E'
        writes = self._writes
        request_ids = self._request_ids
        self._end_transaction()
        if has_failed:
            return self._error('ABORTED')
        if not writes:
            return ('COMPLETE receipt-none',)
        if not self._endpoint.is_primary:
            return self._error('READONLY')
        endpoint = self._endpoint
        await endpoint.group.commit(endpoint, writes, request_ids)
        return (f'COMPLETE receipt-{request_ids[-1]}',)

    def _run_session_verb(self, req: Request) -> tuple[str, ...]:
        fields = req.fields
        match req.verb:
            case 'BEGIN':
                return self._begin(read_only=bool(fields))
            case 'SET':
                self._variables[fields[0]] = fields[1]
            case 'PREPARE':
                name, access, body = fields
                self._prepared.prepare(name, (access, body))
            case 'DEALLOC':
                if not self._prepared.drop(fields[0]):
                    return ('ERROR NOSTMT no such name',)
            case 'RESET':
                self._variables.clear()
                self._prepared.clear()
            case _:
                self._end_transaction()
        return _COMPLETE

    def _begin(self, *, read_only: bool) -> tuple[str, ...]:
        if not (read_only or self._endpoint.is_primary):
            return self._error('READONLY')
        self.state = 'T'
        self._is_read_only = read_only
        return _COMPLETE

    async def _control(self, req: Request) -> tuple[str, ...]:
        endpoint = self._endpoint
        verb = req.verb
        term = int(req.fields[0]) if req.fields else 0
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
