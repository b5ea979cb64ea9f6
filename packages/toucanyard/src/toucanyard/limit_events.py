"""Take in what concerns limits, and let calls and peers know what follows from it."""

from __future__ import annotations

from collections.abc import Iterator

from toucanyard.link_messages import CreditAnswer, CreditAsk, NodeStatus
from toucanyard.names import NodeName
from toucanyard.relay_events import RelayAction, ReplicaLimitSeen
from toucanyard.relay_flow import RelayFlow
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.shared_limits import SharedLimits
from toucanyard.status_exchange import StatusExchange


class LimitEvents:
    """The events of one node that limits depend on."""

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
        """Bring limits and their homes up to date."""
        homes = self._shares.list_homes()
        yield from self._shares.tick(now_ms)
        if self._shares.list_homes() != homes:
            # A home gives out nothing before it is told what is pledged to it.
            self._statuses.mark_due()

    def settle(self, now_ms: float) -> Iterator[RelayAction]:
        """Use the credit that has come, and ask homes for what is missing."""
        if not self._shares.has_questions():
            return
        yield from self._use_credit(now_ms)
        yield from self._shares.ask(now_ms)
        # This node may have answered itself.
        yield from self._use_credit(now_ms)

    def on_seen(self, seen: ReplicaLimitSeen, now_ms: float) -> Iterator[RelayAction]:
        """Take in what an answer says of its replica's limit."""
        limits = self._replica_limits
        if seen.invalid_text:
            yield from limits.on_invalid(seen.replica, seen.invalid_text, now_ms)
            return
        before = limits.change_count
        yield from limits.on_answer(seen.replica, seen.limit_per_s, now_ms)
        self._tell_changes(before)

    def read_status(
        self, sender: NodeName, status: NodeStatus, now_ms: float
    ) -> Iterator[RelayAction]:
        """Take in a peer's pledge, and the limits that it knows."""
        if status.pledge is not None:
            self._shares.read_pledge(sender, status.pledge, now_ms)
        before = self._replica_limits.change_count
        yield from self._replica_limits.apply(status.replica_limits, sender, now_ms)
        self._tell_changes(before)

    def read_message(
        self, sender: NodeName, message: CreditAsk | CreditAnswer, now_ms: float
    ) -> Iterator[RelayAction]:
        """Take in a question for credit, or an answer."""
        match message:
            case CreditAsk():
                yield from self._shares.read_ask(sender, message, now_ms)
            case CreditAnswer():
                yield from self._shares.read_answer(message, now_ms)

    def _use_credit(self, now_ms: float) -> Iterator[RelayAction]:
        if self._shares.take_answered():
            yield from self._flow.retry_waiting(now_ms)

    def _tell_changes(self, before: int) -> None:
        if self._replica_limits.change_count != before:
            self._statuses.mark_due()
