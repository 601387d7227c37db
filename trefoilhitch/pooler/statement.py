"""Messages that clients send in a session."""

from dataclasses import dataclass
from enum import Enum
from typing import Literal

Access = Literal['read', 'write']


class Verb(Enum):
    """Kind of a statement."""

    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    READ = 'read'
    WRITE = 'write'
    SET = 'set'
    PREPARE = 'prepare'
    EXECUTE = 'execute'
    DEALLOCATE = 'deallocate'


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """Content of a prepared statement.

    Args:
        access: whether it reads or writes.
        body: text of the statement, opaque to the pooler.

    """

    access: Access
    body: str

    @property
    def pooled_name(self) -> str:
        """Name on pooled connections, equal for equal content."""
        return f'{self.access}_{self.body}'


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a client.

    Args:
        request_id: request id of the client, unique for each attempt.
        verb: kind of the statement.
        text: text as the client sent it.
        name: name of the session variable or prepared statement.
        argument: text that follows the name.
        prepared: content of the prepared statement, for PREPARE only.
        read_only: whether BEGIN opens a read-only transaction.

    """

    request_id: str
    verb: Verb
    text: str
    name: str = ''
    argument: str = ''
    prepared: PreparedStatement | None = None
    read_only: bool = False


@dataclass(frozen=True, slots=True)
class SessionStart:
    """The first message of a session.

    Args:
        database: database name, which selects the route.
        key: key of the client, empty if it sent none.

    """

    database: str
    key: str
