"""Handle relayed calls: find the route, check the key and run the exchange."""

from __future__ import annotations

import random
from collections.abc import Callable
from itertools import count
from typing import Final

import msgspec
import structlog
import trio

from toucanyard.errorcodes import ANSWERS, Ending, ErrorKind, RouterError
from toucanyard.forwarded_calls import ForwardedCall
from toucanyard.names import CustomerName, NodeId, RequestId
from toucanyard.relay_requests import RelayRequest
from toucanyard.request_fingerprint import compute_fingerprint
from toucanyard.requests import Refuse
from toucanyard.routes import (
    Route,
    RoutedCustomer,
    RouteIndex,
    choose_service,
)
from toucanyard_node.forward_exchange import Forwarder
from toucanyard_node.held_bytes import ReceivedBytes
from toucanyard_node.http_exchange import CallResponder, HttpRequest, Responder
from toucanyard_node.relay_exchange import RelayExchange
from toucanyard_node.relay_log import log_resumed
from toucanyard_node.relay_metrics import RelayMetrics
from toucanyard_node.relay_ports import CallCodec, CallFacts, CallInvalidError
from toucanyard_node.relay_task import RelayClient
from toucanyard_node.replica_connections import ReplicaConnections

NO_ROUTES_RETRY_MS: Final = 300
"""Retry delay while a node starts; it has read its routes by then."""
NO_MEMORY_RETRY_MS: Final = 300
"""Retry delay while the answers of other calls take up the memory for them."""
MAX_RANK: Final = 9
_LOG: Final = structlog.get_logger()


