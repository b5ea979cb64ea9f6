"""Hold the credit that rate limits have granted to one node.

The subject of a limit is the customer or the replica that it applies to.

Credit is requested when model requests need it and expires soon after: credit held
without use would be missing at other nodes, and could be spent in a later window than
the one in which it was granted.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterator
from typing import Final

import msgspec

from toucanyard.limit_buckets import CreditGrant
from toucanyard.names import RequestId
from toucanyard.rate_limits import MIN_CREDIT_MS
from toucanyard.scarce_credit.account_keys import split_account_key

REQUEST_TIMEOUT_MS: Final = 200.0
"""Time without an answer after which a credit request is sent again."""
MIN_DENIAL_MS: Final = 25.0
"""Minimum time between a denial and the next credit request; otherwise a flood would
send one for each of its requests."""
MAX_ANSWERED: Final = 32
"""Numbers of answered credit requests that are kept for each subject. A request is sent
every REQUEST_TIMEOUT_MS until it is answered, so that copies of its answer may follow
for as long as the coordinator was late."""
MAX_DENIAL_MS: Final = 500.0
"""Maximum time for which a denial is valid: by then another node may be the limit's
coordinator."""


class CreditRequest(msgspec.Struct, frozen=True):
    """A node's request for credit to the coordinator of a limit."""

    number: int
    subject: str
    wanted: float
    least: float
    """Cost of the first waiting request; a smaller grant can't be used."""
    returned: float
    """Previously granted credit that was not used."""


class Denial(msgspec.Struct, frozen=True):
    """Answer of a limit's coordinator that granted nothing."""

    denial_ms: float
    """Time until the next credit request."""
    retry_ms: float
    """Estimated time until a grant, after all requests that were denied earlier."""
    age_ms: float


class _Account:
    __slots__ = (
        "answered",
        "credit",
        "credit_request",
        "denied_ms",
        "denied_until_ms",
        "requested_ms",
        "retry_at_ms",
        "returned",
        "sent_ms",
        "ttl_ms",
        "until_ms",
        "waiting",
    )

    def __init__(self) -> None:
        self.answered: deque[int] = deque(maxlen=MAX_ANSWERED)
        """Numbers of the credit requests whose answers were applied last."""
        self.credit = 0.0
        self.ttl_ms = MIN_CREDIT_MS
        """Time from the credit request until the credit expires."""
        self.until_ms = float("-inf")
        self.credit_request: CreditRequest | None = None
        """The outstanding credit request, if any."""
        self.requested_ms = float("-inf")
        self.sent_ms = float("-inf")
        """When the credit request was last sent."""
        self.waiting: dict[RequestId, float] = {}
        """Costs of the model requests that wait for credit, in order of arrival."""
        self.returned = 0.0
        self.denied_until_ms = float("-inf")
        self.denied_ms = float("-inf")
        self.retry_at_ms = float("-inf")


