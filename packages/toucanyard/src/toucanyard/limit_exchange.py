"""Keep limits together over all nodes: questions for credit, and their answers.

A node asks its hub, which asks the limit's home; in a mesh it asks the home itself.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

import msgspec

from toucanyard.limit_buckets import BucketUsage, CreditGrant, LimitBuckets
from toucanyard.limit_coordinators import LimitCoordinators
from toucanyard.limit_credits import CreditAccounts
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


class _SentAnswer(msgspec.Struct, frozen=True):
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
        coordinators: LimitCoordinators,
        source: LimitSource,
        bounds: LimitBounds,
    ) -> None:
        self._kind = kind
        self._coordinators = coordinators
        self._source = source
        self._buckets = LimitBuckets(bounds, coordinators.delegations)
        coordinators.add_buckets(self._buckets)
        self._is_answered = False
        self._sent_answers: dict[tuple[NodeName, str], _SentAnswer] = {}
        """The last answer to each node about each limit."""

    def apply_limits(self, now_ms: float) -> None:
        """Let changed limits be in force."""
        self._coordinators.settle(now_ms)
        self._buckets.apply_limits(
            self._source.find_limit, self._coordinators.compute_shares()
        )

    def request_credit(self, now_ms: float) -> Iterator[SendToPeer]:
        """Ask for the credit that calls wait for; this node may be its own home."""
        for credit_request in self._source.accounts.list_requests(now_ms):
            ask = CreditAsk(
                self._coordinators.own,
                credit_request.number,
                credit_request.subject,
                credit_request.wanted,
                credit_request.least,
                credit_request.returned,
                self._kind,
            )
            if (
                self._coordinators.find_coordinator(credit_request.subject)
                == self._coordinators.own
            ):
                answer = self._answer(ask, now_ms)
                if answer is not None:
                    self._apply(answer, now_ms)
                continue
            target = self._coordinators.find_next_hop(credit_request.subject)
            if target is not None:
                yield SendToPeer(target, ask)

    def receive_request(
        self, sender: NodeName, ask: CreditAsk, now_ms: float
    ) -> Iterator[SendToPeer]:
        """Answer a node's question, or pass it on to the home."""
        coordinator = self._coordinators.find_coordinator(ask.subject)
        if coordinator == self._coordinators.own:
            answer = self._answer(ask, now_ms)
            if answer is not None:
                yield SendToPeer(sender, answer)
        elif coordinator in self._coordinators.linked and ask.origin == sender:
            # Passed on once only: nodes that differ on the home would pass it for ever.
            yield SendToPeer(coordinator, ask)

    def receive_answer(
        self, answer: CreditAnswer, now_ms: float
    ) -> Iterator[SendToPeer]:
        """Take in a home's answer, or pass it on to the node that asked."""
        if answer.origin == self._coordinators.own:
            self._apply(answer, now_ms)
        elif answer.origin in self._coordinators.linked:
            yield SendToPeer(answer.origin, answer)

    def list_usage(self) -> list[BucketUsage]:
        """Return what this node knows of the limits of which it is the home."""
        return self._buckets.list_usage(self._coordinators.compute_shares())

    def consume_answered_flag(self) -> bool:
        """Tell whether an answer has come since this was asked last."""
        is_answered, self._is_answered = self._is_answered, False
        return is_answered

    def prune_answers(self, now_ms: float) -> None:
        """Drop answers whose credit has lapsed."""
        self._sent_answers = {
            key: sent
            for key, sent in self._sent_answers.items()
            if now_ms - sent.at_ms <= MAX_CREDIT_MS
        }

    def _answer(self, ask: CreditAsk, now_ms: float) -> CreditAnswer | None:
        """Return what a question is granted; None if nothing is pledged here.

        A question that comes again gets its answer again: granted anew each time that
        an answer is slow, a limit would be used up without anything being sent.
        """
        sent = self._sent_answers.get((ask.origin, ask.subject))
        if sent is not None and sent.answer.number == ask.number:
            return sent.answer
        limit = self._source.find_limit(ask.subject)
        if limit is None:
            return self._answer_unlimited(ask)
        self._coordinators.settle(now_ms)
        share = self._coordinators.compute_share(ask.subject)
        if not share:
            return None
        self._buckets.return_credit(ask.subject, limit, ask.returned, share)
        denied = 0.0 if sent is None else sent.denied
        grant = self._buckets.grant(
            ask.subject, limit, ask.wanted, ask.least, share, denied
        )
        answer = _build_answer(ask, grant)
        denied = 0.0 if grant.granted else ask.wanted
        self._sent_answers[ask.origin, ask.subject] = _SentAnswer(
            now_ms, answer, denied
        )
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
