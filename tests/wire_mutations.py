"""Faults of the product at the point where it encodes its lines.

Each one changes what an endpoint receives, so that tests show that the checker
detects it, whichever way the product is built.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace

import pytest

from trefoilhitch.platform import endpoint_connection
from trefoilhitch.platform.endpoint_codec import encode_command
from trefoilhitch.pooler.ports import Command

# An own statement that changes nothing, with an answer like others.
_NOTHING = 'STATUS'
Mutation = Callable[[str], str]


def names_from_shapes() -> Mutation:
    """Name prepared statements by access and shape."""
    names: dict[str, str] = {}

    def mutate(text: str) -> str:
        verb, _, rest = text.partition(' ')
        if verb == 'PREPARE':
            name, access, shape = rest.split(' ', 2)
            names[name] = f'{access.lower()}_{shape}'
            return f'PREPARE {names[name]} {access} {shape}'
        if verb == 'EXECUTE':
            name, _, argument = rest.partition(' ')
            return f'EXECUTE {names.get(name, name)} {argument}'
        return text

    return mutate


def cut_at_white_space() -> Mutation:
    """Join the words of a text again after cutting it at any white space."""
    return lambda text: ' '.join(text.split())


def no_trailing_blank() -> Mutation:
    """Drop blanks at the end of a text."""
    return lambda text: text.rstrip(' ')


def no_reset() -> Mutation:
    """Leave the values of another session on a connection."""
    return lambda text: _NOTHING if text == 'RESET' else text


def prepared_elsewhere() -> Mutation:
    """Prepare a name on the first connection only."""
    names: set[str] = set()

    def mutate(text: str) -> str:
        verb, _, rest = text.partition(' ')
        if verb != 'PREPARE':
            return text
        name = rest.partition(' ')[0]
        if name in names:
            return _NOTHING
        names.add(name)
        return text

    return mutate


def one_name_for_all() -> Mutation:
    """Give all prepared statements the same name."""

    def mutate(text: str) -> str:
        verb, _, rest = text.partition(' ')
        if verb not in {'PREPARE', 'EXECUTE'}:
            return text
        return f'{verb} s1 {rest.partition(" ")[2]}'

    return mutate


@contextmanager
def mutated_lines(mutation: Mutation) -> Iterator[None]:
    """Change the texts that nodes send in a block.

    Args:
        mutation: returns the changed text.

    """

    def encode_mutated(command: Command) -> bytes:
        return encode_command(replace(command, text=mutation(command.text)))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(endpoint_connection, 'encode_command', encode_mutated)
        yield
