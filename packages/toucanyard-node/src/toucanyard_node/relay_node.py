"""Assemble a relaying node: open its sockets, start its tasks, shut it down."""

from __future__ import annotations

import random
import signal
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec
import structlog
import trio

from toucanyard.cbor_messages import MAX_MESSAGE_BYTES
from toucanyard.link_messages import decode_link_message, encode_link_message
from toucanyard.names import Address
from toucanyard.node_directory import MAX_MESH
from toucanyard.options import MembershipTimings
from toucanyard.relay_core import RelayCore
from toucanyard.relay_events import (
    LinkMessageRead,
    NodeAnnounced,
    PeersLinked,
    RelayEvent,
    SendToPeer as SendToPeer,
    StopBegun,
)
from toucanyard.status_schedule import STATUS_MS
from toucanyard_node.bounded_output import BoundedOutput
from toucanyard_node.forward_exchange import Forwarder
from toucanyard_node.forward_server import BUSY_RETRY_MS, ForwardServer
from toucanyard_node.held_bytes import ReceivedBytes
from toucanyard_node.http_client import split_address
from toucanyard_node.http_exchange import HttpRequest, Responder
from toucanyard_node.http_server import HttpServer, ServerLimits, open_listener
from toucanyard_node.link_codec import LinkCodec
from toucanyard_node.peer_links import PeerLinks
from toucanyard_node.prompt_block_follower import PromptBlockFollower
from toucanyard_node.relay_metrics import RelayMetrics
from toucanyard_node.relay_ports import (
    CallCodec,
    PromptBlockReader,
    ReplicaControl,
    Store,
    StreamRecordStore,
)
from toucanyard_node.relay_server import RelayServer
from toucanyard_node.relay_store import (
    BackgroundJobRunner,
    StoreReader,
    retry_until_success,
)
from toucanyard_node.relay_task import BackgroundJob, RelayTask
from toucanyard_node.replica_connections import ReplicaConnections
from toucanyard_node.settings_watch import SettingsWatch
from toucanyard_node.stream_record_jobs import StreamRecordJobs

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]

OUTBOX_SIZE: Final = 10_000
RESERVED_DESCRIPTORS: Final = 400
"""File descriptors reserved for files, peers and the store."""
DESCRIPTORS_PER_CALL: Final = 2
"""One for the caller and one for the replica."""
DESCRIPTORS_PER_KEPT: Final = 16
"""Descriptors of the process for each kept connection to a replica; calls need most."""
STOP_MARGIN_MS: Final = 600.0
"""How long before the process would be killed it ends by itself."""
REFUSAL_TIME_MS: Final = 200.0
"""Time to send the refusals of calls that a stop ends; part of `STOP_MARGIN_MS`."""
CLOSE_MARGIN_MS: Final = 300.0
"""Time after the end of callers' address caching until idle connections close."""
HUB_CLOSE_MARGIN_MS: Final = 800.0
"""The same in a fleet where hubs forward that this node stops."""
AUXILIARY_LIMITS: Final = ServerLimits(max_body_bytes=16_384)
"""Limits of the servers whose requests have no bodies."""
LIMITS_INTERVAL_S: Final = 1.0
"""Interval between updates of the server limits from the configuration."""
_LOG: Final = structlog.get_logger()

RELAY_LINKS: Final[LinkCodec[object, RelayEvent]] = LinkCodec(
    encode_link_message,  # type: ignore[arg-type]
    decode_link_message,
    PeersLinked,
    LinkMessageRead,  # type: ignore[arg-type]
    MAX_MESSAGE_BYTES,
)


class Ports(msgspec.Struct, frozen=True):
    """Implementations of the node's external interfaces."""

    calls: CallCodec
    store: Store
    replicas: ReplicaControl
    prompt_blocks: PromptBlockReader
    stream_records: StreamRecordStore


class AuxiliaryHandlers(msgspec.Struct, frozen=True):
    """Handlers besides the relay server, each on a separate address."""

    readiness: Handler
    locator: Handler
    metrics: Handler


