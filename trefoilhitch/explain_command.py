"""`trefoilhitch explain`: shows the log events that explain a request."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Annotated

import cappa

from trefoilhitch.exit_code import ExitCode
from trefoilhitch.failure_exit import failure_exit, one_line_exit
from trefoilhitch.log_timeline import build_timeline, read_events
from trefoilhitch.terminal_output import print_line

DEFAULT_AROUND_S = 3.0


@cappa.command(name='explain')
@dataclass(frozen=True)
class Explain:
    """Show the events in the nodes' logs that explain a request."""

    request: Annotated[str, cappa.Arg(help="the request's id")]
    logs: Annotated[
        list[Path], cappa.Arg(help='logs of nodes, JSON lines', num_args=-1)
    ] = field(default_factory=list)
    around: Annotated[
        float,
        cappa.Arg(long='--around', help='seconds before and after the request'),
    ] = DEFAULT_AROUND_S

    def __call__(self) -> None:
        """Print the events; `*` marks those of the request itself."""
        timeline = build_timeline(
            read_events(self._read_lines()),
            self.request,
            timedelta(seconds=self.around),
        )
        if not timeline:
            raise one_line_exit(
                f'{self.request}: not in these logs', ExitCode.REFUSED
            )
        for event in timeline:
            own = event.fields.get('request') == self.request
            mark = '*' if own else ' '
            print_line(f'{mark} {event.render()}')

    def _read_lines(self) -> Iterator[str]:
        for path in self.logs:
            try:
                with path.open(errors='replace') as lines:
                    yield from lines
            except OSError as exc:
                raise failure_exit(
                    f'{path}: {exc.strerror}', ExitCode.USAGE
                ) from exc
