"""Seeded scripts of sessions, with any byte in any field."""

from dataclasses import dataclass
from random import Random

BLANK = b' '
MAX_LINE_BYTES = 1048576
LINE_END_BYTES = 2
ANY_BYTE = tuple(
    bytes((number,)) for number in range(256) if bytes((number,)) not in b'\r\n'
)
# Bytes that str.split() or a decoder takes for white space or a line end.
ODD_BYTES = tuple(
    bytes((number,))
    for number in (0, 9, 11, 12, 28, 29, 30, 31, 127, 0x85, 0xA0, 0xFF)
)
WORDS = (
    b'a',
    b'q25',
    b'q2c',
    b'-',
    b'READ',
    b'WRITE',
    b'PREPARE',
    b'EXECUTE',
    b'SET',
    b'RESET',
    b'MINLSN',
    b'START',
    b'\xe0\xa5\x90',
    b'\xc2\xa0',
    b'caf\xc3\xa9',
    b'write_q25',
    b'read_q2c',
)
TEXTS = (
    b'a b',
    b' a',
    b'a ',
    b'a  b',
    b'  ',
    b'MINLSN 1.1 READ a',
    b'READ a',
    b'WRITE a b',
    b'WRITE q25',
    b'SET a b',
    b'PREPARE s1 READ a',
    b'EXECUTE s1 a b',
    b'START orders key-himal',
    b'- RESET',
)
SHAPES = (
    b'q25',
    b'q25 WRITE nl',
    b'q25 ',
    b'q2c',
    b'q2c razor',
    b'q2c razor ',
    b' q2c',
    b'q2c  razor',
    b'q10',
    b'q10 READ aw',
    b'READ q10',
    b'q2c\xa0',
    b'q2c\x1c',
    b'q2c\x00',
    b'\x85',
    b'\xe0\xa5\x90 q2c',
    b'-',
    b'write_q2c',
)
NAMES = (
    b's1',
    b's2',
    b'S1',
    b's1\xa0',
    b's1\x85',
    b's1\x1c',
    b'-',
    b'READ',
    b'write_q25',
    b'\xe0\xa5\x90',
    b'\x00',
)
VARIABLES = (b'app', b'colour', b'SET', b'a\xa0', b'-', b'\x1f', b'caf\xc3\xa9')
# Sizes of long fields; most lines are short.
LONG_BYTES = (3000, 70000, 600000)
# Some of these take more bytes in messages between nodes.
FILLINGS = (b'a', b'a ', b'\x00', b'\\', b'\xa0', b'\xe0\xa5\x90')
NEAR_LIMIT = tuple(range(-3, 4)) + (-40, -60)


@dataclass(frozen=True, slots=True)
class Step:
    """One message of a client.

    Args:
        text: text of the statement; empty if the client leaves.
        request_id: its id.
        pause_s: pause before it, in seconds.

    """

    text: bytes
    request_id: bytes
    pause_s: float

    @property
    def line(self) -> bytes:
        """The message without its line end."""
        return b' '.join((b'QUERY', self.request_id, self.text))


@dataclass(frozen=True, slots=True)
class ClientScript:
    """What one client does.

    Args:
        client: name of the client.
        node: name of the node that it connects to.
        organisation: name of its organisation.
        database: name of the database.
        steps: its messages.

    """

    client: str
    node: str
    organisation: str
    database: str
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class Script:
    """What happens in one run.

    Args:
        seed: seed of the run.
        clients: what each client does.
        with_gateways: whether gateways hold the connections.
        faults: kinds of faults that are played.

    """

    seed: int
    clients: tuple[ClientScript, ...]
    with_gateways: bool = False
    faults: tuple[str, ...] = ()


class FieldSource:
    """Draws fields; those that collide come from small sets.

    Args:
        random: chooses.
        with_long_fields: whether some fields are long.

    """

    def __init__(self, random: Random, *, with_long_fields: bool) -> None:
        """Choose the sets of a run."""
        self.random = random
        self.names = random.sample(NAMES, 3)
        self.shapes = [*random.sample(SHAPES, 5), self._drawn_text()]
        self.variables = random.sample(VARIABLES, 2)
        self._with_long_fields = with_long_fields

    def word(self) -> bytes:
        """Return a field that another one follows."""
        if self.random.random() < 0.5:
            return self.random.choice(WORDS)
        return self._drawn_text().replace(BLANK, b'\xa0') or b'x'

    def text(self) -> bytes:
        """Return the last field of a statement."""
        chosen = self.random.random()
        if self._with_long_fields and chosen < 0.08:
            return self._long_text()
        if chosen < 0.3:
            return self.random.choice(WORDS)
        if chosen < 0.6:
            return self.random.choice(TEXTS)
        return self._drawn_text() if chosen < 0.95 else b''

    def name(self) -> bytes:
        """Return the name of a prepared statement."""
        return self.random.choice(self.names)

    def shape(self) -> bytes:
        """Return the shape of a prepared statement."""
        if self._with_long_fields and self.random.random() < 0.1:
            return self._long_text()
        return self.random.choice(self.shapes)

    def _drawn_text(self) -> bytes:
        pool = self.random.choice((ANY_BYTE, (*ODD_BYTES, b'a', BLANK)))
        return b''.join(self.random.choices(pool, k=self.random.randint(0, 6)))

    def _long_text(self) -> bytes:
        size = self.random.choice(LONG_BYTES)
        filling = self.random.choice(FILLINGS)
        return (filling * size)[:size]


