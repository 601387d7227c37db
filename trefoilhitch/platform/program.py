"""Entry point of a node on the users' platform."""

import os
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from http import HTTPStatus
from pathlib import Path
from random import Random, SystemRandom
from signal import SIGHUP, SIGINT, SIGTERM
from time import CLOCK_BOOTTIME, clock_gettime, time_ns

from trio import (
    Nursery,
    current_time,
    open_nursery,
    open_signal_receiver,
    run,
    sleep,
    sleep_until,
)

from trefoilhitch.decision_log import (
    JsonLinesHandler,
    LogbookLog,
)
from trefoilhitch.http_message import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    RequestHandler,
)
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory
from trefoilhitch.log_writer import FLUSH_INTERVAL_S, LogWriter
from trefoilhitch.metrics import Metrics
from trefoilhitch.platform.external_services import make_external_services
from trefoilhitch.platform.settings import SettingsFileError, load_settings
from trefoilhitch.platform.wire_server import WireServer
from trefoilhitch.pooler.node import PoolerNode
from trefoilhitch.pooler.node_environment import NodeRuntime
from trefoilhitch.pooler.peer_dependencies import PEER_LIMITS
from trefoilhitch.pooler.settings import PoolerSettings
from trefoilhitch.task_supervisor import TaskSupervisor
from trefoilhitch.tcp import split_address

SETTINGS_PATH_VARIABLE = 'TREFOILHITCH_CONFIG'
READY_PATH = '/-/readyz'
METRICS_PATH = '/metrics'
METRICS_PORT = 9464
_SEED_BITS = 128
_NS_PER_MS = 1_000_000
_CLOSE_IDLE_INTERVAL_S = 0.2
_FAILURE_EXIT_CODE = 1
_USAGE_EXIT_CODE = 2
# The first argument names the role.
_OPTIONS_ARGUMENT = 2
# An address and the function that listens on it.
_Listener = tuple[str, Callable[[str], Awaitable[None]]]


