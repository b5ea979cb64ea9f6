"""Keep customers' limits together over all nodes: pledges, questions and answers.

A node asks its hub, which asks the customer's home; in a mesh it asks the home itself.
One that reaches no hub is its own home after a while, with its own share of the limits.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Final

import msgspec

from toucanyard.call_limits import CallLimits
from toucanyard.customer_limits import MAX_CREDIT_MS, CustomerLimit, LimitBounds
from toucanyard.limit_pledges import (
    SLICES,
    Pledge,
    PledgeBook,
    choose_homes,
    find_slice,
)
from toucanyard.limit_pool import CreditGrant, LimitPool, PoolUse
from toucanyard.link_messages import CreditAnswer, CreditAsk
from toucanyard.names import CustomerName, NodeName
from toucanyard.note_limit import NoteLimit
from toucanyard.relay_events import Note, SendToPeer
from toucanyard.relay_policy import LimitWay
from toucanyard.roster import Roster

UPDATE_MS: Final = 100.0
"""Time between two looks at who may be a home."""
ALONE_MS: Final = 1_500.0
"""Time without a hub after which a node uses its own share. By then its hub has missed
it and pledges it to nobody."""


class _Given(msgspec.Struct, frozen=True):
    """What a home answered to one node about one customer."""

    at_ms: float
    answer: CreditAnswer
    denied: float
    """What was asked for, if nothing was granted."""


class LimitExchange:
    """The part of one node in all customers' limits.

    Invariant: this node's share counts in one group at a time.
    """

    def __init__(
        self,
        roster: Roster,
        calls: CallLimits,
        count_group: Callable[[], int],
        knows_nodes: Callable[[], bool],
        bounds: LimitBounds,
        way: LimitWay,
    ) -> None:
        self._roster = roster
        self._own = roster.own_name
        self._calls = calls
        self._count_group = count_group
        self._knows_nodes = knows_nodes
        self._way = way
        self._pledges = PledgeBook(self._own)
        self._pool = LimitPool(bounds, self._pledges)
        self._linked: frozenset[NodeName] = frozenset()
        self._candidates: frozenset[NodeName] = frozenset()
        self._homes: tuple[NodeName, ...] = ()
        """By slice of the customers; empty while this node pledges to nobody."""
        self._reached_ms: float | None = None
        """When this node last had a hub; None before its first tick."""
        self._updated_ms = float("-inf")
        self._is_answered = False
        self._given: dict[tuple[NodeName, CustomerName], _Given] = {}
        """The last answer to each node about each customer."""
        self._total = 1
        self._version = 0
        """Of the routes whose limits are in force here."""
        self.pledge: Pledge | None = None
        """What peers are told of this node's group."""
        self._changes = NoteLimit("limit_changed")
        self._limits: dict[CustomerName, CustomerLimit] = {}

    def note_links(self, names: Collection[NodeName], now_ms: float) -> None:
        """Take in which peers are linked now."""
        self._linked = frozenset(names)
        self._pledges.retain(names)
        self._update(now_ms)

    def tick(self, now_ms: float) -> Iterator[Note]:
        """Bring limits and pledges up to date; return what has changed."""
        index = self._calls.index
        if index.table.version != self._version:
            self._version = index.table.version
            yield from self._apply_limits(now_ms)
        if not self._limits:
            self.pledge = None
            return
        if now_ms - self._updated_ms < UPDATE_MS:
            return
        before = self._homes
        self._update(now_ms)
        if self._homes != before:
            fields = {"homes": ",".join(self._homes), "nodes": self._total}
            yield Note("limit_homes_changed", fields)

    def read_pledge(self, sender: NodeName, pledge: Pledge, now_ms: float) -> None:
        """Take in to whom a peer's group gives its shares."""
        if sender not in self._linked:
            # Read after its link was lost: the end of it would go unnoticed.
            return
        if not self._pledges.is_known(sender, pledge):
            self._settle(now_ms)
        self._pledges.record(sender, pledge, now_ms)

    def ask(self, now_ms: float) -> Iterator[SendToPeer]:
        """Ask for the credit that calls wait for; this node may be its own home."""
        for question in self._calls.accounts.list_questions(now_ms):
            ask = CreditAsk(
                self._own,
                question.number,
                question.customer,
                question.wanted,
                question.least,
                question.returned,
            )
            if self._find_home(question.customer) == self._own:
                answer = self._answer(ask, now_ms)
                if answer is not None:
                    self._apply(answer, now_ms)
                continue
            target = self._find_next(question.customer)
            if target is not None:
                yield SendToPeer(target, ask)

    def read_ask(
        self, sender: NodeName, ask: CreditAsk, now_ms: float
    ) -> Iterator[SendToPeer]:
        """Answer a node's question, or pass it on to the home."""
        home = self._find_home(ask.customer)
        if home == self._own:
            answer = self._answer(ask, now_ms)
            if answer is not None:
                yield SendToPeer(sender, answer)
        elif home in self._linked and ask.origin == sender:
            # Passed on once only: nodes that differ on the home would pass it for ever.
            yield SendToPeer(home, ask)

    def read_answer(self, answer: CreditAnswer, now_ms: float) -> Iterator[SendToPeer]:
        """Take in a home's answer, or pass it on to the node that asked."""
        if answer.origin == self._own:
            self._apply(answer, now_ms)
        elif answer.origin in self._linked:
            yield SendToPeer(answer.origin, answer)

    def list_homes(self) -> tuple[NodeName, ...]:
        """Return the home of each slice, as this node pledges its group's shares."""
        return self._homes

    def list_uses(self) -> list[PoolUse]:
        """Return what this node knows of the customers of which it is the home."""
        return self._pool.list_uses(self._compute_shares())

    def take_answered(self) -> bool:
        """Tell whether an answer has come since this was asked last."""
        is_answered, self._is_answered = self._is_answered, False
        return is_answered

    def _answer(self, ask: CreditAsk, now_ms: float) -> CreditAnswer | None:
        """Return what a question is granted; None if nothing is pledged here.

        A question that comes again gets its answer again: granted anew each time that
        an answer is slow, a customer would use up its limit without sending anything.
        """
        given = self._given.get((ask.origin, ask.customer))
        if given is not None and given.answer.number == ask.number:
            return given.answer
        limit = self._calls.index.find_limit(ask.customer)
        if limit is None:
            # The asker has read another version of the configuration.
            return _build_answer(ask, CreditGrant(ask.wanted, 0.0, 0.0))
        self._settle(now_ms)
        share = self._pledges.compute_share(find_slice(ask.customer), self._total)
        if not share:
            return None
        self._pool.take_back(ask.customer, limit, ask.returned, share)
        denied = 0.0 if given is None else given.denied
        grant = self._pool.grant(
            ask.customer, limit, ask.wanted, ask.least, share, denied
        )
        answer = _build_answer(ask, grant)
        denied = 0.0 if grant.granted else ask.wanted
        self._given[ask.origin, ask.customer] = _Given(now_ms, answer, denied)
        return answer

    def _apply(self, answer: CreditAnswer, now_ms: float) -> None:
        self._is_answered = True
        grant = CreditGrant(answer.granted, answer.closed_ms, answer.retry_ms)
        self._calls.accounts.apply_grant(answer.customer, answer.number, grant, now_ms)

    def _forget_given(self, now_ms: float) -> None:
        self._given = {
            key: given
            for key, given in self._given.items()
            if now_ms - given.at_ms <= MAX_CREDIT_MS
        }

    def _apply_limits(self, now_ms: float) -> Iterator[Note]:
        self._settle(now_ms)
        index = self._calls.index
        self._pool.apply_limits(index, self._compute_shares())
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

    def _compute_shares(self) -> list[float]:
        return [
            self._pledges.compute_share(number, self._total) for number in range(SLICES)
        ]

    def _settle(self, now_ms: float) -> None:
        lost = self._pledges.settle(self._total, now_ms)
        if lost:
            self._pool.forget_slices(lost)

    def _update(self, now_ms: float) -> None:
        self._updated_ms = now_ms
        self._settle(now_ms)
        self._forget_given(now_ms)
        self._total = self._roster.count_nodes(now_ms)
        candidates = self._find_candidates(now_ms)
        if candidates != self._candidates:
            self._candidates = candidates
            self._homes = choose_homes(candidates) if candidates else ()
        self.pledge = None
        if self._homes:
            nodes = 1 if self._is_apart() else self._count_group()
            self.pledge = Pledge(nodes, self._homes)
            self._pledges.record(self._own, self.pledge, now_ms)

    def _find_candidates(self, now_ms: float) -> frozenset[NodeName]:
        """Return the nodes that may be a home; none while this node pledges nothing."""
        if not self._knows_nodes():
            # It would take itself for the whole fleet.
            return frozenset()
        own = frozenset((self._own,))
        if self._way is LimitWay.EQUAL_SHARES:
            return own
        ready = self._roster.list_ready_linked()
        if self._roster.is_full_mesh():
            return self._add_own(ready)
        plan = self._roster.plan
        if plan.is_hub():
            return self._add_own(name for name in ready if name in plan.hubs)
        if self._reached_ms is None or self._roster.find_primary() is not None:
            self._reached_ms = now_ms
        return own if now_ms - self._reached_ms > ALONE_MS else frozenset()

    def _add_own(self, names: Iterable[NodeName]) -> frozenset[NodeName]:
        found = set(names)
        if self._roster.is_ready or not found:
            found.add(self._own)
        return frozenset(found)

    def _is_apart(self) -> bool:
        """Tell whether this node stands for itself only."""
        is_equal = self._way is LimitWay.EQUAL_SHARES
        return is_equal or self._roster.is_full_mesh()

    def _find_home(self, customer: CustomerName) -> NodeName | None:
        return self._homes[find_slice(customer)] if self._homes else None

    def _find_next(self, customer: CustomerName) -> NodeName | None:
        """Return whom to ask: the home, or the hub that knows it."""
        home = self._find_home(customer)
        return self._roster.find_primary() if home is None else home


def _build_answer(ask: CreditAsk, grant: CreditGrant) -> CreditAnswer:
    return CreditAnswer(
        ask.origin,
        ask.number,
        ask.customer,
        grant.granted,
        grant.closed_ms,
        grant.retry_ms,
    )
