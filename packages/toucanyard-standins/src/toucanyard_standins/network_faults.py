"""Faults of the network that every stand-in can be told to have."""

from __future__ import annotations

import msgspec

from toucanyard_standins.faulty_listener import FaultyListener


class SilenceConnections(msgspec.Struct, frozen=True, tag_field="fault", tag="silence"):
    """Make the connections that are open now silent for good."""


class CutConnections(msgspec.Struct, frozen=True, tag_field="fault", tag="cut"):
    """Close the connections that are open now."""


class GoDown(msgspec.Struct, frozen=True, tag_field="fault", tag="down"):
    """Close all connections, and new ones at once, those of the control path too."""

    for_ms: int


NetworkFault = SilenceConnections | CutConnections | GoDown


async def apply_network_fault(fault: NetworkFault, listener: FaultyListener) -> None:
    """Carry out one fault of the network."""
    match fault:
        case SilenceConnections():
            listener.silence()
        case CutConnections():
            await listener.cut()
        case GoDown(for_ms):
            listener.go_down(for_ms)
            await listener.cut()
