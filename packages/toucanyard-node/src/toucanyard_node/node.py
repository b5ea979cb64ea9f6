"""Assemble one node: open its sockets, start its tasks, drain and stop it."""

from __future__ import annotations

import random
import secrets
import signal
from typing import Final

import msgspec
import structlog
import trio

from toucanyard.adaptive_log_timeout import AdaptiveLogTimeout
from toucanyard.claim_events import (
    HandoverBegun,
)
from toucanyard.configuration import Configuration
from toucanyard.core_events import AppendToLog, DrainBegun, ReadDump, SendMessage
from toucanyard.log_start import compute_span_ms
from toucanyard.names import Address, Incarnation
from toucanyard.node_core import CoreEvent
from toucanyard.options import Options
from toucanyard.order_messages import ReadState, SendOrder
from toucanyard.vm_view import Vm
from toucanyard_node.client_server import ClientServer, find_server_limits
from toucanyard_node.core_links import CORE_LINKS
from toucanyard_node.core_task import CoreOutputs, CoreTask
from toucanyard_node.drain import DrainState, drain, wait_for_key_handover
from toucanyard_node.endpoint_watch import EndpointWatch, WatchedEndpoint
from toucanyard_node.http_client import split_address
from toucanyard_node.http_server import (
    HttpServer,
    find_port,
    open_listener,
)
from toucanyard_node.locate_response import NodeIdentity
from toucanyard_node.locator import Locator
from toucanyard_node.log_reader import StartWindow, follow_log
from toucanyard_node.log_writer import write_log
from toucanyard_node.metrics import send_metrics
from toucanyard_node.operator_server import OperatorServer
from toucanyard_node.order_sender import OrderSender
from toucanyard_node.peer_links import PeerLinks
from toucanyard_node.vm_list import poll_vm_list

_OUTBOX_CAPACITY: Final = 10_000
_INCARNATION_BYTES: Final = 5
_LOG: Final = structlog.get_logger()


class Listeners(msgspec.Struct, frozen=True):
    """Listening sockets of one node."""

    callers: trio.SocketListener
    operators: trio.SocketListener
    peers: trio.SocketListener


async def run_node(options: Options) -> None:
    """Run one node until it is stopped."""
    listeners = await _open_listeners(options)
    node = _Node(options, listeners)
    async with trio.open_nursery() as nursery:
        await nursery.start(node.run)
        nursery.start_soon(_watch_signals, node.drain_state, nursery.cancel_scope)
        _print_addresses(options, listeners)
        await node.wait_drained()
        nursery.cancel_scope.cancel()
    _LOG.info("stopped")


