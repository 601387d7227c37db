"""Plays a script and checks what ran; cuts a script that breaks a rule down."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from functools import partial

from tests.schedule import seeded_schedule
from tests.session_player import play_script
from tests.session_scripts import ClientScript, Script
from tests.support import run_virtual
from tests.wire_checker import Break, check_journal
from tests.wire_grammar import parse_query
from tests.wire_journal import ClientSent, EndpointReceived, Event

MAX_SHOWN_EVENTS = 60
# Plays in which a script is cut down; about a minute.
MAX_PLAYS = 300
SHOWN_CHARS = 160


def run_script(script: Script) -> list[Event]:
    """Play a script in the seeded order of tasks."""
    with seeded_schedule():
        return run_virtual(partial(play_script, script))


def find_breaks(script: Script) -> list[Break]:
    """Play a script; return the rules that it broke."""
    events = run_script(script)
    return check_journal(events, all_served=not script.faults)


def sessions_by_connection(events: Iterable[Event]) -> dict[str, set[str]]:
    """Return the sessions whose statements each connection received."""
    sessions: dict[bytes, str] = {}
    found: defaultdict[str, set[str]] = defaultdict(set)
    for event in events:
        query = parse_query(getattr(event, 'line', b''))
        if query is None:
            continue
        if isinstance(event, ClientSent):
            sessions[query.request_id] = event.session
        elif isinstance(event, EndpointReceived):
            found[event.connection].add(sessions.get(query.request_id, ''))
    return {connection: names - {''} for connection, names in found.items()}


def report_breaks(script: Script, breaks: list[Break]) -> str:
    """Describe a failed run, cut down to its smallest script.

    Args:
        script: what happened.
        breaks: the rules that were broken.

    Returns:
        One line for each broken rule, and the events of the smallest run.

    """
    first = breaks[0]
    plays = iter(range(MAX_PLAYS))

    def still_breaks(smaller: Script) -> bool:
        if next(plays, None) is None:
            return False
        return first.kind in {each.kind for each in find_breaks(smaller)}

    smallest = cut_down(script, still_breaks)
    events = [
        repr(event)[:SHOWN_CHARS]
        for event in run_script(smallest)
        if getattr(event, 'line', b'') != b'QUERY - STATUS'
        and 'DATAROW primary' not in repr(event)
        and 'DATAROW replica' not in repr(event)
    ]
    return '\n'.join(
        (
            f'seed {script.seed}, faults {script.faults}',
            *map(str, breaks),
            'the smallest run:',
            *(
                f'{client.client} {client.node} {client.database}'
                for client in smallest.clients
            ),
            *events[-MAX_SHOWN_EVENTS:],
        )
    )


def cut_down(script: Script, still_breaks: Callable[[Script], bool]) -> Script:
    """Remove clients, faults and steps as long as a rule is still broken.

    Args:
        script: a script that breaks a rule.
        still_breaks: whether a smaller script does.

    Returns:
        A script of which no single part can be removed.

    """
    smaller = next(filter(still_breaks, _smaller_scripts(script)), None)
    while smaller is not None:
        script = smaller
        smaller = next(filter(still_breaks, _smaller_scripts(script)), None)
    return script


def _smaller_scripts(script: Script) -> Iterator[Script]:
    for fault in script.faults:
        kept = tuple(each for each in script.faults if each != fault)
        # Without any fault, all statements would have to be served.
        if kept:
            yield replace(script, faults=kept)
    for number, client in enumerate(script.clients):
        before = script.clients[:number]
        after = script.clients[number + 1 :]
        if before or after:
            yield replace(script, clients=(*before, *after))
        for shorter in _shorter_clients(client):
            yield replace(script, clients=(*before, shorter, *after))


def _shorter_clients(client: ClientScript) -> Iterator[ClientScript]:
    length = len(client.steps)
    size = length // 2
    while size:
        for start in range(0, length, size):
            steps = client.steps[:start] + client.steps[start + size :]
            if steps:
                yield replace(client, steps=steps)
        size //= 2