class StepSource:
    """Draws the steps of one client.

    Args:
        fields: draws their fields.
        client: name of the client, part of all its ids.

    """

    def __init__(self, fields: FieldSource, client: str) -> None:
        """Start without steps."""
        self._fields = fields
        self._random = fields.random
        self._client = client
        self._steps: list[Step] = []
        # Odd bytes around the ids of this client.
        self._mark = self._random.choice((b'', b'-', b'\xa0', b'\x1c', b'\xff'))

    def draw(self, count: int) -> tuple[Step, ...]:
        """Return steps; about as many as asked for."""
        for name in self._fields.names:
            access = self._random.choice((b'READ', b'WRITE'))
            shape = self._fields.shape()
            self._add(b' '.join((b'PREPARE', name, access, shape)))
        while len(self._steps) < count:
            self._draw_operation()
        return tuple(self._steps)

    def _draw_operation(self) -> None:
        chosen = self._random.random()
        if chosen < 0.5:
            self._add(self._session_text())
        elif chosen < 0.75:
            self._add(self._statement_text())
        elif chosen < 0.8:
            self._add(self._near_limit_text())
        elif chosen < 0.83:
            self._add(self._odd_text())
        else:
            self._draw_transaction()

    def _draw_transaction(self) -> None:
        self._add(self._random.choice((b'BEGIN', b'BEGIN READ')))
        for _ in range(self._random.randint(0, 4)):
            texts = (self._statement_text, self._session_text)
            self._add(self._random.choice(texts)())
        end = self._random.random()
        if end < 0.15:
            self._add(b'')
        else:
            self._add(b'COMMIT' if end < 0.7 else b'ROLLBACK')

    def _add(self, text: bytes) -> None:
        number = len(self._steps)
        request_id = f'{self._client}-{number}'.encode() + self._mark
        pause_s = self._random.choice((0, 0, 0, 0.01, 0.05, 0.3))
        self._steps.append(Step(text, self._mark + request_id, pause_s))

    def _session_text(self) -> bytes:
        fields = self._fields
        chosen = self._random.random()
        if chosen < 0.25:
            name = self._random.choice(fields.variables)
            return b' '.join((b'SET', name, fields.text()))
        if chosen < 0.3:
            return b' '.join((b'DEALLOC', fields.name()))
        access = self._random.choice((b'READ', b'WRITE', b'WRITE'))
        if chosen < 0.6:
            prepared = (b'PREPARE', fields.name(), access, fields.shape())
            return b' '.join(prepared)
        return self._execute_text()

    def _execute_text(self) -> bytes:
        fields = self._fields
        executed = (b'EXECUTE', fields.name(), fields.word())
        if self._random.random() < 0.3:
            return b' '.join(executed)
        return b' '.join((*executed, fields.text()))

    def _statement_text(self) -> bytes:
        fields = self._fields
        chosen = self._random.random()
        if chosen < 0.3:
            return b' '.join((b'READ', fields.text()))
        if chosen < 0.6:
            return b' '.join((b'WRITE', fields.word(), fields.text()))
        return self._execute_text()

    def _near_limit_text(self) -> bytes:
        """Return a text whose line just fits, or just does not."""
        if self._random.random() < 0.7:
            return self._session_text()
        access = (b'PREPARE', self._fields.name(), b'WRITE', b'')
        start = self._random.choice(
            (b'WRITE a ', b'READ ', b'SET app ', b' '.join(access))
        )
        used = len(b'QUERY  ') + len(self._client) + 4 + 2 * len(self._mark)
        size = MAX_LINE_BYTES - LINE_END_BYTES - used - len(start)
        size += self._random.choice(NEAR_LIMIT)
        return start + self._random.choice((b'a', b'\x00', b'\xff')) * size

    def _odd_text(self) -> bytes:
        return self._random.choice(
            (
                b'MINLSN 1.1 READ a',
                b'STATUS',
                b'RESET',
                b' ',
                b' READ a',
                b'READ',
                b'BEGIN WRITE',
                b'READ\xa0a',
                b'SET\x1capp a',
                b'COMMIT ',
                b'PREPARE s1 READ',
                b'EXECUTE s1',
            )
        )


ORGANISATIONS = ('himal', 'himal', 'hanbit', 'himal', 'hanbit')
DATABASES = ('orders', 'visits', 'stock')
DIRECT_NODES = 2
GATEWAY_NODES = 6
FAULTS = ('busy', 'lost', 'crash', 'restart')


def draw_script(seed: int) -> Script:
    """Return the script of a seed.

    Two of three seeds run without faults, one of three through gateways.
    """
    random = Random(seed)
    with_gateways = seed % 3 == 2
    nodes = GATEWAY_NODES if with_gateways else DIRECT_NODES
    fields = FieldSource(random, with_long_fields=seed % 4 == 3)
    clients = tuple(
        ClientScript(
            client=f'c{number}',
            node=f'node-{random.randrange(nodes)}',
            organisation=organisation,
            database=random.choice(DATABASES),
            steps=StepSource(fields, f'c{number}').draw(40),
        )
        for number, organisation in enumerate(ORGANISATIONS)
    )
    faults: tuple[str, ...] = ()
    if seed % 5 in {3, 4}:
        faults = tuple(random.sample(FAULTS, random.randint(1, 3)))
    return Script(seed, clients, with_gateways, faults)
