"""Execute the actions of a pool lease holder: read endpoint states, send orders.

Each exchange uses its own connection, so that responses can't be mixed up. Results are
reported to the core, which interprets them.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import msgspec
import structlog
import trio

from toucanyard.core_events import OrderEnded, StateRead
from toucanyard.order_messages import EndpointState, OrderOutcome, ReadState, SendOrder
from toucanyard_node.bounded_fetch import exchange_bounded, fetch_bounded
from toucanyard_node.http_client import (
    Connect,
    ConnectionFailedError,
    Response,
    connect,
)

_LOG: Final = structlog.get_logger()
_MAX_BYTES: Final = 65_536
_STATE_TIMEOUT_MS: Final = 1_000
_CONNECT_TIMEOUT_MS: Final = 1_000
_ORDER_TIMEOUT_MS: Final = 10_000
_MAX_CONCURRENT: Final = 32
_JSON: Final = (("Content-Type", "application/json"),)


class _RefusalBody(msgspec.Struct, frozen=True):
    reason: OrderOutcome


OrderEvent = StateRead | OrderEnded
Emit = Callable[[OrderEvent], Awaitable[None]]


class OrderSender:
    """Execute reads and orders concurrently, up to a limit.

    Invariant: each received SendOrder produces one OrderEnded.
    """

    def __init__(self, emit: Emit, connect_to: Connect = connect) -> None:
        self._emit = emit
        self._connect = connect_to
        self._limit = trio.CapacityLimiter(_MAX_CONCURRENT)

    async def run(
        self, actions: trio.MemoryReceiveChannel[SendOrder | ReadState]
    ) -> None:
        """Execute actions from a channel until it is closed."""
        async with trio.open_nursery() as nursery:
            async for action in actions:
                # Waiting here blocks the channel, not the core: the core has at most
                # one order per endpoint in flight, and reads are dropped when full.
                borrower = object()
                await self._limit.acquire_on_behalf_of(borrower)
                nursery.start_soon(self._execute, action, borrower)

    async def _execute(self, action: SendOrder | ReadState, borrower: object) -> None:
        try:
            match action:
                case ReadState():
                    await self._read_state(action)
                case SendOrder():
                    outcome = await self._send_order(action)
                    await self._emit(OrderEnded(action, outcome))
        finally:
            self._limit.release_on_behalf_of(borrower)

    async def _read_state(self, action: ReadState) -> None:
        asked_ms = trio.current_time() * 1000
        try:
            response = await fetch_bounded(
                action.address,
                "/v1/state",
                _STATE_TIMEOUT_MS,
                _MAX_BYTES,
                self._connect,
            )
            state = msgspec.json.decode(response.body, type=EndpointState)
        except (ConnectionFailedError, msgspec.DecodeError, RecursionError) as error:
            _LOG.debug("state_unread", endpoint=action.endpoint, error=str(error)[:99])
            return
        if response.status == 200:
            await self._emit(StateRead(action.endpoint, state, asked_ms))

    async def _send_order(self, sent: SendOrder) -> OrderOutcome:
        try:
            connection = await self._connect(sent.address, _CONNECT_TIMEOUT_MS)
        except ConnectionFailedError:
            return OrderOutcome.NOT_SENT
        try:
            # The lease may have expired while this task waited or the process was
            # paused. For orders sent after this check, the endpoint's fence decides.
            if trio.current_time() * 1000 >= sent.until_ms:
                return OrderOutcome.NOT_SENT
            with trio.fail_after(_ORDER_TIMEOUT_MS / 1000):
                response = await exchange_bounded(
                    connection,
                    "POST",
                    "/v1/orders",
                    _MAX_BYTES,
                    _JSON,
                    msgspec.json.encode(sent.order),
                )
        except (ConnectionFailedError, trio.TooSlowError):
            return OrderOutcome.LOST
        finally:
            with trio.CancelScope(shield=True):
                await connection.close()
        return find_outcome(response)


def find_outcome(response: Response) -> OrderOutcome:
    """Return the outcome in an endpoint's response to an order."""
    if response.status == 200:
        return OrderOutcome.DONE
    if response.status != 409:
        return OrderOutcome.LOST
    try:
        return msgspec.json.decode(response.body, type=_RefusalBody).reason
    except (msgspec.DecodeError, RecursionError):
        return OrderOutcome.LOST