class CreditAccounts:
    """Credit by subject. Invariant: what is taken was granted before, and only once."""

    __slots__ = ("_accounts", "_first_number", "_waiting_subjects", "request_count")

    def __init__(self, first_number: int = 0) -> None:
        self._first_number = first_number
        """Differs from that of the previous incarnation, whose answers may still be
        stored at coordinators."""
        self._accounts: dict[str, _Account] = {}
        self._waiting_subjects: dict[str, None] = {}
        """Subjects with model requests that wait for credit."""
        self.request_count = 0
        """Credit requests so far."""

    def take(
        self,
        request_id: RequestId,
        subject: str,
        cost: float,
        ttl_ms: float,
        now_ms: float,
    ) -> float | None:
        """Take credit for a request and return its expiry; None if it has to wait."""
        account = self._find_account(subject, now_ms)
        account.ttl_ms = ttl_ms
        if account.credit >= cost:
            account.credit -= cost
            account.waiting.pop(request_id, None)
            return account.until_ms
        account.waiting[request_id] = cost
        self._waiting_subjects[subject] = None
        return None

    def find_credit(self, subject: str, now_ms: float) -> float:
        """Return the credit that may be spent now."""
        account = self._accounts.get(subject)
        if account is None or now_ms >= account.until_ms:
            return 0.0
        return account.credit

    def find_denial(self, subject: str, now_ms: float) -> Denial | None:
        """Return the denial in force; None if the coordinator may grant now."""
        account = self._accounts.get(subject)
        if account is None or account.denied_until_ms <= now_ms:
            return None
        denial_ms = account.denied_until_ms - now_ms
        retry_ms = max(account.retry_at_ms - now_ms, denial_ms)
        return Denial(denial_ms, retry_ms, now_ms - account.denied_ms)

    def withdraw(self, request_id: RequestId, subject: str) -> None:
        """Remove a request from those that wait for credit."""
        account = self._accounts.get(subject)
        if account is not None:
            account.waiting.pop(request_id, None)

    def return_unused(self, subject: str, credit: float, now_ms: float) -> None:
        """Record credit that a request took and did not use, to be returned."""
        self._find_account(subject, now_ms).returned += credit

    def has_requests(self) -> bool:
        """Return whether model requests may be waiting for credit."""
        return bool(self._waiting_subjects)

    def retain(self, subjects: Collection[str]) -> None:
        """Drop the accounts of subjects that no longer have a limit."""
        for key in list(self._accounts):
            if split_account_key(key)[0] not in subjects:
                del self._accounts[key]
                self._waiting_subjects.pop(key, None)

    def forget_denials(self, subject: str) -> None:
        """Drop the denials in force for a limit that has changed."""
        for key, account in self._accounts.items():
            if split_account_key(key)[0] == subject:
                account.denied_until_ms = float("-inf")

    def list_requests(self, now_ms: float) -> Iterator[CreditRequest]:
        """Return the credit requests that have to be sent now."""
        for subject in list(self._waiting_subjects):
            account = self._find_account(subject, now_ms)
            if not account.waiting:
                del self._waiting_subjects[subject]
                continue
            is_covered = account.credit >= sum(account.waiting.values())
            if is_covered or account.denied_until_ms > now_ms:
                continue
            credit_request = account.credit_request
            if (
                credit_request is None
                or now_ms - account.requested_ms >= account.ttl_ms
            ):
                yield self._issue_request(subject, account, now_ms)
            elif now_ms - account.sent_ms >= REQUEST_TIMEOUT_MS:
                account.sent_ms = now_ms
                yield credit_request

    def apply_grant(
        self, subject: str, number: int, grant: CreditGrant, now_ms: float
    ) -> None:
        """Apply the answer to a credit request; a late answer grants nothing.

        A further answer is a copy, whose credit has been spent or returned already. It
        is ignored also if another coordinator granted it: credit that is lost expires,
        while credit that is returned twice exceeds the limit.
        """
        account = self._accounts.get(subject)
        if account is None or number in account.answered:
            return
        account.answered.append(number)
        credit_request = account.credit_request
        if credit_request is None or credit_request.number != number:
            account.returned += grant.granted
            return
        account.credit_request = None
        self._expire(account, now_ms)
        until_ms = account.requested_ms + account.ttl_ms
        if until_ms > now_ms:
            account.credit += grant.granted
            account.until_ms = until_ms
        else:
            account.returned += grant.granted
        if not grant.granted:
            denial_ms = min(max(grant.denial_ms, MIN_DENIAL_MS), MAX_DENIAL_MS)
            account.denied_ms = now_ms
            account.denied_until_ms = now_ms + denial_ms
            account.retry_at_ms = now_ms + max(grant.retry_ms, denial_ms)

    def _issue_request(
        self, subject: str, account: _Account, now_ms: float
    ) -> CreditRequest:
        self.request_count += 1
        account.requested_ms = account.sent_ms = now_ms
        # The remaining credit would expire before the new grant does, so return it.
        returned, account.returned = account.returned + account.credit, 0.0
        account.credit = 0.0
        account.credit_request = CreditRequest(
            self._first_number + self.request_count,
            subject,
            sum(account.waiting.values()),
            next(iter(account.waiting.values())),
            returned,
        )
        return account.credit_request

    def _find_account(self, subject: str, now_ms: float) -> _Account:
        account = self._accounts.get(subject)
        if account is None:
            account = self._accounts[subject] = _Account()
        self._expire(account, now_ms)
        return account

    def _expire(self, account: _Account, now_ms: float) -> None:
        if account.credit and now_ms >= account.until_ms:
            account.returned += account.credit
            account.credit = 0.0
