"""Messages that clients send in a session."""

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import Literal

Access = Literal['read', 'write']
_NAME_DIGEST_BYTES = 16
# A letter and two hexadecimal digits for each byte.
POOLED_NAME_CHARS = 2 * _NAME_DIGEST_BYTES + 1


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
        pooled_name: name on pooled connections, which only equal content has.
            It holds none of the client's text, which may contain blanks.

    """

    access: Access
    body: str
    pooled_name: str = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Derive the name from the content."""
        hashed = f'{self.access} {self.body}'.encode('utf-8', 'surrogatepass')
        digest = blake2b(hashed, digest_size=_NAME_DIGEST_BYTES).hexdigest()
        object.__setattr__(self, 'pooled_name', f's{digest}')


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
