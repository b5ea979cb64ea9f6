"""Enforce limits across all nodes: credit requests and their answers.

A node sends its requests to its hub, which forwards them to the limit's coordinator; in
a full mesh it sends them to the coordinator directly.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final, Protocol

import msgspec

from toucanyard.limit_buckets import BucketUsage, CreditGrant, LimitBuckets
from toucanyard.limit_coordinators import LimitCoordinators
from toucanyard.limit_credits import CreditAccounts
from toucanyard.link_messages import CreditAnswer, CreditAsk, LimitKind
from toucanyard.names import NodeName
from toucanyard.rate_limits import MAX_CREDIT_MS, LimitBounds, RateLimit
from toucanyard.relay_events import SendToPeer
from toucanyard.scarce_credit.account_keys import build_account_key, split_account_key

MAX_EARLIER: Final = 8
"""Numbers of earlier requests that are kept for each node and limit."""


class LimitSource(Protocol):
    """Provides the limits of one kind and this node's credit accounts for them."""

    @property
    def accounts(self) -> CreditAccounts:
        """Return the accounts of credit granted to this node."""
        ...

    def find_limit(self, subject: str) -> RateLimit | None:
        """Return a limit; None if this node knows of none."""
        ...


class _SentAnswer(msgspec.Struct, frozen=True):
    """A coordinator's last answer to one node about one limit."""

    at_ms: float
    answer: CreditAnswer
    denied: float
    """The amount requested, if nothing was granted."""
    earlier: tuple[int, ...] = ()
    """Numbers of the requests that were answered before, the newest first."""


class LimitExchange:
    """One node's participation in all limits of one kind."""

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
        self._sent_answers: dict[tuple[NodeName, str, int], _SentAnswer] = {}
        """The last answer to each node, by limit and rank."""

    def apply_limits(self, now_ms: float) -> None:
        """Apply changed limits."""
        self._coordinators.settle(now_ms)
        self._buckets.apply_limits(
            self._source.find_limit, self._coordinators.compute_shares()
        )

    def request_credit(self, now_ms: float) -> Iterator[SendToPeer]:
        """Request the credit that calls wait for; this node may be the coordinator."""
        for credit_request in self._source.accounts.list_requests(now_ms):
            subject, rank = split_account_key(credit_request.subject)
            request = CreditAsk(
                self._coordinators.own,
                credit_request.number,
                subject,
                credit_request.wanted,
                credit_request.least,
                credit_request.returned,
                self._kind,
                rank,
            )
            if self._coordinators.find_coordinator(subject) == self._coordinators.own:
                answer = self._answer(request, now_ms)
                if answer is not None:
                    self._apply(answer, now_ms)
                continue
            target = self._coordinators.find_next_hop(subject)
            if target is not None:
                yield SendToPeer(target, request)

    def receive_request(
        self, sender: NodeName, request: CreditAsk, now_ms: float
    ) -> Iterator[SendToPeer]:
        """Answer a node's credit request, or forward it to the coordinator."""
        coordinator = self._coordinators.find_coordinator(request.subject)
        if coordinator == self._coordinators.own:
            answer = self._answer(request, now_ms)
            if answer is not None:
                yield SendToPeer(sender, answer)
        elif coordinator in self._coordinators.linked and request.origin == sender:
            # Forwarded only once: nodes that disagree about the coordinator would
            # otherwise forward it forever.
            yield SendToPeer(coordinator, request)

    def receive_answer(
        self, answer: CreditAnswer, now_ms: float
    ) -> Iterator[SendToPeer]:
        """Apply a coordinator's answer, or forward it to the requesting node."""
        if answer.origin == self._coordinators.own:
            self._apply(answer, now_ms)
        elif answer.origin in self._coordinators.linked:
            yield SendToPeer(answer.origin, answer)

    def list_usage(self) -> list[BucketUsage]:
        """Return the usage of the limits that this node coordinates."""
        return self._buckets.list_usage(self._coordinators.compute_shares())

    def consume_answered_flag(self) -> bool:
        """Return whether an answer has arrived since the last call of this method."""
        is_answered, self._is_answered = self._is_answered, False
        return is_answered

    def prune_answers(self, now_ms: float) -> None:
        """Drop stored answers whose credit has expired."""
        self._sent_answers = {
            key: sent
            for key, sent in self._sent_answers.items()
            if now_ms - sent.at_ms <= MAX_CREDIT_MS
        }

    def _answer(self, request: CreditAsk, now_ms: float) -> CreditAnswer | None:
        """Return the answer to a credit request; None if no share is delegated here.

        A repeated request gets the stored answer. If it were granted again whenever an
        answer is slow, a limit would be exhausted without anything being sent.
        """
        key = (request.origin, request.subject, request.rank)
        sent = self._sent_answers.get(key)
        if sent is not None and sent.answer.number == request.number:
            return sent.answer
        if sent is not None and request.number in sent.earlier:
            # It took another path than the request after it. The credit that it
            # returns has been added already.
            return None
        limit = self._source.find_limit(request.subject)
        if limit is None:
            return self._answer_unlimited(request)
        self._coordinators.settle(now_ms)
        share = self._coordinators.compute_share(request.subject)
        if not share:
            return None
        self._buckets.return_credit(request.subject, limit, request.returned, share)
        denied = 0.0 if sent is None else sent.denied
        grant = self._buckets.grant(
            request.subject,
            limit,
            request.wanted,
            request.least,
            share,
            denied,
            request.rank,
        )
        answer = _build_answer(request, grant)
        denied = 0.0 if grant.granted else request.wanted
        earlier: tuple[int, ...] = ()
        if sent is not None:
            earlier = (sent.answer.number, *sent.earlier)[:MAX_EARLIER]
        self._sent_answers[key] = _SentAnswer(now_ms, answer, denied, earlier)
        return answer

    def _answer_unlimited(self, request: CreditAsk) -> CreditAnswer | None:
        match self._kind:
            case LimitKind.CUSTOMER:
                # The requesting node has read another version of the configuration.
                return _build_answer(request, CreditGrant(request.wanted, 0.0, 0.0))
            case LimitKind.REPLICA:
                # This node has not learned of the limit yet; the request is repeated.
                return None

    def _apply(self, answer: CreditAnswer, now_ms: float) -> None:
        self._is_answered = True
        grant = CreditGrant(answer.granted, answer.denial_ms, answer.retry_ms)
        key = build_account_key(answer.subject, answer.rank)
        self._source.accounts.apply_grant(key, answer.number, grant, now_ms)


def _build_answer(request: CreditAsk, grant: CreditGrant) -> CreditAnswer:
    return CreditAnswer(
        request.origin,
        request.number,
        request.subject,
        grant.granted,
        grant.denial_ms,
        grant.retry_ms,
        request.kind,
        request.rank,
    )
