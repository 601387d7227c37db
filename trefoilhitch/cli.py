"""`trefoilhitch`: the command-line tool for operators."""

import secrets
from dataclasses import dataclass, field
from functools import partial
from getpass import getuser
from pathlib import Path
from typing import Annotated, Any

import cappa
from msgspec import structs
from msgspec.json import encode
from trio import run

from trefoilhitch._generated.peer import DrainOrder, NodeStatus, SwitchOrder
from trefoilhitch._generated.store import Bundle
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.daemon import load_settings
from trefoilhitch.declaration import Change, diff_bundles, read_declaration
from trefoilhitch.errors import (
    NotFoundError,
    RefusalError,
    StoreError,
    TrefoilhitchError,
)
from trefoilhitch.exit_code import ExitCode
from trefoilhitch.explain_command import Explain
from trefoilhitch.explain_route_command import ExplainRoute
from trefoilhitch.failure_exit import failure_exit, one_line_exit
from trefoilhitch.ini import IniFile
from trefoilhitch.keyring import create_key
from trefoilhitch.peer_auth import PeerAuth
from trefoilhitch.peer_client import PeerClient
from trefoilhitch.platform.settings import SettingsFileError
from trefoilhitch.platform.settings import load_settings as load_node_settings
from trefoilhitch.pooler.options import OptionsFileError, load_options
from trefoilhitch.publisher import (
    OutcomeUnknownError,
    PublishedConfig,
    Publisher,
)
from trefoilhitch.setting_error import SettingErrorGroup
from trefoilhitch.store import HttpObjectStore
from trefoilhitch.terminal_output import print_json, print_line
from trefoilhitch.trace import first_difference

REQUEST_TIMEOUT_MS = 5000
KEY_NAME_BYTES = 4
KEY_SECRET_BYTES = 24
KEY_SALT_BYTES = 16
StoreArg = Annotated[
    str,
    cappa.Arg(long='--store', help='ADDRESS:PORT of the object API'),
]
FileArg = Annotated[Path, cappa.Arg(help='INI file with declarations')]
JsonArg = Annotated[bool, cappa.Arg(long='--json', help='print JSON')]


@cappa.command(name='check')
@dataclass(frozen=True)
class Check:
    """Check a declaration, or a node's settings or options on the platform."""

    path: FileArg
    options: Annotated[
        bool, cappa.Arg(long='--options', help='the file holds options')
    ] = False

    def __call__(self) -> None:
        """Check the file and print every error."""
        if self.options:
            print_line(_options_summary(self.path))
            return
        if self.path.suffix == '.json':
            print_line(_settings_summary(self.path))
            return
        bundle = load_declaration(self.path)
        print_line(
            f'{len(bundle.services)} services, '
            f'{len(bundle.endpoints)} endpoints, '
            f'{len(bundle.organisations)} organisations, '
            f'{len(bundle.keys)} keys',
        )


@cappa.command(name='diff')
@dataclass(frozen=True)
class Diff:
    """Show what a declaration would change."""

    path: FileArg
    store: StoreArg
    json: JsonArg = False

    def __call__(self) -> None:
        """Print the changes."""
        bundle = load_declaration(self.path)
        published = _run_async(Publisher(HttpObjectStore(self.store)).current)
        changes = diff_bundles(published.bundle, bundle)
        if self.json:
            print_json(
                {'revision': published.head.revision, 'changes': changes}
            )
            return
        print_line(f'revision {published.head.revision}')
        for change in changes:
            print_line(_change_line(change))


@cappa.command(name='apply')
@dataclass(frozen=True)
class Apply:
    """Apply a declaration atomically."""

    path: FileArg
    store: StoreArg
    base: Annotated[
        int | None,
        cappa.Arg(
            long='--base',
            help='revision that the file is based on; default: the current one',
        ),
    ] = None
    operator: Annotated[
        str,
        cappa.Arg(long='--operator', help='operator who applies it'),
    ] = field(default_factory=getuser)

    def __call__(self) -> None:
        """Apply the file."""
        bundle = load_declaration(self.path)
        publisher = Publisher(HttpObjectStore(self.store))
        base = self.base
        if base is None:
            base = _run_async(publisher.current).head.revision
        head = _run_async(
            partial(publisher.apply, bundle, base=base, operator=self.operator),
        )
        print_line(f'revision {head.revision} is in force')


@cappa.command(name='show')
@dataclass(frozen=True)
class Show:
    """Show the configuration that is in force."""

    store: StoreArg
    json: JsonArg = False

    def __call__(self) -> None:
        """Print the configuration."""
        published: PublishedConfig = _run_async(
            Publisher(HttpObjectStore(self.store)).current
        )
        if self.json:
            print_json({'head': published.head, 'bundle': published.bundle})
            return
        print_line(
            f'revision {published.head.revision} by {published.head.operator}'
        )
        for change in diff_bundles(Bundle(), published.bundle):
            print_line(f'{change.kind} {change.name}')


