from __future__ import annotations

import msgspec
import pytest
import trio
import trio.testing

from support.network import MemoryNetwork
from toucanyard.core_events import OrderEnded, StateRead
from toucanyard.names import Address, EndpointName, PoolName
from toucanyard.order_messages import (
    Order,
    OrderKind,
    OrderOutcome,
    ReadState,
    SendOrder,
)
from toucanyard_node.http_client import Response
from toucanyard_node.http_exchange import (
    HttpRequest,
    Responder,
)
from toucanyard_node.order_sender import OrderEvent, OrderSender, find_outcome

ADDRESS = Address("10.0.0.1:1")
NAME = EndpointName("e")
ORDER = Order("o1", 7, OrderKind.LOAD, "m", weights_version="w2")


class SenderFixture:
    """An endpoint that executes, refuses or never answers orders, and a sender."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.orders: list[bytes] = []
        self.refusal = ""
        self.hangs = False
        self.events: list[OrderEvent] = []
        self.network = MemoryNetwork(nursery)
        self.network.serve(ADDRESS, self.handle)
        self.actions, actions = trio.open_memory_channel[SendOrder | ReadState](9)
        sender = OrderSender(self.record_event, self.network.connect)
        nursery.start_soon(sender.run, actions)

    async def record_event(self, event: OrderEvent) -> None:
        self.events.append(event)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.method == "POST":
            self.orders.append(request.body)
        if self.hangs:
            await trio.sleep_forever()
        if self.refusal:
            body = msgspec.json.encode({"reason": self.refusal})
            await responder.send(409, (), body)
            return
        state = {"incarnation": "i", "model": "m", "weights_version": "w1"}
        await responder.send(200, (), msgspec.json.encode(state))

    async def order(self, until_ms: float) -> OrderOutcome:
        await self.actions.send(
            SendOrder(PoolName("p"), NAME, ADDRESS, ORDER, until_ms)
        )
        await trio.sleep(20)
        event = self.events.pop()
        assert isinstance(event, OrderEnded)
        return event.outcome


async def test_outcomes_are_told_apart(autojump_clock: trio.testing.MockClock) -> None:
    async with trio.open_nursery() as nursery:
        fixture = SenderFixture(nursery)
        far_ms = trio.current_time() * 1000 + 9e9
        assert await fixture.order(far_ms) is OrderOutcome.DONE
        sent = msgspec.json.decode(fixture.orders[0], type=Order)
        assert sent == ORDER
        fixture.refusal = "stale_fence"
        assert await fixture.order(far_ms) is OrderOutcome.STALE_FENCE
        fixture.refusal = "?"
        assert await fixture.order(far_ms) is OrderOutcome.LOST
        fixture.hangs = True
        assert await fixture.order(far_ms) is OrderOutcome.LOST
        fixture.network.remove(ADDRESS)
        assert await fixture.order(far_ms) is OrderOutcome.NOT_SENT
        nursery.cancel_scope.cancel()


async def test_order_does_not_leave_after_the_lease(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The process was paused between decision and sending, and the lease expired. The
    order must not be sent: another node may hold the lease."""
    async with trio.open_nursery() as nursery:
        fixture = SenderFixture(nursery)
        now_ms = trio.current_time() * 1000
        assert await fixture.order(now_ms - 1) is OrderOutcome.NOT_SENT
        assert fixture.orders == []
        nursery.cancel_scope.cancel()


async def test_states_are_read(autojump_clock: trio.testing.MockClock) -> None:
    async with trio.open_nursery() as nursery:
        fixture = SenderFixture(nursery)
        for _ in range(2):
            await fixture.actions.send(ReadState(NAME, ADDRESS))
        await trio.sleep(2)
        event, _ = fixture.events
        assert isinstance(event, StateRead)
        assert event.state.weights_version == "w1"
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("body", [b"", b"[]", b"\xff", b"[" * 9_999])
def test_strange_refusals_leave_the_outcome_open(body: bytes) -> None:
    assert find_outcome(Response(409, {}, body)) is OrderOutcome.LOST
    assert find_outcome(Response(500, {}, body)) is OrderOutcome.LOST
