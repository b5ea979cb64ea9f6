"""Put together what one node does for the limits that all nodes keep together.

Customers' limits bound what is let in, replicas' limits where it is sent. Both are
given out by the same homes.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

from toucanyard.call_limits import CallLimits
from toucanyard.limit_exchange import LimitExchange
from toucanyard.limit_homes import LimitHomes
from toucanyard.limit_pledges import Pledge
from toucanyard.limit_pool import PoolUse
from toucanyard.link_messages import CreditAnswer, CreditAsk, LimitKind
from toucanyard.names import CustomerName, NodeName
from toucanyard.note_limit import NoteLimit
from toucanyard.rate_limits import LimitBounds, RateLimit
from toucanyard.relay_events import Note, SendToPeer
from toucanyard.replica_credits import REPLICA_BOUNDS, ReplicaCredits


class SharedLimits:
    """The limits of customers and of replicas, as one node keeps them with others."""

    def __init__(
        self,
        homes: LimitHomes,
        customers: CallLimits,
        replicas: ReplicaCredits,
        bounds: LimitBounds,
    ) -> None:
        self._homes = homes
        self._customers = customers
        self._replicas = replicas
        self._exchanges = {
            LimitKind.CUSTOMER: LimitExchange(
                LimitKind.CUSTOMER, homes, customers, bounds
            ),
            LimitKind.REPLICA: LimitExchange(
                LimitKind.REPLICA, homes, replicas, REPLICA_BOUNDS
            ),
        }
        self._version = 0
        """Of the routes whose limits are in force here."""
        self._limits: dict[CustomerName, RateLimit] = {}
        self._changes = NoteLimit("limit_changed")

    @property
    def pledge(self) -> Pledge | None:
        """Return what peers are told of this node's group."""
        return self._homes.pledge

    def list_homes(self) -> tuple[NodeName, ...]:
        """Return the home of each slice, as this node pledges its group's shares."""
        return self._homes.homes

    def list_uses(self, kind: LimitKind = LimitKind.CUSTOMER) -> list[PoolUse]:
        """Return what this node knows of the limits of which it is the home."""
        return self._exchanges[kind].list_uses()

    def record_links(self, names: Collection[NodeName], now_ms: float) -> None:
        """Take in which peers are linked now."""
        self._homes.record_links(names, now_ms)

    def read_pledge(self, sender: NodeName, pledge: Pledge, now_ms: float) -> None:
        """Take in to whom a peer's group gives its shares."""
        self._homes.read_pledge(sender, pledge, now_ms)

    def tick(self, now_ms: float) -> Iterator[Note]:
        """Bring limits and pledges up to date; return what has changed."""
        index = self._customers.index
        if index.table.version != self._version:
            self._version = index.table.version
            yield from self._apply_customers(now_ms)
        if self._replicas.take_changed():
            self._exchanges[LimitKind.REPLICA].apply_limits(now_ms)
        if not self._limits and not self._replicas.has_limits():
            self._homes.withdraw()
            return
        before = self._homes.homes
        if self._homes.tick(now_ms):
            for exchange in self._exchanges.values():
                exchange.forget_given(now_ms)
        if self._homes.homes != before:
            fields = {"homes": ",".join(self._homes.homes), "nodes": self._homes.total}
            yield Note("limit_homes_changed", fields)

    def has_questions(self) -> bool:
        """Tell whether calls may be waiting for credit."""
        is_customer = self._customers.accounts.has_questions()
        return is_customer or self._replicas.accounts.has_questions()

    def ask(self, now_ms: float) -> Iterator[SendToPeer]:
        """Ask for the credit that calls need; this node may be its own home."""
        for exchange in self._exchanges.values():
            yield from exchange.ask(now_ms)

    def read_ask(
        self, sender: NodeName, ask: CreditAsk, now_ms: float
    ) -> Iterator[SendToPeer]:
        """Answer a node's question, or pass it on to the home."""
        yield from self._exchanges[ask.kind].read_ask(sender, ask, now_ms)

    def read_answer(self, answer: CreditAnswer, now_ms: float) -> Iterator[SendToPeer]:
        """Take in a home's answer, or pass it on to the node that asked."""
        yield from self._exchanges[answer.kind].read_answer(answer, now_ms)

    def take_answered(self) -> bool:
        """Tell whether an answer has come since this was asked last."""
        taken = [each.take_answered() for each in self._exchanges.values()]
        return any(taken)

    def _apply_customers(self, now_ms: float) -> Iterator[Note]:
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
            yield from self._changes.note(fields, now_ms)