class RelayNode:
    """The tasks of one node and the channels between them."""

    def __init__(
        self,
        core: RelayCore,
        ports: Ports,
        output: BoundedOutput,
        rng: random.Random,
        received: ReceivedBytes,
    ) -> None:
        self._options = core.options
        self.core = core
        self.received = received
        self.settings_watch: SettingsWatch | None = None
        self._ports = ports
        self._output = output
        self._stopping = trio.Event()
        send, self._messages = trio.open_memory_channel[SendToPeer](OUTBOX_SIZE)
        send_job, self._jobs = trio.open_memory_channel[BackgroundJob](OUTBOX_SIZE)
        self.metrics = RelayMetrics()
        self._task = RelayTask(core, send, send_job, self.metrics)
        client = self._task.client
        secrets = (self._options.peer_secret,)
        self.connections = ReplicaConnections(
            self._options.connections.max_idle_ms,
            self._options.max_descriptors // DESCRIPTORS_PER_KEPT,
        )
        self._relay_server = RelayServer(
            client,
            ports.calls,
            Forwarder(core.identity, secrets),
            lambda: core.index,
            self._stopping.is_set,
            self.metrics,
            rng,
            self.connections,
            received,
        )
        self.forward_server = ForwardServer(
            self._relay_server.handle_forwarded,
            self._find_max_forwarded,
            lambda: self._find_limits().max_body_bytes,
            received.peers,
            self.metrics.closings,
        )
        self._http_server = HttpServer(
            self._relay_server.handle,
            self._find_limits(),
            self.metrics.closings,
            received.requests,
        )
        self._reader = StoreReader(core, client, ports.store, rng)
        self._job_runner = BackgroundJobRunner(
            client,
            ports.store,
            ports.replicas,
            StreamRecordJobs(
                ports.stream_records, self._reader.read_now, client.send_event
            ),
        )
        self._block_follower = PromptBlockFollower(core, client, ports.prompt_blocks)
        timings = MembershipTimings(
            max_peers=MAX_MESH, digest_interval_ms=int(STATUS_MS)
        )
        self._links: PeerLinks[object, RelayEvent] = PeerLinks(
            core.identity,
            secrets,
            timings,
            lambda: core.node_directory.find_peers(trio.current_time() * 1000),
            self._emit,
            rng,
            RELAY_LINKS,
            self.forward_server.serve,
            received.peers,
        )

    async def run(self, handlers: AuxiliaryHandlers) -> None:
        """Run until the graceful shutdown is complete."""
        listen = self._options.listen
        # Peers send a starting node the routes within milliseconds, and calls arrive
        # immediately after. They are refused if this socket is not open by then.
        callers = await _listen(listen.callers)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._output.run)
            nursery.start_soon(self._watch_signals, nursery.cancel_scope)
            if self.settings_watch is not None:
                nursery.start_soon(self.settings_watch.run)
            nursery.start_soon(self._task.run)
            nursery.start_soon(self._reader.run)
            nursery.start_soon(self._block_follower.run)
            nursery.start_soon(self._job_runner.run, self._jobs)
            peers = await _listen(listen.peers)
            nursery.start_soon(self._links.run, peers, self._messages)
            nursery.start_soon(self._announce)
            nursery.start_soon(self._refresh_limits)
            nursery.start_soon(self.connections.run)
            for address, handler in (
                (listen.readiness, handlers.readiness),
                (listen.locator, handlers.locator),
                (listen.metrics, handlers.metrics),
            ):
                server = HttpServer(handler, AUXILIARY_LIMITS)
                nursery.start_soon(server.serve, await _listen(address))
            nursery.start_soon(self._http_server.serve, callers)
            _LOG.info("started", callers=listen.callers, peers=listen.peers)
            await self._stop()
            nursery.cancel_scope.cancel()
        _LOG.info("stopped")
        self._output.flush()

    def is_ready(self) -> bool:
        """Return whether this node may receive calls."""
        return self.core.is_ready() and not self._stopping.is_set()

    async def _emit(self, event: RelayEvent) -> None:
        self._task.client.send_event(event)

    def _find_limits(self) -> ServerLimits:
        bounds = self.core.index.table.bounds
        descriptors = self._options.max_descriptors - RESERVED_DESCRIPTORS
        return ServerLimits(
            max_connections=max(descriptors // DESCRIPTORS_PER_CALL, 1),
            max_body_bytes=bounds.max_body_bytes,
            max_header_bytes=bounds.max_header_bytes,
            header_timeout_ms=bounds.header_timeout_ms,
            idle_timeout_ms=bounds.idle_timeout_ms,
            is_pipelined=False,
            busy_retry_ms=BUSY_RETRY_MS,
            has_exact_retry=True,
        )

    def _find_max_forwarded(self) -> int:
        """Return how many forwarded calls may run; callers of this node go first."""
        return max(self._find_limits().max_connections // 2, 1)

    async def _refresh_limits(self) -> None:
        while True:
            self._http_server.apply_limits(self._find_limits())
            await trio.sleep(LIMITS_INTERVAL_S)

    async def _announce(self) -> None:
        """Write the addresses of this node to the store, so that peers find it."""
        record = self.core.own_record
        position = await retry_until_success(
            lambda: self._ports.store.append_node(record), "announce"
        )
        self._task.client.send_event(NodeAnnounced(position.era))

    async def _watch_signals(self, scope: trio.CancelScope) -> None:
        """Start the shutdown on SIGTERM or SIGINT; end at once on a further SIGINT.

        A repeated SIGTERM asks for what is under way: what should end at once is killed
        by whoever sends it.
        """
        wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with trio.open_signal_receiver(*wanted) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    if self.settings_watch is not None:
                        self.settings_watch.reload()
                elif self._stopping.is_set() and number == signal.SIGTERM:
                    _LOG.info("stop_repeated")
                elif self._stopping.is_set():
                    _LOG.warning("stopped_at_once")
                    await self._end_calls()
                    scope.cancel()
                    return
                else:
                    self._stopping.set()

    async def _stop(self) -> None:
        """Wait for the shutdown signal, then stop without interrupting calls.

        Callers continue to use cached addresses for some time. The node serves until
        these caches have expired, and closes idle connections only then.
        """
        await self._stopping.wait()
        begun_s = trio.current_time()
        stop = self._options.stop
        pending = self.core.flow.count_pending()
        _LOG.info("stop_begun", pending=pending, grace_ms=stop.grace_ms)
        keep_ms = stop.locate_ttl_ms * stop.keep_factor
        left_ms = max(stop.grace_ms - STOP_MARGIN_MS, 0.0)
        self._task.client.send_event(StopBegun(keep_ms, left_ms))
        is_full_mesh = self.core.node_directory.is_full_mesh()
        margin_ms = CLOSE_MARGIN_MS if is_full_mesh else HUB_CLOSE_MARGIN_MS
        deadline_s = begun_s + left_ms / 1000
        await trio.sleep(min(keep_ms + margin_ms, left_ms) / 1000)
        self._http_server.stop()
        self.forward_server.stop()
        with trio.CancelScope(deadline=deadline_s):
            await self._http_server.wait_stopped()
            await self.forward_server.wait_idle()
            _LOG.info("stop_ended", is_clean=True)
            return
        left = self.core.flow.count_pending()
        _LOG.warning("stop_ended", is_clean=False, left=left)
        await self._end_calls()

    async def _end_calls(self) -> None:
        """Refuse what still runs; closed connections would tell callers nothing."""
        self._http_server.stop()
        self.forward_server.stop()
        self._relay_server.end_calls()
        with trio.move_on_after(REFUSAL_TIME_MS / 1000):
            await self._http_server.wait_stopped()
            await self.forward_server.wait_idle()


async def _listen(address: Address) -> trio.SocketListener:
    return await open_listener(*split_address(address))
