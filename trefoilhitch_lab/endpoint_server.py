"""Emulated database endpoint: connection slots, terms and replication."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Literal, TypeAlias, TypeVar

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode
from trio import (
    Lock,
    Nursery,
    current_time,
    move_on_at,
    sleep,
)

from trefoilhitch._generated.endpoint import (
    BeginRequest,
    CommitRequest,
    ConfirmReply,
    ConfirmRequest,
    ConnectReply,
    ConnectRequest,
    EndpointError,
    FenceReply,
    FenceRequest,
    GroupMember,
    LogEntry,
    PromoteRequest,
    RecordReply,
    RecordRequest,
    ReplicateReply,
    ReplicateRequest,
    RunReply,
    RunRequest,
    StatusReply,
)
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.errors import (
    BadRequestError,
    SqlRejectedError,
    TrefoilhitchError,
)
from trefoilhitch.http_message import HttpRequest, HttpResponse, RequestHandler
from trefoilhitch.position import majority_position
from trefoilhitch_lab.database import Database, Rows, check_same_statement
from trefoilhitch_lab.network import Network
from trefoilhitch_lab.replication import Replicator

APPLY_INTERVAL_S = 0.002
LOCK_TIMEOUT_S = 2.0
CONFIRM_TIMEOUT_S = 0.3
BodyT = TypeVar('BodyT', bound=Struct)
Role: TypeAlias = Literal['primary', 'replica', 'fenced']
ErrorCode: TypeAlias = Literal[
    'slots_exhausted',
    'not_primary',
    'sql_rejected',
    'no_transaction',
    'not_connected',
    'leaving',
    'bad_request',
    'stale_term',
]
_MS_PER_S = 1000
_REFUSED = 409


class EndpointRefusalError(TrefoilhitchError):
    """The endpoint refused a request and executed nothing.

    Args:
        code: error code of the response.
        detail: reason in plain text.

    """

    def __init__(self, code: ErrorCode, detail: str = '') -> None:
        """Store the code and the detail of the response."""
        super().__init__(detail)
        self.code = code
        self.detail = detail


@dataclass(slots=True)
class EndpointFaults:
    """Fault switches and delays of an endpoint.

    Args:
        connect_delay_s: time that opening a statement connection takes, in
            seconds.
        statement_delay_s: time that a statement occupies its slot, in
            seconds.
        apply_lag_s: delay between receiving and applying an entry at a
            replica, in seconds.
        leaving: refuse new connections.
        frozen: hold all requests until the switch is off.
        drop_responses: number of coming statements that run and get an empty
            response on a connection that then closes.

    """

    connect_delay_s: float = 0
    statement_delay_s: float = 0
    apply_lag_s: float = 0
    leaving: bool = False
    frozen: bool = False
    drop_responses: int = 0


@dataclass(slots=True)
class _ReceivedEntries:
    received_at: float
    position: int


class EndpointServer:
    """One member of a database group.

    Args:
        name: name of the endpoint.
        slots: maximum number of statement connections.
        network: network for replication messages.
        nursery: runs replication while this is the primary.

    """

    def __init__(
        self,
        *,
        name: str,
        slots: int,
        network: Network,
        nursery: Nursery,
    ) -> None:
        """Start as a replica without a primary, in term 0."""
        self.name = name
        self.slots = slots
        self.faults = EndpointFaults()
        self.database = Database()
        self.committed_entries: list[LogEntry] = []
        self.used_slots = 0
        self.role: Role = 'replica'
        self.term = 0
        self.lock = Lock()
        self._claimant = ''
        self._primary = ''
        self._primary_heard_at = current_time()
        self._members: list[GroupMember] = []
        self._unapplied: list[_ReceivedEntries] = []
        self._replicator: Replicator | None = None
        self._network = network
        self._nursery = nursery

    async def apply_entries_forever(self) -> None:
        """Apply received entries after the lag, until cancelled."""
        while True:
            await sleep(APPLY_INTERVAL_S)
            due = current_time() - self.faults.apply_lag_s
            while self._unapplied and self._unapplied[0].received_at <= due:
                self.database.apply(
                    min(
                        self._unapplied.pop(0).position, len(self.database.log)
                    ),
                )

    def status(self) -> StatusReply:
        """Return the endpoint's status."""
        silent_s = (
            0
            if self.role == 'primary'
            else current_time() - self._primary_heard_at
        )
        end = self.database.end
        applied = self.database.applied_end
        return StatusReply(
            endpoint=self.name,
            role=self.role,
            term=self.term,
            last_term=end.term,
            last_position=end.position,
            applied_term=applied.term,
            applied_position=applied.position,
            leaving=self.faults.leaving,
            primary=self._primary,
            primary_silent_ms=int(silent_s * _MS_PER_S),
        )

    def fence(self, req: FenceRequest) -> FenceReply:
        """Accept a later term for one claimant, and stop serving as primary.

        A repeated request of the same claimant is accepted until promotion.
        """
        same = req.term == self.term and req.claimant == self._claimant
        accepted = req.term > self.term or (same and self.role == 'fenced')
        if accepted:
            self.term = req.term
            self._claimant = req.claimant
            self._primary_heard_at = current_time()
            self._step_down('fenced')
        end = self.database.end
        return FenceReply(
            accepted=accepted,
            term=self.term,
            last_term=end.term,
            last_position=end.position,
        )

    def promote(self, req: PromoteRequest) -> StatusReply:
        """Become the primary, if the claimant fenced the current term."""
        if req.term != self.term or req.claimant != self._claimant:
            raise EndpointRefusalError('stale_term', f'the term is {self.term}')
        if self.role == 'replica':
            raise EndpointRefusalError(
                'stale_term', 'another endpoint was promoted'
            )
        if self.role == 'fenced':
            self._become_primary(req.members)
        return self.status()

    def replicate(self, req: ReplicateRequest) -> ReplicateReply:
        """Append entries from the primary of the current or a later term."""
        if req.term < self.term:
            return ReplicateReply(
                accepted=False, term=self.term, held_position=0
            )
        if req.term > self.term:
            self.term = req.term
            self._claimant = ''
        if self.role != 'replica':
            self._step_down('replica')
        self._primary = req.primary
        self._primary_heard_at = current_time()
        previous = LogPosition(
            term=req.previous_term, position=req.previous_position
        )
        accepted = self.database.extend(previous, req.entries)
        held = max(0, req.previous_position - 1)
        held = min(len(self.database.log), held)
        if accepted:
            held = req.previous_position + len(req.entries)
            self._unapplied.append(_ReceivedEntries(current_time(), held))
        return ReplicateReply(
            accepted=accepted, term=self.term, held_position=held
        )

    async def confirm(self, req: ConfirmRequest) -> ConfirmReply:
        """Wait until a majority holds a position; return the holdings."""
        replicator = self.require_primary(req.term)
        since = current_time() if req.fresh else 0
        replicator.appended.notify()
        wait_s = req.wait_ms / _MS_PER_S or CONFIRM_TIMEOUT_S
        deadline = current_time() + wait_s
        with move_on_at(deadline):
            while not self._is_confirmed(replicator, req.position, since):
                await replicator.progressed.event.wait()
        self.require_primary(req.term)
        return ConfirmReply(
            term=self.term,
            members=len(self._members),
            holdings=replicator.holdings(since),
        )

    def find_record(self, req: RecordRequest) -> RecordReply:
        """Return the stored outcome of a request."""
        self.require_primary(req.term)
        entry = self.database.find_record(req.organisation, req.request)
        end = self.database.end
        if entry is None:
            return RecordReply(
                found=False, term=end.term, position=end.position
            )
        return RecordReply(
            found=True,
            term=end.term,
            position=end.position,
            columns=entry.columns,
            rows=entry.rows,
            changed=entry.changed,
        )

    def require_primary(self, term: int) -> Replicator:
        """Check that this endpoint is the primary of a term.

        Args:
            term: term that the client expects.

        Returns:
            The running replicator.

        Raises:
            EndpointRefusalError: the endpoint is not the primary of that
                term.

        """
        if (
            self.role != 'primary'
            or term != self.term
            or self._replicator is None
        ):
            raise EndpointRefusalError(
                'not_primary', f'{self.role} in {self.term}'
            )
        return self._replicator

    def record_commit(self, entry: LogEntry) -> None:
        """Record a new entry for tests, and wake replication.

        Args:
            entry: the committed entry.

        """
        self.committed_entries.append(entry)
        if self._replicator is not None:
            self._replicator.appended.notify()

    def _become_primary(self, members: list[GroupMember]) -> None:
        self.role = 'primary'
        self._primary = self.name
        self._members = members
        self._unapplied = []
        self.lock = Lock()
        self.database.become_primary(self.term)
        self._replicator = Replicator(
            name=self.name,
            term=self.term,
            database=self.database,
            network=self._network,
        )
        self._nursery.start_soon(self._replicator.run, members)

    def _is_confirmed(
        self, replicator: Replicator, position: int, since: float
    ) -> bool:
        if self.role != 'primary':
            return True
        held = [each.position for each in replicator.holdings(since)]
        reached = majority_position(len(self._members), held)
        return reached is not None and reached >= position

    def _step_down(self, role: Role) -> None:
        self.role = role
        if self._replicator is not None:
            self._replicator.scope.cancel()
            self._replicator.progressed.notify()
            self._replicator = None