class StatusHandler:
    """Serves the load balancer's readiness check, and the metrics.

    Args:
        node: the node.
        metrics: its metrics.

    """

    def __init__(self, node: PoolerNode, metrics: Metrics) -> None:
        """Initialise with the node and its metrics."""
        self._node = node
        self._metrics = metrics

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Respond to a request.

        Args:
            req: the request.

        Returns:
            The response.

        """
        if req.path == METRICS_PATH:
            text = self._metrics.render().encode()
            return HttpResponse(
                HTTPStatus.OK, text, {'content-type': 'text/plain'}
            )
        if req.path != READY_PATH:
            return HttpResponse(HTTPStatus.NOT_FOUND)
        ready = self._node.ready
        return HttpResponse(
            HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        )


def seconds_since_boot() -> float:
    """Return the seconds since boot, including suspended time."""
    return clock_gettime(CLOCK_BOOTTIME)


def main() -> None:
    """Run a node until SIGTERM or SIGINT.

    Raises:
        SystemExit: the settings file cannot be read, or an address cannot be
            listened on.

    """
    path = Path(os.environ.get(SETTINGS_PATH_VARIABLE, ''))
    try:
        cfg = load_settings(path, _options_path())
    except SettingsFileError as exc:
        sys.stderr.write(f'{exc}\n')
        sys.exit(_USAGE_EXIT_CODE)
    if not run(_run_node, cfg, path):
        sys.exit(_FAILURE_EXIT_CODE)


def _options_path() -> Path | None:
    """Return the second argument of the program, the options file."""
    words = sys.argv[_OPTIONS_ARGUMENT:]
    return Path(words[0]) if words else None


async def _run_node(cfg: PoolerSettings, path: Path) -> bool:
    """Run a node; return whether it could listen on its addresses."""
    writer = LogWriter(sys.stdout.fileno())
    log = LogbookLog(node=cfg.node, sink=JsonLinesHandler(writer))
    metrics = Metrics()
    runtime = NodeRuntime(
        log=log,
        metrics=metrics,
        random=Random(SystemRandom().getrandbits(_SEED_BITS)),
        clock=seconds_since_boot,
        incarnation=time_ns() // _NS_PER_MS,
    )
    node = PoolerNode(cfg, make_external_services(cfg, runtime), runtime)
    server = WireServer(node.sessions)
    log.event('started', data_centre=cfg.data_centre, seeds=list(cfg.seeds))
    try:
        async with open_nursery() as nursery:
            nursery.start_soon(
                TaskSupervisor(log, metrics, runtime.random).run,
                'write_log',
                partial(_write_log, writer, log, metrics),
            )
            listens = await _start_servers(
                cfg, node, server, metrics, log, nursery
            )
            if listens:
                node.start(nursery)
                await _handle_signals(node, server, log, path)
                log.event('stopped', sessions=server.connection_count)
            nursery.cancel_scope.cancel()
    finally:
        writer.drain()
    return listens


async def _write_log(
    writer: LogWriter, log: LogbookLog, metrics: Metrics
) -> None:
    while True:
        await sleep(FLUSH_INTERVAL_S)
        dropped = writer.drain()
        if dropped:
            metrics.add('log_lines_dropped', dropped)
            log.event('log_dropped', lines=dropped)


async def _start_servers(
    cfg: PoolerSettings,
    node: PoolerNode,
    clients: WireServer,
    metrics: Metrics,
    log: LogbookLog,
    nursery: Nursery,
) -> bool:
    """Start all servers; return False if one cannot listen."""
    status_handler = StatusHandler(node, metrics)
    status = _make_http_server(status_handler, log)
    peers = _make_http_server(node.peer_handler, log, PEER_LIMITS)
    listeners: tuple[_Listener, ...] = (
        (cfg.health_address, partial(_listen_http, status, nursery)),
        (cfg.peer_address, partial(_listen_http, peers, nursery)),
        (cfg.client_address, partial(clients.listen, nursery)),
    )
    for address, listen in listeners:
        try:
            await listen(address)
        except (OSError, ValueError) as exc:
            log.event('listen_failed', address=address, detail=str(exc))
            return False
    await _serve_metrics(cfg, status_handler, log, nursery)
    return True


async def _serve_metrics(
    cfg: PoolerSettings,
    status_handler: StatusHandler,
    log: LogbookLog,
    nursery: Nursery,
) -> None:
    host, _ = split_address(cfg.health_address)
    server = _make_http_server(status_handler, log)
    try:
        await server.listen(nursery, host, METRICS_PORT)
    except OSError as exc:
        log.event('metrics_not_served', detail=str(exc))


async def _listen_http(
    server: HttpServer, nursery: Nursery, address: str
) -> None:
    host, port = split_address(address)
    await server.listen(nursery, host, port)


def _make_http_server(
    request_handler: RequestHandler,
    log: LogbookLog,
    limits: HttpLimits | None = None,
) -> HttpServer:
    return HttpServer(
        factory=SharedHandlerFactory(request_handler),
        reporter=log,
        limits=limits,
    )


async def _handle_signals(
    node: PoolerNode, server: WireServer, log: LogbookLog, path: Path
) -> None:
    with open_signal_receiver(SIGTERM, SIGINT, SIGHUP) as signals:
        async for number in signals:
            if number != SIGHUP:
                break
            _check_settings(log, path)
        await _stop(node, server)


def _check_settings(log: LogbookLog, path: Path) -> None:
    try:
        cfg = load_settings(path, _options_path())
    except SettingsFileError as exc:
        log.event('reload_failed', detail=str(exc))
        return
    log.event('reloaded', store=cfg.store_address)


async def _stop(node: PoolerNode, server: WireServer) -> None:
    plan = node.begin_stop()
    await sleep_until(plan.close_idle_at)
    node.decline_other_nodes()
    while _is_busy(node, server) and current_time() < plan.end_at:
        server.close_idle()
        if current_time() >= plan.end_transactions_at:
            node.end_transactions()
        await sleep(_CLOSE_IDLE_INTERVAL_S)
    await node.finish_stop()


def _is_busy(node: PoolerNode, server: WireServer) -> bool:
    return bool(server.connection_count) or node.serves_other_nodes
