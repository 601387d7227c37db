"""`trefoilhitchd`: runs one node as a process."""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random, SystemRandom
from signal import SIGINT, SIGTERM
from time import time_ns
from typing import Annotated

import cappa
from trio import CancelScope, open_nursery, open_signal_receiver, run

from trefoilhitch._generated.settings import Settings
from trefoilhitch.decision_log import JsonLinesHandler, LogbookLog
from trefoilhitch.exit_code import ExitCode
from trefoilhitch.failure_exit import failure_exit
from trefoilhitch.ini import IniFile
from trefoilhitch.node import Node
from trefoilhitch.node_components import NodeContext
from trefoilhitch.platform_services import PlatformServices
from trefoilhitch.setting_error import SettingErrorGroup
from trefoilhitch.settings import read_settings

_SEED_BITS = 128


@cappa.command(name='trefoilhitchd')
@dataclass(frozen=True)
class Daemon:
    """Run a trefoilhitch node until SIGTERM."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help='INI file with settings')
    ]

    def __call__(self) -> None:
        """Run the node.

        Raises:
            Exit: the settings cannot be read or are invalid.

        """
        cfg = load_settings(self.settings)
        run(_run_node, cfg)


def load_settings(path: Path) -> Settings:
    """Read a settings file; on errors, print all of them and exit.

    Args:
        path: the file.

    Returns:
        The settings.

    Raises:
        Exit: the file cannot be read or is invalid.

    """
    try:
        return read_settings(IniFile.from_text(str(path), path.read_text()))
    except (OSError, UnicodeError) as exc:
        raise failure_exit(str(exc), ExitCode.USAGE) from exc
    except SettingErrorGroup as group:
        lines = '\n'.join(str(exc) for exc in group.exceptions)
        raise failure_exit(lines, ExitCode.USAGE) from group


def main() -> None:
    """Run the daemon's command line."""
    cappa.invoke(Daemon)


async def _run_node(cfg: Settings) -> None:
    log = LogbookLog(
        node=cfg.node.name,
        sink=JsonLinesHandler(sys.stdout, cfg.log.level),
    )
    ctx = NodeContext.from_settings(
        cfg,
        platform=PlatformServices.from_settings(cfg),
        log=log,
        random=Random(SystemRandom().getrandbits(_SEED_BITS)),
        incarnation=time_ns(),
    )
    node = Node(ctx)
    async with open_nursery() as nursery:
        scope = CancelScope()
        nursery.start_soon(_stop_on_signal, node.stop, scope)
        await node.run()
        scope.cancel()


async def _stop_on_signal(stop: Callable[[], None], scope: CancelScope) -> None:
    with scope, open_signal_receiver(SIGTERM, SIGINT) as signals:
        async for _ in signals:
            stop()


if __name__ == '__main__':
    main()
