"""`trefoilhitch-lab`: demo, simulated platform and bench."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
from msgspec import json
from rich.console import Console
from trio import run

from trefoilhitch.cli import load_declaration
from trefoilhitch.daemon import load_settings
from trefoilhitch.exit_code import ExitCode
from trefoilhitch.failure_exit import failure_exit
from trefoilhitch_lab import demo
from trefoilhitch_lab.bench import PRODUCT, BenchEntry, run_scenario
from trefoilhitch_lab.bench_report import summarise, violation_count
from trefoilhitch_lab.control_overhead import measure_control_overhead
from trefoilhitch_lab.cost import CostMeasurement
from trefoilhitch_lab.deployment import DEPLOYMENTS
from trefoilhitch_lab.serve import serve

COST_CONNECTIONS = 20
REPORT_WIDTH = 160
SeedArg = Annotated[
    int,
    cappa.Arg(long='--seed', help='seed of all random choices'),
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
    """Serve a simulated platform for nodes that run as own processes."""

    declaration: Annotated[
        Path,
        cappa.Arg(help='INI file that declares the endpoints'),
    ]
    nodes: Annotated[
        list[Path],
        cappa.Arg(
            long='--node',
            help='settings file of a node; may be repeated',
        ),
    ] = field(default_factory=list)

    def __call__(self) -> None:
        """Serve until interrupted."""
        if not self.nodes:
            raise failure_exit(
                'at least one --node is required', ExitCode.USAGE
            )
        serve(
            load_declaration(self.declaration),
            [load_settings(path) for path in self.nodes],
        )


@cappa.command(name='bench')
@dataclass(frozen=True)
class Bench:
    """Run a scenario on a deployment and measure it."""

    deployment: Annotated[str, cappa.Arg(long='--deployment')] = 'himal'
    scenario: Annotated[str, cappa.Arg(long='--scenario')] = 'steady'
    system: Annotated[str, cappa.Arg(long='--system')] = PRODUCT
    seed: SeedArg = 1

    def __call__(self) -> None:
        """Print one entry as JSON."""
        entry = run_scenario(
            DEPLOYMENTS[self.deployment],
            self.scenario,
            self.seed,
            self.system,
        )
        print(json.encode(entry).decode())


@cappa.command(name='report')
@dataclass(frozen=True)
class Report:
    """Collect bench entries into one file and print them as a table."""

    entries: Annotated[Path, cappa.Arg(help='file with one entry per line')]
    target: Annotated[Path, cappa.Arg(help='file to write all entries to')]

    def __call__(self) -> None:
        """Print the table; fail if a guarantee was violated."""
        lines = self.entries.read_text().splitlines()
        entries = [json.decode(line, type=BenchEntry) for line in lines]
        self.target.write_bytes(json.format(json.encode(entries)))
        Console(width=REPORT_WIDTH).print(summarise(entries))
        violations = sum(
            violation_count(entry)
            for entry in entries
            if entry.system == PRODUCT
        )
        raise cappa.Exit(code=ExitCode.REFUSED if violations else ExitCode.DONE)


@cappa.command(name='slopes')
@dataclass(frozen=True)
class Slopes:
    """Measure the overhead of an idle node by nodes and services."""

    nodes: Annotated[int, cappa.Arg(long='--nodes')] = 8
    services: Annotated[int, cappa.Arg(long='--services')] = 3
    seed: SeedArg = 1

    def __call__(self) -> None:
        """Print the measurement as JSON."""
        overhead = measure_control_overhead(
            self.nodes, self.services, self.seed
        )
        print(json.encode(overhead).decode())


@cappa.command(name='cost')
@dataclass(frozen=True)
class Cost:
    """Measure the cost of a statement on a node in its own process."""

    declaration: Annotated[
        Path,
        cappa.Arg(help='INI file that declares the endpoints'),
    ]
    settings: Annotated[Path, cappa.Arg(help='settings file of the node')]
    key: Annotated[str, cappa.Arg(long='--key', help='API key of a client')]
    node_pid: Annotated[int, cappa.Arg(long='--node-pid')]
    platform_pid: Annotated[int, cappa.Arg(long='--platform-pid')]
    rate: Annotated[float, cappa.Arg(long='--rate')] = 600
    seconds: Annotated[float, cappa.Arg(long='--seconds')] = 10
    seed: SeedArg = 1

    def __call__(self) -> None:
        """Print the report as one JSON object."""
        cfg = load_settings(self.settings)
        measurement = CostMeasurement(
            address=f'{cfg.node.address}:{cfg.node.port}',
            key=self.key,
            endpoints=load_declaration(self.declaration).endpoints,
            node_pid=self.node_pid,
            platform_pid=self.platform_pid,
            rate=self.rate,
            seconds=self.seconds,
            connections=COST_CONNECTIONS,
            seed=self.seed,
        )
        report = run(measurement.measure)
        print(json.format(json.encode(report)).decode())


@cappa.command(name='trefoilhitch-lab')
@dataclass(frozen=True)
class Lab:
    """Try trefoilhitch without a platform."""

    command: cappa.Subcommands[Demo | Serve | Bench | Report | Slopes | Cost]


def main() -> None:
    """Run the lab's command line."""
    cappa.invoke(Lab)


if __name__ == '__main__':
    main()