class ControlRequestHandler:
    """Responds to requests on an endpoint's control address.

    Args:
        server: the endpoint.

    """

    def __init__(self, server: EndpointServer) -> None:
        """Store the endpoint."""
        self._server = server

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Respond to a control request."""
        await _wait_while_frozen(self._server)
        try:
            return HttpResponse(body=encode(await self._dispatch(req)))
        except EndpointRefusalError as exc:
            return error_response(self._server, exc)

    async def _dispatch(self, req: HttpRequest) -> Struct:
        server = self._server
        run_command = _CONTROL_COMMANDS.get(req.path)
        if run_command is not None:
            return run_command(server, req)
        if req.path == '/v1/confirm':
            return await server.confirm(read_body(req, ConfirmRequest))
        raise EndpointRefusalError('bad_request', req.path)


_CONTROL_COMMANDS: Mapping[
    str, Callable[[EndpointServer, HttpRequest], Struct]
] = MappingProxyType(
    {
        '/v1/status': lambda server, _: server.status(),
        '/v1/fence': lambda server, req: server.fence(
            read_body(req, FenceRequest),
        ),
        '/v1/promote': lambda server, req: server.promote(
            read_body(req, PromoteRequest),
        ),
        '/v1/replicate': lambda server, req: server.replicate(
            read_body(req, ReplicateRequest),
        ),
        '/v1/record': lambda server, req: server.find_record(
            read_body(req, RecordRequest),
        ),
    }
)


class StatementHandlerFactory:
    """Creates a request handler for each statement connection.

    Args:
        server: the endpoint.

    """

    def __init__(self, server: EndpointServer) -> None:
        """Store the endpoint."""
        self._server = server

    def connection_opened(self) -> RequestHandler:
        """Return the request handler of a new connection."""
        return StatementRequestHandler(self._server)

    def connection_closed(self, request_handler: RequestHandler) -> None:
        """Roll back and free the slot of a closed connection.

        Args:
            request_handler: handler that `connection_opened` returned.

        """
        if isinstance(request_handler, StatementRequestHandler):
            request_handler.release()


@dataclass(slots=True)
class _Transaction:
    term: int
    lock: Lock
    changed: int = 0


class StatementRequestHandler:
    """Executes the requests of one statement connection, in one slot.

    Args:
        server: the endpoint.

    """

    def __init__(self, server: EndpointServer) -> None:
        """Start without a slot; the connect request occupies one."""
        self._server = server
        self._has_slot = False
        self._transaction: _Transaction | None = None

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Respond to a statement request."""
        await _wait_while_frozen(self._server)
        try:
            reply = await self._dispatch(req)
        except EndpointRefusalError as exc:
            return error_response(self._server, exc)
        except SqlRejectedError as exc:
            refused = EndpointRefusalError('sql_rejected', exc.detail)
            return error_response(self._server, refused)
        except BadRequestError as exc:
            return error_response(
                self._server, EndpointRefusalError('bad_request', exc.detail)
            )
        if self._server.faults.drop_responses and isinstance(reply, RunReply):
            self._server.faults.drop_responses -= 1
            return HttpResponse(_REFUSED, b'', close=True)
        return HttpResponse(body=encode(reply))

    def release(self) -> None:
        """Roll back an open transaction and free the slot."""
        self._abort()
        if self._has_slot:
            self._has_slot = False
            self._server.used_slots -= 1

    async def _dispatch(self, req: HttpRequest) -> Struct:
        if req.path == '/v1/connect':
            return await self._connect(read_body(req, ConnectRequest))
        if not self._has_slot:
            raise EndpointRefusalError('not_connected')
        if self._server.faults.statement_delay_s:
            await sleep(self._server.faults.statement_delay_s)
        match req.path:
            case '/v1/run':
                return await self._run(read_body(req, RunRequest))
            case '/v1/begin':
                return await self._begin(read_body(req, BeginRequest))
            case '/v1/commit':
                return self._commit(read_body(req, CommitRequest))
            case '/v1/rollback':
                self._abort()
                return self._run_reply(Rows(), self._server.database.end)
        raise EndpointRefusalError('bad_request', req.path)

    async def _connect(self, req: ConnectRequest) -> ConnectReply:
        server = self._server
        if server.faults.leaving:
            raise EndpointRefusalError('leaving', req.client)
        if server.used_slots >= server.slots:
            raise EndpointRefusalError(
                'slots_exhausted', f'{server.slots} are in use'
            )
        server.used_slots += 1
        self._has_slot = True
        if server.faults.connect_delay_s:
            await sleep(server.faults.connect_delay_s)
        return ConnectReply(endpoint=server.name, term=server.term)

    async def _run(self, req: RunRequest) -> RunReply:
        if req.in_transaction:
            return self._run_in_transaction(req)
        if req.access == 'write':
            return await self._write(req)
        database = self._server.database
        return self._run_reply(
            database.read(req.sql, req.args), database.applied_end
        )

    async def _write(self, req: RunRequest) -> RunReply:
        server = self._server
        server.require_primary(req.term)
        lock = await self._acquire_lock()
        try:
            server.require_primary(req.term)
            return self._write_once(req)
        finally:
            lock.release()

    def _write_once(self, req: RunRequest) -> RunReply:
        server = self._server
        recorded = server.database.find_record(req.organisation, req.request)
        if req.request and recorded is not None:
            check_same_statement(recorded, req.sql, req.args)
            return self._replay_reply(recorded)
        server.database.begin()
        try:
            found = server.database.run(req.sql, req.args)
        except SqlRejectedError:
            server.database.rollback()
            raise
        entry = server.database.commit(
            server.term,
            (req.organisation, req.request),
            found,
        )
        server.record_commit(entry)
        return self._run_reply(found, server.database.end)

    async def _begin(self, req: BeginRequest) -> RunReply:
        server = self._server
        server.require_primary(req.term)
        if self._transaction is not None:
            raise EndpointRefusalError('bad_request', 'a transaction is open')
        lock = await self._acquire_lock()
        try:
            server.require_primary(req.term)
        except EndpointRefusalError:
            lock.release()
            raise
        server.database.begin()
        self._transaction = _Transaction(req.term, lock)
        return self._run_reply(Rows(), server.database.end)

    def _run_in_transaction(self, req: RunRequest) -> RunReply:
        transaction = self._require_transaction()
        found = self._server.database.run(req.sql, req.args)
        transaction.changed += found.changed
        return self._run_reply(found, self._server.database.end)

    def _commit(self, req: CommitRequest) -> RunReply:
        transaction = self._require_transaction()
        server = self._server
        recorded = server.database.find_record(req.organisation, req.request)
        if recorded is not None:
            self._abort()
            return self._replay_reply(recorded)
        found = Rows(changed=transaction.changed)
        entry = server.database.commit(
            server.term,
            (req.organisation, req.request),
            found,
        )
        self._transaction = None
        transaction.lock.release()
        server.record_commit(entry)
        return self._run_reply(found, server.database.end)

    def _require_transaction(self) -> _Transaction:
        if self._transaction is None:
            raise EndpointRefusalError('no_transaction')
        if not self._is_current(self._transaction):
            self._abort()
            raise EndpointRefusalError('no_transaction', 'the term has ended')
        return self._transaction

    def _abort(self) -> None:
        transaction = self._transaction
        if transaction is None:
            return
        self._transaction = None
        if self._is_current(transaction):
            self._server.database.rollback()
        transaction.lock.release()

    def _is_current(self, transaction: _Transaction) -> bool:
        server = self._server
        return server.role == 'primary' and server.term == transaction.term

    async def _acquire_lock(self) -> Lock:
        lock = self._server.lock
        with move_on_at(current_time() + LOCK_TIMEOUT_S):
            await lock.acquire()
            return lock
        raise EndpointRefusalError('sql_rejected', 'database is locked')

    def _replay_reply(self, entry: LogEntry) -> RunReply:
        end = self._server.database.end
        return RunReply(
            term=end.term,
            position=end.position,
            columns=entry.columns,
            rows=entry.rows,
            changed=entry.changed,
            replayed=True,
            role='primary',
        )

    def _run_reply(self, found: Rows, reached: LogPosition) -> RunReply:
        return RunReply(
            term=reached.term,
            position=reached.position,
            columns=found.columns,
            rows=found.rows,
            changed=found.changed,
            role='primary' if self._server.role == 'primary' else 'replica',
        )


def read_body(req: HttpRequest, kind: type[BodyT]) -> BodyT:
    """Decode the body of a request.

    Args:
        req: the complete request.
        kind: expected type of the body.

    Returns:
        The body.

    Raises:
        EndpointRefusalError: the body is not of that type.

    """
    try:
        return decode(req.body, type=kind)
    except (DecodeError, ValidationError) as exc:
        raise EndpointRefusalError('bad_request', str(exc)) from exc


def error_response(
    server: EndpointServer, exc: EndpointRefusalError
) -> HttpResponse:
    """Return the response for a refusal.

    Args:
        server: endpoint that refused the request.
        exc: the refusal.

    Returns:
        A typed error which states that nothing was executed.

    """
    error = EndpointError(
        code=exc.code, run='no', detail=exc.detail, term=server.term
    )
    return HttpResponse(_REFUSED, encode(error))


async def _wait_while_frozen(server: EndpointServer) -> None:
    while server.faults.frozen:
        await sleep(APPLY_INTERVAL_S)
