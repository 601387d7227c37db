"""`trefoilhitch explain-route`: asks a node where a request would go."""

from dataclasses import dataclass
from functools import partial
from typing import Annotated

import cappa
from trio import run

from trefoilhitch._generated.peer import ExplainReply, ExplainRequest
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.errors import RefusalError
from trefoilhitch.exit_code import ExitCode
from trefoilhitch.failure_exit import failure_exit, one_line_exit
from trefoilhitch.http_client import HttpClient
from trefoilhitch.json_client import JsonClient
from trefoilhitch.peer_client import decode_refusal
from trefoilhitch.pooler.peer_dependencies import PEER_PREFIX
from trefoilhitch.route_text import render_route
from trefoilhitch.tcp import split_address
from trefoilhitch.terminal_output import print_json

REQUEST_TIMEOUT_MS = 5000


@cappa.command(name='explain-route')
@dataclass(frozen=True)
class ExplainRoute:
    """Ask a node on the platform where it would send a request now, and why."""

    database: Annotated[str, cappa.Arg(help='name of the database')]
    node: Annotated[
        str, cappa.Arg(long='--node', help='ADDRESS:PEER_PORT of the node')
    ]
    organisation: Annotated[
        str,
        cappa.Arg(help='organisation; a public database needs none'),
    ] = ''
    write: Annotated[
        bool, cappa.Arg(long='--write', help='explain a write, not a read')
    ] = False
    json: Annotated[bool, cappa.Arg(long='--json', help='print JSON')] = False

    def __call__(self) -> None:
        """Print the node's explanation."""
        _check_address(self.node)
        request = ExplainRequest(
            database=self.database,
            organisation=self.organisation,
            access='write' if self.write else 'read',
        )
        try:
            reply = run(partial(ask_node, self.node, request))
        except RefusalError as exc:
            raise one_line_exit(
                f'{type(exc).__name__}: {exc}', ExitCode.REFUSED
            ) from exc
        if self.json:
            print_json(reply)
            return
        print(render_route(reply))


async def ask_node(address: str, request: ExplainRequest) -> ExplainReply:
    """Ask a node to explain a route.

    Args:
        address: `ADDRESS:PEER_PORT` of the node.
        request: the request to explain.

    Returns:
        The explanation.

    Raises:
        RefusalError: a name is unknown, the organisation may not use the
            database, or the node did not respond.

    """
    client = JsonClient(
        transport=HttpClient(address), error_decoder=decode_refusal
    )
    deadline = deadline_after_ms(REQUEST_TIMEOUT_MS)
    return await client.post(
        f'{PEER_PREFIX}/explain', request, ExplainReply, deadline
    )


def _check_address(address: str) -> None:
    try:
        split_address(address)
    except OSError as exc:
        raise failure_exit(f'--node: {exc}', ExitCode.USAGE) from exc