class _Node:
    """All tasks of one node and the channels between them."""

    def __init__(self, options: Options, listeners: Listeners) -> None:
        self._options = options
        self._listeners = listeners
        self._rng = random.Random()
        self.drain_state = DrainState()
        log_send, self._appends = trio.open_memory_channel[AppendToLog](2**31)
        peer_send, self._messages = trio.open_memory_channel[SendMessage](
            _OUTBOX_CAPACITY
        )
        dump_send, self._dumps = trio.open_memory_channel[ReadDump](_OUTBOX_CAPACITY)
        order_send, self._orders = trio.open_memory_channel[SendOrder | ReadState](
            _OUTBOX_CAPACITY
        )
        incarnation = Incarnation(secrets.token_hex(_INCARNATION_BYTES))
        outputs = CoreOutputs(log_send, peer_send, dump_send, order_send)
        self._task = CoreTask(options, incarnation, outputs)
        self._core = self._task.core
        identity = NodeIdentity(options.name, incarnation)
        locator = Locator(
            self._core,
            options,
            find_address(options.listen.callers, listeners.callers),
            self.drain_state,
            self._rng,
        )
        self._client_server = ClientServer(
            self._task.client,
            options,
            identity,
            locator.locate,
            self.drain_state,
        )
        self._server = HttpServer(
            self._client_server.handle, find_server_limits(options)
        )
        operators = OperatorServer(self._task, options, self.drain_state)
        self._operators = HttpServer(operators.handle, find_server_limits(options))
        self._links = PeerLinks(
            self._core.identity,
            options.peer_secrets,
            options.membership,
            self._core.membership.find_peers,
            self._emit,
            self._rng,
            CORE_LINKS,
        )
        self._watched_inputs: tuple[Configuration | None, tuple[Vm, ...]] = (None, ())
        self._watched: tuple[list[WatchedEndpoint], int] = ([], 0)
        self._watch = EndpointWatch(self._find_watched, options.membership, self._emit)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run all tasks until cancelled."""
        options = self._options
        platform = options.platform
        log_timeout = AdaptiveLogTimeout(float(options.claims.append_timeout_ms))
        async with trio.open_nursery() as nursery:
            await nursery.start(self._client_server.run)
            nursery.start_soon(self._task.run)
            nursery.start_soon(
                follow_log,
                platform.log,
                options.configuration.log_poll_wait_ms,
                self._emit_now,
                StartWindow(
                    compute_span_ms(options.claims, options.configuration),
                    self._core.log.needs_older,
                ),
                log_timeout,
            )
            nursery.start_soon(
                write_log,
                platform.log,
                options.claims,
                self._appends,
                self._emit_now,
                log_timeout,
            )
            nursery.start_soon(
                poll_vm_list,
                platform.vm_list,
                options.membership,
                self._emit,
                self._rng,
            )
            nursery.start_soon(self._links.run, self._listeners.peers, self._messages)
            nursery.start_soon(self._watch.run)
            nursery.start_soon(self._read_dumps)
            nursery.start_soon(OrderSender(self._emit).run, self._orders)
            if options.statsd is not None:
                nursery.start_soon(send_metrics, options.statsd, self._core)
            nursery.start_soon(self._server.serve, self._listeners.callers)
            nursery.start_soon(self._operators.serve, self._listeners.operators)
            task_status.started()

    async def wait_drained(self) -> None:
        """Wait until a drain is requested, and perform it."""
        await self.drain_state.wait_begun()
        _LOG.info("drain_begun", pending=self._core.flow.count_pending())
        address = find_address(self._options.listen.callers, self._listeners.callers)
        self._emit_now(DrainBegun(address))
        is_clean = await drain(
            self.drain_state, self._server, self._options, self._client_server.wait_idle
        )
        _LOG.info("drain_ended", is_clean=is_clean)
        self._emit_now(HandoverBegun())
        claims = self._core.claims
        limit_ms = self._options.claims.hand_over_ms
        await wait_for_key_handover(claims.is_handover_done, limit_ms)
        left = claims.count_not_transferred()
        is_whole = left == 0
        _LOG.info("hand_over_ended", is_whole=is_whole, left=left)

    async def _emit(self, event: CoreEvent) -> None:
        self._task.inbox.send_nowait(event)

    def _emit_now(self, event: CoreEvent) -> None:
        self._task.inbox.send_nowait(event)

    def _find_watched(self) -> tuple[list[WatchedEndpoint], int]:
        """Return what to watch; recomputed only when its inputs changed.

        Called five times a second; iterating over 4,400 endpoints each time used more
        CPU time than the polls.
        """
        configuration, vms = self._core.configuration, self._core.membership.vms
        is_same = (
            configuration is self._watched_inputs[0] and vms is self._watched_inputs[1]
        )
        if not is_same:
            self._watched_inputs = configuration, vms
            self._watched = self._compute_watched(configuration)
        return self._watched

    def _compute_watched(
        self, configuration: Configuration
    ) -> tuple[list[WatchedEndpoint], int]:
        engines = {
            endpoint.name for pool in configuration.pools for endpoint in pool.endpoints
        }
        followed = {endpoint.name for endpoint in self._core.find_followed()}
        watched = [
            WatchedEndpoint(
                endpoint, endpoint.name in engines, endpoint.name in followed
            )
            for endpoint in self._core.find_watched()
        ]
        return watched, len(self._core.list_endpoints())

    async def _read_dumps(self) -> None:
        async with trio.open_nursery() as nursery:
            async for wanted in self._dumps:
                nursery.start_soon(self._watch.read_dump, wanted.endpoint)


async def _open_listeners(options: Options) -> Listeners:
    listen = options.listen
    return Listeners(
        await open_listener(*split_address(listen.callers)),
        await open_listener(*split_address(listen.operators)),
        await open_listener(*split_address(listen.peers)),
    )


async def _watch_signals(state: DrainState, scope: trio.CancelScope) -> None:
    """Start a drain on the first SIGTERM or SIGINT; stop on the second."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if state.is_draining():
                _LOG.warning("stopped_at_once")
                scope.cancel()
                return
            state.begin()


def _print_addresses(options: Options, listeners: Listeners) -> None:
    """Print the listening addresses, for nodes started with port 0."""
    listen = options.listen
    callers = find_address(listen.callers, listeners.callers)
    operators = find_address(listen.operators, listeners.operators)
    peers = find_address(listen.peers, listeners.peers)
    print(
        f"event=listening role=node callers={callers}"
        f" operators={operators} peers={peers}",
        flush=True,
    )


def find_address(configured: Address, listener: trio.SocketListener) -> Address:
    """Return a listener's address with the port assigned by the kernel."""
    host = configured.rpartition(":")[0]
    return Address(f"{host}:{find_port(listener)}")
