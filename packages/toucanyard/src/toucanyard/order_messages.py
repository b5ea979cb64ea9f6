"""Messages about orders: orders to endpoints, endpoint states and outcomes."""

from __future__ import annotations

import enum

import msgspec

from toucanyard.configuration import Role
from toucanyard.names import Address, EndpointName, Incarnation, PoolName


class OrderKind(enum.StrEnum):
    """What an order changes."""

    LOAD = "load"
    ADAPTER = "adapter"
    ROLE = "role"


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    """One order, as sent to an endpoint."""

    order_id: str
    fence: int
    kind: OrderKind
    model: str = ""
    adapter: str = ""
    weights_version: str = ""
    role: str = ""
    expected_weights_version: str = ""


class EndpointState(msgspec.Struct, frozen=True):
    """What an endpoint reports to have loaded."""

    incarnation: Incarnation
    model: str
    weights_version: str
    adapters: tuple[str, ...] = ()
    role: str = Role.BOTH
    is_loading: bool = False
    checks_fence: bool = False
    fence: int = 0


class OrderOutcome(enum.StrEnum):
    """The outcome of an order, as seen by its sender."""

    DONE = "done"
    NOT_SENT = "not_sent"
    LOST = "lost"
    """Sent without an answer: it may have taken effect, or may do so later."""
    STALE_FENCE = "stale_fence"
    UNEXPECTED_STATE = "unexpected_state"
    BUSY = "busy"


class SendOrder(msgspec.Struct, frozen=True):
    """Send an order to an endpoint, unless `until_ms` has passed."""

    pool: PoolName
    endpoint: EndpointName
    address: Address
    order: Order
    until_ms: float


class ReadState(msgspec.Struct, frozen=True):
    """Request an endpoint's state."""

    endpoint: EndpointName
    address: Address