class RelayServer:
    """HTTP handler for relayed calls."""

    __slots__ = (
        "_client",
        "_codec",
        "_connections",
        "_find_index",
        "_forwarder",
        "_has_ended",
        "_is_stopping",
        "_metrics",
        "_numbers",
        "_received",
        "_rng",
        "_running",
    )

    def __init__(
        self,
        client: RelayClient,
        codec: CallCodec,
        forwarder: Forwarder,
        find_index: Callable[[], RouteIndex],
        is_stopping: Callable[[], bool],
        metrics: RelayMetrics,
        rng: random.Random,
        connections: ReplicaConnections,
        received: ReceivedBytes,
    ) -> None:
        self._received = received
        self._connections = connections
        self._metrics = metrics
        self._client = client
        self._codec = codec
        self._forwarder = forwarder
        self._find_index = find_index
        self._is_stopping = is_stopping
        self._numbers = count(1)
        self._rng = rng
        self._running: set[RelayExchange] = set()
        self._has_ended = False

    def end_calls(self) -> None:
        """End all calls; those without an answer and later ones are refused."""
        self._has_ended = True
        for exchange in tuple(self._running):
            exchange.end()

    def count_running(self) -> int:
        """Return the number of calls that have not ended."""
        return len(self._running)

    async def handle(self, http: HttpRequest, responder: Responder) -> None:
        """Handle one call."""
        if self._is_stopping():
            responder.close_after()
        arrived_ms = trio.current_time() * 1000
        try:
            exchange = self._prepare(http, responder, arrived_ms)
        except RouterError as error:
            await self._reject(http, responder, error)
            return
        responder.call = exchange.request_id
        log_resumed(exchange.request)
        await self._run(exchange)

    async def handle_forwarded(
        self,
        http: HttpRequest,
        responder: CallResponder,
        forwarded: ForwardedCall,
        peer: NodeId,
    ) -> None:
        """Handle a call that another node has forwarded."""
        arrived_ms = trio.current_time() * 1000
        try:
            exchange = self._prepare(http, responder, arrived_ms, forwarded)
        except RouterError as error:
            await self._reject(http, responder, error)
            return
        _LOG.info(
            "forward_received",
            call=exchange.request_id,
            origin=forwarded.origin,
            peer=peer.node,
            remaining_ms=forwarded.remaining_ms,
            max_attempts=forwarded.max_attempts,
        )
        await self._run(exchange)

    async def _run(self, exchange: RelayExchange) -> None:
        self._running.add(exchange)
        try:
            await exchange.run()
        finally:
            self._running.discard(exchange)

    def _prepare(
        self,
        http: HttpRequest,
        responder: CallResponder,
        arrived_ms: float,
        forwarded: ForwardedCall | None = None,
    ) -> RelayExchange:
        """Return the exchange for a call to be relayed, or raise RouterError."""
        if self._has_ended:
            # The process ends too soon for an answer.
            raise RouterError(ErrorKind.DRAINING, "this node is stopping", 0)
        index = self._find_index()
        if not index.table.version:
            # Callers treat a refusal for an unknown route or key as final, but this
            # node has not read any routes and keys yet.
            text = "no routes are known yet"
            raise RouterError(ErrorKind.NO_CONFIGURATION, text, NO_ROUTES_RETRY_MS)
        if not self._received.answers.has_room():
            text = "there is no memory for another answer"
            raise RouterError(ErrorKind.TOO_MANY_CALLS, text, NO_MEMORY_RETRY_MS)
        path = http.target.partition("?")[0]
        route = index.find_route(http.headers.get("host", ""), path)
        if route is None:
            raise RouterError(ErrorKind.NOT_FOUND, "no route covers this call")
        try:
            facts = self._codec.read_call(http)
        except CallInvalidError as error:
            raise RouterError(ErrorKind.BAD_REQUEST, str(error)) from error
        customer = _find_customer(index, route, facts)
        service = choose_service(route, self._rng)
        if service is None:
            raise RouterError(ErrorKind.NO_ENDPOINT, "the route has no service", 500)
        name = CustomerName("") if customer is None else customer.name
        host = http.headers.get("host", "")
        request = RelayRequest(
            request_id=RequestId(f"{facts.caller_id}-{next(self._numbers)}"),
            caller_id=facts.caller_id,
            customer=name,
            route=route.name,
            service=service,
            repeatability=route.repeatability,
            is_stream=route.is_stream,
            is_resumable=route.is_resumable,
            max_attempts=route.max_attempts,
            rank=_find_rank(route, customer),
            target_ms=route.target_ms,
            arrived_ms=arrived_ms,
            deadline_ms=arrived_ms + _compute_timeout_ms(route, facts),
            table_version=index.table.version,
            prompt=facts.prompt,
            tokens=facts.tokens,
            services=route.list_services(),
            last_event_id=facts.last_event_id,
            resumed_id=facts.resumed_id,
            fingerprint=compute_fingerprint(
                http.method, host, http.target, name, http.body
            ),
        )
        if forwarded is not None:
            request = _apply_forward(request, forwarded)
        return RelayExchange(
            self._client,
            self._codec,
            self._forwarder,
            http,
            responder,
            request,
            route.max_gap_ms,
            self._metrics,
            self._connections,
            self._received,
        )

    async def _reject(
        self, http: HttpRequest, responder: CallResponder, error: RouterError
    ) -> None:
        self._metrics.record_refusal(error.kind)
        _LOG.info(
            "turned_away",
            kind=error.kind.value,
            host=http.headers.get("host", "")[:64],
            path=http.path[:64],
            version=self._find_index().table.version,
            reason=error.text,
        )
        ending = ANSWERS[error.kind].ending or Ending.NOT_RUN
        refusal = Refuse(
            RequestId(""), error.kind, ending, error.text, error.retry_after_ms or 0
        )
        await responder.refuse(refusal, is_exact=True)


def _apply_forward(request: RelayRequest, forwarded: ForwardedCall) -> RelayRequest:
    """Return a request with what is left of the caller's time and attempts."""
    return msgspec.structs.replace(
        request,
        deadline_ms=min(
            request.deadline_ms, request.arrived_ms + forwarded.remaining_ms
        ),
        max_attempts=min(request.max_attempts, forwarded.max_attempts),
        is_forwarded=True,
        is_counted=forwarded.is_counted,
        has_begun=forwarded.has_begun,
        begun_weights_version=forwarded.weights_version,
        last_event_id=forwarded.last_event_id,
        origin=forwarded.stream_origin,
    )


def _find_customer(
    index: RouteIndex, route: Route, facts: CallFacts
) -> RoutedCustomer | None:
    customer = index.find_customer(facts.key) if facts.key else None
    if customer is None and index.has_customers() and not route.is_public:
        raise RouterError(ErrorKind.UNAUTHENTICATED, "the key is not known")
    return customer


def _find_rank(route: Route, customer: RoutedCustomer | None) -> int:
    rank = route.rank
    if customer is not None and customer.rank is not None:
        rank = customer.rank
    return min(max(rank, 0), MAX_RANK)


def _compute_timeout_ms(route: Route, facts: CallFacts) -> int:
    if facts.deadline_ms is None:
        return route.timeout_ms
    return min(facts.deadline_ms, route.timeout_ms)
