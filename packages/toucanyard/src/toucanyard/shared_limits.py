"""Combine one node's handling of the limits that all nodes enforce together.

Customers' limits bound which calls are admitted, replicas' limits where calls are sent.
Both are granted by the same coordinators.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

from toucanyard.call_limits import CallLimits
from toucanyard.limit_buckets import BucketUsage
from toucanyard.limit_coordinators import LimitCoordinators
from toucanyard.limit_delegations import ShareDelegation
from toucanyard.limit_exchange import LimitExchange
from toucanyard.link_messages import CreditAnswer, CreditAsk, LimitKind
from toucanyard.log_rate_limit import LogRateLimit
from toucanyard.names import CustomerName, NodeName
from toucanyard.rate_limits import LimitBounds, RateLimit
from toucanyard.relay_events import LogEntry, SendToPeer
from toucanyard.replica_credits import REPLICA_BOUNDS, ReplicaCredits


class SharedLimits:
    """The limits of customers and replicas that this node enforces with others."""

    def __init__(
        self,
        coordinators: LimitCoordinators,
        customers: CallLimits,
        replicas: ReplicaCredits,
        bounds: LimitBounds,
    ) -> None:
        self._coordinators = coordinators
        self._customers = customers
        self._replicas = replicas
        self._exchanges = {
            LimitKind.CUSTOMER: LimitExchange(
                LimitKind.CUSTOMER, coordinators, customers, bounds
            ),
            LimitKind.REPLICA: LimitExchange(
                LimitKind.REPLICA, coordinators, replicas, REPLICA_BOUNDS
            ),
        }
        self._version = 0
        """Version of the routes whose limits are in force here."""
        self._limits: dict[CustomerName, RateLimit] = {}
        self._changes = LogRateLimit("limit_changed")

    @property
    def delegation(self) -> ShareDelegation | None:
        """Return the delegation of this node's group, as sent to peers."""
        return self._coordinators.delegation

    def list_coordinators(self) -> tuple[NodeName, ...]:
        """Return the coordinator of each partition for this node's group."""
        return self._coordinators.coordinators

    def list_usage(self, kind: LimitKind = LimitKind.CUSTOMER) -> list[BucketUsage]:
        """Return the usage of the limits that this node coordinates."""
        return self._exchanges[kind].list_usage()

    def update_links(self, names: Collection[NodeName], now_ms: float) -> None:
        """Apply which peers are linked now."""
        self._coordinators.update_links(names, now_ms)

    def receive_delegation(
        self, sender: NodeName, delegation: ShareDelegation, now_ms: float
    ) -> None:
        """Apply a peer's delegation of its group's shares."""
        self._coordinators.receive_delegation(sender, delegation, now_ms)

    def tick(self, now_ms: float) -> Iterator[LogEntry]:
        """Update limits and delegations; return log entries about changes."""
        index = self._customers.index
        if index.table.version != self._version:
            self._version = index.table.version
            yield from self._apply_customers(now_ms)
        if self._replicas.consume_changed_flag():
            self._exchanges[LimitKind.REPLICA].apply_limits(now_ms)
        if not self._limits and not self._replicas.has_limits():
            self._coordinators.clear_delegation()
            return
        before = self._coordinators.coordinators
        if self._coordinators.tick(now_ms):
            for exchange in self._exchanges.values():
                exchange.prune_answers(now_ms)
        if self._coordinators.coordinators != before:
            fields = {
                "homes": ",".join(self._coordinators.coordinators),
                "nodes": self._coordinators.total,
            }
            yield LogEntry("limit_homes_changed", fields)

    def has_requests(self) -> bool:
        """Return whether calls may be waiting for credit."""
        is_customer = self._customers.accounts.has_requests()
        return is_customer or self._replicas.accounts.has_requests()

    def request_credit(self, now_ms: float) -> Iterator[SendToPeer]:
        """Request the credit that calls need; this node may be the coordinator."""
        for exchange in self._exchanges.values():
            yield from exchange.request_credit(now_ms)

    def receive_request(
        self, sender: NodeName, request: CreditAsk, now_ms: float
    ) -> Iterator[SendToPeer]:
        """Answer a node's credit request, or forward it to the coordinator."""
        yield from self._exchanges[request.kind].receive_request(
            sender, request, now_ms
        )

    def receive_answer(
        self, answer: CreditAnswer, now_ms: float
    ) -> Iterator[SendToPeer]:
        """Apply a coordinator's answer, or forward it to the requesting node."""
        yield from self._exchanges[answer.kind].receive_answer(answer, now_ms)

    def consume_answered_flag(self) -> bool:
        """Return whether an answer has arrived since the last call of this method."""
        taken = [each.consume_answered_flag() for each in self._exchanges.values()]
        return any(taken)

    def _apply_customers(self, now_ms: float) -> Iterator[LogEntry]:
        index = self._customers.index
        self._exchanges[LimitKind.CUSTOMER].apply_limits(now_ms)
        before, self._limits = self._limits, index.list_limits()
        for customer in sorted(before.keys() | self._limits.keys()):
            old, new = before.get(customer), self._limits.get(customer)
            if old == new:
                continue
            fields: dict[str, object] = {
                "customer": customer,
                "rate_per_s": 0.0 if new is None else new.rate_per_s,
                "burst": 0.0 if new is None else new.burst,
                "unit": "" if new is None else new.unit.value,
                "before_per_s": 0.0 if old is None else old.rate_per_s,
                "version": self._version,
            }
            yield from self._changes.log(fields, now_ms)
