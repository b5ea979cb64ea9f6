"""Define the network faults that can be injected into every stand-in."""

from __future__ import annotations

import msgspec

from toucanyard_standins.faulty_listener import FaultyListener


class SilenceConnections(msgspec.Struct, frozen=True, tag_field="fault", tag="silence"):
    """Permanently silence all currently open connections."""


class CutConnections(msgspec.Struct, frozen=True, tag_field="fault", tag="cut"):
    """Close all currently open connections."""


class GoDown(msgspec.Struct, frozen=True, tag_field="fault", tag="down"):
    """Close all connections and new ones on accept, control requests included."""

    for_ms: int


NetworkFault = SilenceConnections | CutConnections | GoDown


async def apply_network_fault(fault: NetworkFault, listener: FaultyListener) -> None:
    """Apply one network fault to a listener."""
    match fault:
        case SilenceConnections():
            listener.silence()
        case CutConnections():
            await listener.cut()
        case GoDown(for_ms):
            listener.go_down(for_ms)
            await listener.cut()
