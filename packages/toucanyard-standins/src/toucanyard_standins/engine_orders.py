"""Define orders to an engine, their refusals and their effect on its weights."""

from __future__ import annotations

import enum

import msgspec

from toucanyard_standins.engine_state import EngineRole, EngineState, Weights


class OrderKind(enum.StrEnum):
    """The part of an engine's state that an order changes."""

    LOAD = "load"
    ADAPTER = "adapter"
    ROLE = "role"


class Order(msgspec.Struct, frozen=True):
    """One order; fields that don't apply to its kind stay unset."""

    order_id: str
    kind: OrderKind
    fence: int = 0
    model: str | None = None
    adapter: str | None = None
    weights_version: str | None = None
    role: EngineRole | None = None
    expected_weights_version: str | None = None


class OrderRefusalReason(enum.StrEnum):
    """Why an order was refused."""

    STALE_FENCE = "stale_fence"
    UNEXPECTED_STATE = "unexpected_state"
    BUSY = "busy"


class OrderRefusal(msgspec.Struct, frozen=True):
    """The response body for a refused order."""

    reason: OrderRefusalReason


def find_refusal(
    order: Order, state: EngineState, checks_fence: bool
) -> OrderRefusal | None:
    """Return the refusal of an order, or None if it is accepted."""
    if checks_fence and order.fence < state.fence:
        return OrderRefusal(OrderRefusalReason.STALE_FENCE)
    if state.is_loading:
        return OrderRefusal(OrderRefusalReason.BUSY)
    expected = order.expected_weights_version
    if expected and expected != state.weights.weights_version:
        return OrderRefusal(OrderRefusalReason.UNEXPECTED_STATE)
    return None


def compute_weights(order: Order, weights: Weights) -> Weights:
    """Return the weights that are loaded after an order was executed."""
    match order.kind:
        case OrderKind.LOAD:
            return Weights(
                order.model or weights.model,
                order.weights_version or weights.weights_version,
                weights.adapters,
                weights.role,
            )
        case OrderKind.ADAPTER:
            adapters = {*weights.adapters, order.adapter or ""} - {""}
            return Weights(
                weights.model,
                weights.weights_version,
                tuple(sorted(adapters)),
                weights.role,
            )
        case OrderKind.ROLE:
            return Weights(
                weights.model,
                weights.weights_version,
                weights.adapters,
                order.role or weights.role,
            )