@cappa.command(name='status')
@dataclass(frozen=True)
class Status:
    """Show the nodes that a node knows, with their revisions."""

    settings: Annotated[
        Path,
        cappa.Arg(long='--settings', help='settings of any node of the fleet'),
    ]
    node: Annotated[
        str | None,
        cappa.Arg(
            long='--node', help='ADDRESS:PEER_PORT; default: from the settings'
        ),
    ] = None
    json: JsonArg = False

    def __call__(self) -> None:
        """Print the status."""
        client = _peer_client(self.settings, self.node)
        status: NodeStatus = _run_async(partial(_status, client))
        if self.json:
            print_json(status)
            return
        newest = max(member.revision for member in status.members)
        print_line(
            f'{status.node} {status.state} revision {status.revision}: '
            f'{status.connections} connections, {status.requests} requests, '
            f'{status.refusals} refusals, p50 {status.p50_ms} ms, '
            f'p99 {status.p99_ms} ms',
        )
        for member in status.members:
            lag = '' if member.revision == newest else f' lags behind {newest}'
            print_line(
                f'{member.node} {member.data_centre} {member.state} '
                f'{member.revision}{lag}',
            )


@cappa.command(name='switch')
@dataclass(frozen=True)
class Switch:
    """Switch a service's primary to another endpoint."""

    service: Annotated[str, cappa.Arg(help='name of the service')]
    primary: Annotated[str, cappa.Arg(help='endpoint to make the primary')]
    settings: Annotated[
        Path,
        cappa.Arg(long='--settings', help='settings of any node of the fleet'),
    ]
    node: Annotated[
        str | None,
        cappa.Arg(long='--node', help='ADDRESS:PEER_PORT of a monitor'),
    ] = None

    def __call__(self) -> None:
        """Send the switch-over command."""
        order = SwitchOrder(service=self.service, primary=self.primary)
        _run_async(
            partial(_switch, _peer_client(self.settings, self.node), order)
        )
        print_line(f'{self.service}: switch-over to {self.primary} requested')


@cappa.command(name='drain')
@dataclass(frozen=True)
class Drain:
    """Shut down a node gracefully, as SIGTERM does."""

    node: Annotated[str, cappa.Arg(help='name of the node')]
    settings: Annotated[
        Path,
        cappa.Arg(long='--settings', help='settings of any node of the fleet'),
    ]

    def __call__(self) -> None:
        """Send the drain command."""
        _run_async(partial(_drain, self.settings, self.node))
        print_line(f'{self.node} is draining')


@cappa.command(name='new')
@dataclass(frozen=True)
class KeyNew:
    """Create a key: text for the client, section for the declaration."""

    organisation: Annotated[
        str, cappa.Arg(help='organisation that the key belongs to')
    ]

    def __call__(self) -> None:
        """Print the key once; only its hash is stored."""
        new_key = create_key(
            self.organisation,
            name=secrets.token_hex(KEY_NAME_BYTES),
            secret=secrets.token_hex(KEY_SECRET_BYTES),
            salt=secrets.token_hex(KEY_SALT_BYTES),
        )
        print_line(f'; for the client, shown only once: {new_key.text}')
        print_line(f'[key {new_key.key.name}]')
        print_line(f'organisation = {new_key.key.organisation}')
        print_line(f'salt = {new_key.key.salt}')
        print_line(f'digest = {new_key.key.digest}')


@cappa.command(name='withdraw')
@dataclass(frozen=True)
class KeyWithdraw:
    """Withdraw a key from the configuration that is in force."""

    name: Annotated[str, cappa.Arg(help='public name of the key')]
    store: StoreArg
    operator: Annotated[
        str,
        cappa.Arg(long='--operator', help='operator who withdraws it'),
    ] = field(default_factory=getuser)

    def __call__(self) -> None:
        """Withdraw the key."""
        publisher = Publisher(HttpObjectStore(self.store))
        published: PublishedConfig = _run_async(publisher.current)
        kept = [key for key in published.bundle.keys if key.name != self.name]
        if len(kept) == len(published.bundle.keys):
            raise failure_exit(
                f'no key {self.name} is in force', ExitCode.REFUSED
            )
        bundle = _with_keys(published.bundle, kept)
        base = published.head.revision
        head = _run_async(
            partial(publisher.apply, bundle, base=base, operator=self.operator),
        )
        print_line(
            f'revision {head.revision} is in force without key {self.name}'
        )


@cappa.command(name='key')
@dataclass(frozen=True)
class KeyCommand:
    """Create and withdraw keys."""

    command: cappa.Subcommands[KeyNew | KeyWithdraw]


