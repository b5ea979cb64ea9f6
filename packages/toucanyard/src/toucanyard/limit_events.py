"""Handle events about limits, and notify calls and peers of their effects."""

from __future__ import annotations

from collections.abc import Iterator

from toucanyard.link_messages import CreditAnswer, CreditAsk, NodeStatus
from toucanyard.names import NodeName
from toucanyard.relay_events import RelayAction
from toucanyard.relay_flow import RelayFlow
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.shared_limits import SharedLimits
from toucanyard.status_exchange import StatusExchange


class LimitEvents:
    """Handler of one node's events that concern limits."""

    def __init__(
        self,
        shares: SharedLimits,
        replica_limits: ReplicaLimits,
        flow: RelayFlow,
        statuses: StatusExchange,
    ) -> None:
        self._shares = shares
        self._replica_limits = replica_limits
        self._flow = flow
        self._statuses = statuses

    def tick(self, now_ms: float) -> Iterator[RelayAction]:
        """Update limits and their coordinators."""
        coordinators = self._shares.list_coordinators()
        yield from self._shares.tick(now_ms)
        if self._shares.list_coordinators() != coordinators:
            # A coordinator grants nothing until it knows what is delegated to it.
            self._statuses.mark_due()

    def settle(self, now_ms: float) -> Iterator[RelayAction]:
        """Use newly granted credit, and request what is missing from coordinators."""
        if not self._shares.has_requests():
            return
        yield from self._use_credit(now_ms)
        yield from self._shares.request_credit(now_ms)
        # This node may be the coordinator and have answered itself.
        yield from self._use_credit(now_ms)

    def read_status(
        self, sender: NodeName, status: NodeStatus, now_ms: float
    ) -> Iterator[RelayAction]:
        """Apply a peer's delegation and the replica limits that it knows."""
        if status.delegation is not None:
            self._shares.receive_delegation(sender, status.delegation, now_ms)
        before = self._replica_limits.change_count
        yield from self._replica_limits.apply(status.replica_limits, sender, now_ms)
        self._announce_changes(before)

    def read_message(
        self, sender: NodeName, message: CreditAsk | CreditAnswer, now_ms: float
    ) -> Iterator[RelayAction]:
        """Handle a credit request or an answer to one."""
        match message:
            case CreditAsk():
                yield from self._shares.receive_request(sender, message, now_ms)
            case CreditAnswer():
                yield from self._shares.receive_answer(message, now_ms)

    def _use_credit(self, now_ms: float) -> Iterator[RelayAction]:
        if self._shares.consume_answered_flag():
            yield from self._flow.retry_waiting(now_ms)

    def _announce_changes(self, before: int) -> None:
        if self._replica_limits.change_count != before:
            self._statuses.mark_due()
