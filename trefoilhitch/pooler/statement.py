"""What clients ask of a session."""

from dataclasses import dataclass
from enum import Enum
from typing import Literal

Access = Literal['read', 'write']


class Verb(Enum):
    """What a statement does."""

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
    """What a prepared statement runs.

    Args:
        access: whether it reads or writes.
        body: the statement's text, opaque to the pooler.

    """

    access: Access
    body: str

    @property
    def pooled_name(self) -> str:
        """Name on pooled connections, the same for the same content."""
        return f'{self.access}_{self.body}'


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a client.

    Args:
        request_id: the client's id, unique for each attempt.
        verb: what it does.
        text: its text as the client sent it.
        name: session value or prepared statement that it names.
        argument: what follows the name.
        prepared: content of a prepared statement, for PREPARE only.
        read_only: whether a BEGIN opens a transaction that only reads.

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
        database: name under which the client knows its route.
        key: the client's key, empty if it sent none.

    """

    database: str
    key: str
