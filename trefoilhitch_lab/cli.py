"""`trefoilhitch-lab`: demo, stand-ins and bench."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from trefoilhitch.cli import load_declaration
from trefoilhitch.daemon import load_settings
from trefoilhitch.exit_code import ExitCode
from trefoilhitch.failing import failing
from trefoilhitch_lab import demo
from trefoilhitch_lab.serve import serve

SeedArg = Annotated[
    int,
    cappa.Arg(long='--seed', help='all random choices follow from it'),
]


@cappa.command(name='demo')
@dataclass(frozen=True)
class Demo:
    """Run orders, reads and transactions through three embedded nodes."""

    json: Annotated[
        bool,
        cappa.Arg(long='--json', help='print one JSON object'),
    ] = False
    seed: SeedArg = 1

    def __call__(self) -> None:
        """Run the demo."""
        raise cappa.Exit(code=demo.main(json=self.json, seed=self.seed))


@cappa.command(name='serve')
@dataclass(frozen=True)
class Serve:
    """Serve the platform's stand-ins for nodes that run on their own."""

    declaration: Annotated[
        Path,
        cappa.Arg(help='INI file that declares the endpoints'),
    ]
    nodes: Annotated[
        list[Path],
        cappa.Arg(
            long='--node',
            help='settings of a node; may be repeated',
        ),
    ] = field(default_factory=list)

    def __call__(self) -> None:
        """Serve until interrupted."""
        if not self.nodes:
            raise failing('name at least one --node', ExitCode.USAGE)
        serve(
            load_declaration(self.declaration),
            [load_settings(path) for path in self.nodes],
        )


@cappa.command(name='trefoilhitch-lab')
@dataclass(frozen=True)
class Lab:
    """Try trefoilhitch out without a platform."""

    command: cappa.Subcommands[Demo | Serve]


def main() -> None:
    """Run the lab's command line."""
    cappa.invoke(Lab)


if __name__ == '__main__':
    main()
