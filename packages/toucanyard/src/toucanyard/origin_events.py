"""Handle events about the origins of streams, and notify calls, peers and the store."""

from __future__ import annotations

from collections.abc import Iterator

from toucanyard.link_messages import OriginMessage
from toucanyard.names import NodeName
from toucanyard.origin_exchange import OriginExchange
from toucanyard.relay_events import RelayAction
from toucanyard.relay_flow import RelayFlow
from toucanyard.resumed_streams import ResumedStreams
from toucanyard.stream_records import StreamEvent


class OriginEvents:
    """Handler of one node's events that concern the origins of streams."""

    __slots__ = ("_exchange", "_flow", "_resumed")

    def __init__(
        self, exchange: OriginExchange, resumed: ResumedStreams, flow: RelayFlow
    ) -> None:
        self._exchange = exchange
        self._resumed = resumed
        self._flow = flow

    def tick(self, now_ms: float) -> Iterator[RelayAction]:
        """Report newly placed tries, and end what has waited for answers too long."""
        self._exchange.report(now_ms)
        self._exchange.expire(now_ms)
        yield from self._flow.retry_resumed(now_ms)

    def read_message(
        self, sender: NodeName, message: OriginMessage, now_ms: float
    ) -> Iterator[RelayAction]:
        """Handle a peer's message, and the calls that it lets go on."""
        self._exchange.read(sender, message, now_ms)
        yield from self._flow.retry_resumed(now_ms)

    def read_records(self, event: StreamEvent, now_ms: float) -> Iterator[RelayAction]:
        """Handle a result of the store, and the calls that it lets go on."""
        self._exchange.records.apply(event, now_ms)
        yield from self._flow.retry_resumed(now_ms)

    def record_list_read(self, asked_ms: float, now_ms: float) -> Iterator[RelayAction]:
        """Handle that the store has answered a read of the list of replicas."""
        self._exchange.records.record_list_read(asked_ms)
        yield from self._flow.retry_resumed(now_ms)

    def settle(self, now_ms: float) -> list[RelayAction]:
        """Return the actions and log entries of the event just handled."""
        self._exchange.settle(now_ms)
        return [
            *self._exchange.take_messages(),
            *self._exchange.records.settle(now_ms),
            *self._resumed.take_log_entries(),
        ]