@cappa.command(name='replay')
@dataclass(frozen=True)
class TraceReplay:
    """Replay a recorded trace and print the first difference."""

    path: Annotated[Path, cappa.Arg(help='JSON lines, as the log writes them')]

    def __call__(self) -> None:
        """Replay the trace."""
        with self.path.open(errors='replace') as lines:
            difference = _exit_on_error(partial(first_difference, lines))
        if difference is None:
            print_line('no difference')
            return
        raise failure_exit(
            f'line {difference.line}: recorded {difference.recorded!r}, '
            f'now {difference.replayed!r}: '
            f'{encode(difference.record).decode()}',
            ExitCode.REFUSED,
        )


@cappa.command(name='trace')
@dataclass(frozen=True)
class TraceCommand:
    """Work with recorded decisions."""

    command: cappa.Subcommands[TraceReplay]


@cappa.command(name='trefoilhitch')
@dataclass(frozen=True)
class Tool:
    """Operate a trefoilhitch fleet."""

    command: cappa.Subcommands[
        Check
        | Diff
        | Apply
        | Show
        | Status
        | Switch
        | Drain
        | KeyCommand
        | TraceCommand
        | Explain
        | ExplainRoute
    ]


def main() -> None:
    """Run the tool's command line."""
    cappa.invoke(Tool)


def load_declaration(path: Path) -> Bundle:
    """Read a declaration; on errors, print all of them and exit.

    Args:
        path: the file.

    Returns:
        The bundle.

    Raises:
        Exit: the file cannot be read or is invalid.

    """
    try:
        return read_declaration(IniFile.from_text(str(path), path.read_text()))
    except (OSError, UnicodeError) as exc:
        raise failure_exit(str(exc), ExitCode.USAGE) from exc
    except SettingErrorGroup as group:
        lines = '\n'.join(str(exc) for exc in group.exceptions)
        raise failure_exit(lines, ExitCode.REFUSED) from group


def _settings_summary(path: Path) -> str:
    try:
        cfg = load_node_settings(path)
    except SettingsFileError as exc:
        raise failure_exit(str(exc), ExitCode.REFUSED) from exc
    return (
        f'{cfg.node} in {cfg.data_centre} ({cfg.region}): '
        f'clients {cfg.client_address}, peers {cfg.peer_address}, '
        f'store {cfg.store_address}'
    )


def _options_summary(path: Path) -> str:
    try:
        options = load_options(path)
    except OptionsFileError as exc:
        raise failure_exit(str(exc), ExitCode.REFUSED) from exc
    enabled = [
        f'{section}.{key}'
        for section, fields in structs.asdict(options).items()
        for key, is_on in structs.asdict(fields).items()
        if is_on
    ]
    return f'on: {", ".join(enabled) or "none"}'


def _run_async(async_call: Any) -> Any:
    return _exit_on_error(partial(run, async_call))


def _exit_on_error(call: Any) -> Any:
    try:
        return call()
    except OutcomeUnknownError as exc:
        raise one_line_exit(
            f'outcome unknown: {exc}', ExitCode.UNKNOWN
        ) from exc
    except (StoreError, RefusalError, TrefoilhitchError) as exc:
        error_name = type(exc).__name__
        raise one_line_exit(f'{error_name}: {exc}', ExitCode.REFUSED) from exc


def _peer_client(settings: Path, address: str | None) -> PeerClient:
    cfg = load_settings(settings)
    auth = PeerAuth.from_secrets(cfg.fleet.secret, cfg.fleet.previous_secret)
    own = f'{cfg.node.address}:{cfg.node.peer_port}'
    return PeerClient(address or own, auth=auth)


async def _status(client: PeerClient) -> NodeStatus:
    return await client.status(deadline_after_ms(REQUEST_TIMEOUT_MS))


async def _drain(settings: Path, node: str) -> DrainOrder:
    status = await _status(_peer_client(settings, None))
    known = {member.node: member.address for member in status.members}
    if node not in known:
        raise NotFoundError(f'no node {node} is known')
    deadline = deadline_after_ms(REQUEST_TIMEOUT_MS)
    client = _peer_client(settings, known[node])
    order = DrainOrder(node=node)
    return await client.request('/peer/v1/drain', order, DrainOrder, deadline)


async def _switch(client: PeerClient, order: SwitchOrder) -> SwitchOrder:
    deadline = deadline_after_ms(REQUEST_TIMEOUT_MS)
    return await client.request('/peer/v1/switch', order, SwitchOrder, deadline)


def _with_keys(bundle: Bundle, keys: list[Any]) -> Bundle:
    return Bundle(
        services=bundle.services,
        endpoints=bundle.endpoints,
        organisations=bundle.organisations,
        keys=keys,
    )


def _change_line(change: Change) -> str:
    return f'{change.action} {change.kind} {change.name}'


if __name__ == '__main__':
    main()
