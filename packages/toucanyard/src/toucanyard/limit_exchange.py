"""Keep limits together over all nodes: questions for credit, and their answers.

A node asks its hub, which asks the limit's home; in a mesh it asks the home itself.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

import msgspec

from toucanyard.limit_credits import CreditAccounts
from toucanyard.limit_homes import LimitHomes
from toucanyard.limit_pool import CreditGrant, LimitPool, PoolUse
from toucanyard.link_messages import CreditAnswer, CreditAsk, LimitKind
from toucanyard.names import NodeName
from toucanyard.rate_limits import MAX_CREDIT_MS, LimitBounds, RateLimit
from toucanyard.relay_events import SendToPeer


class LimitSource(Protocol):
    """Knows the limits of one kind, and what this node's calls need of them."""

    @property
    def accounts(self) -> CreditAccounts:
        """Return the credit that this node was granted."""
        ...

    def find_limit(self, subject: str) -> RateLimit | None:
        """Return a limit; None if there is none that this node knows of."""
        ...


class _Given(msgspec.Struct, frozen=True):
    """What a home answered to one node about one limit."""

    at_ms: float
    answer: CreditAnswer
    denied: float
    """What was asked for, if nothing was granted."""


class LimitExchange:
    """The part of one node in all limits of one kind."""

    def __init__(
        self,
        kind: LimitKind,
        homes: LimitHomes,
        source: LimitSource,
        bounds: LimitBounds,
    ) -> None:
        self._kind = kind
        self._homes = homes
        self._source = source
        self._pool = LimitPool(bounds, homes.pledges)
        homes.add_pool(self._pool)
        self._is_answered = False
        self._given: dict[tuple[NodeName, str], _Given] = {}
        """The last answer to each node about each limit."""

    def apply_limits(self, now_ms: float) -> None:
        """Let changed limits be in force."""
        self._homes.settle(now_ms)
        self._pool.apply_limits(self._source.find_limit, self._homes.compute_shares())

    def ask(self, now_ms: float) -> Iterator[SendToPeer]:
        """Ask for the credit that calls wait for; this node may be its own home."""
        for question in self._source.accounts.list_questions(now_ms):
            ask = CreditAsk(
                self._homes.own,
                question.number,
                question.subject,
                question.wanted,
                question.least,
                question.returned,
                self._kind,
            )
            if self._homes.find_home(question.subject) == self._homes.own:
                answer = self._answer(ask, now_ms)
                if answer is not None:
                    self._apply(answer, now_ms)
                continue
            target = self._homes.find_next(question.subject)
            if target is not None:
                yield SendToPeer(target, ask)

    def read_ask(
        self, sender: NodeName, ask: CreditAsk, now_ms: float
    ) -> Iterator[SendToPeer]:
        """Answer a node's question, or pass it on to the home."""
        home = self._homes.find_home(ask.subject)
        if home == self._homes.own:
            answer = self._answer(ask, now_ms)
            if answer is not None:
                yield SendToPeer(sender, answer)
        elif home in self._homes.linked and ask.origin == sender:
            # Passed on once only: nodes that differ on the home would pass it for ever.
            yield SendToPeer(home, ask)

    def read_answer(self, answer: CreditAnswer, now_ms: float) -> Iterator[SendToPeer]:
        """Take in a home's answer, or pass it on to the node that asked."""
        if answer.origin == self._homes.own:
            self._apply(answer, now_ms)
        elif answer.origin in self._homes.linked:
            yield SendToPeer(answer.origin, answer)

    def list_uses(self) -> list[PoolUse]:
        """Return what this node knows of the limits of which it is the home."""
        return self._pool.list_uses(self._homes.compute_shares())

    def take_answered(self) -> bool:
        """Tell whether an answer has come since this was asked last."""
        is_answered, self._is_answered = self._is_answered, False
        return is_answered

    def forget_given(self, now_ms: float) -> None:
        """Drop answers whose credit has lapsed."""
        self._given = {
            key: given
            for key, given in self._given.items()
            if now_ms - given.at_ms <= MAX_CREDIT_MS
        }

    def _answer(self, ask: CreditAsk, now_ms: float) -> CreditAnswer | None:
        """Return what a question is granted; None if nothing is pledged here.

        A question that comes again gets its answer again: granted anew each time that
        an answer is slow, a limit would be used up without anything being sent.
        """
        given = self._given.get((ask.origin, ask.subject))
        if given is not None and given.answer.number == ask.number:
            return given.answer
        limit = self._source.find_limit(ask.subject)
        if limit is None:
            return self._answer_unlimited(ask)
        self._homes.settle(now_ms)
        share = self._homes.compute_share(ask.subject)
        if not share:
            return None
        self._pool.take_back(ask.subject, limit, ask.returned, share)
        denied = 0.0 if given is None else given.denied
        grant = self._pool.grant(
            ask.subject, limit, ask.wanted, ask.least, share, denied
        )
        answer = _build_answer(ask, grant)
        denied = 0.0 if grant.granted else ask.wanted
        self._given[ask.origin, ask.subject] = _Given(now_ms, answer, denied)
        return answer

    def _answer_unlimited(self, ask: CreditAsk) -> CreditAnswer | None:
        match self._kind:
            case LimitKind.CUSTOMER:
                # The asker has read another version of the configuration.
                return _build_answer(ask, CreditGrant(ask.wanted, 0.0, 0.0))
            case LimitKind.REPLICA:
                # This node has not heard of the limit yet; the asker asks again.
                return None

    def _apply(self, answer: CreditAnswer, now_ms: float) -> None:
        self._is_answered = True
        grant = CreditGrant(answer.granted, answer.closed_ms, answer.retry_ms)
        self._source.accounts.apply_grant(answer.subject, answer.number, grant, now_ms)


def _build_answer(ask: CreditAsk, grant: CreditGrant) -> CreditAnswer:
    return CreditAnswer(
        ask.origin,
        ask.number,
        ask.subject,
        grant.granted,
        grant.closed_ms,
        grant.retry_ms,
        ask.kind,
    )
