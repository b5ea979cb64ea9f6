"""Hold answered calls until it is known whether their replicas survived them.

A replica may answer a call and then crash during cleanup, so an answer counts only
after a delay. Some answers also need a later sign of life of their replica: those that
ended with their connection, which look the same if the replica ended, and those to
requests under which replicas have crashed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.names import EndpointName, Fingerprint

SURVIVAL_DELAY_MS: Final = 500.0
"""How long a replica must stay up after its answer for the request to count as
survived."""
UNCONFIRMED_TTL_MS: Final = 5_000.0
"""How long an answer waits for a sign of life of its replica."""


class AnsweredCall(msgspec.Struct, frozen=True):
    """A call that a replica has answered, or that ended as if it had."""

    replica: EndpointName
    traits: tuple[Fingerprint, ...]
    sent_ms: float
    at_ms: float
    begun_ms: float | None = None
    """When the first event of the answer arrived; None if there was none."""
    is_probed: bool = False
    """Whether its replica is probed for a sign of life."""


class AnsweredCalls:
    """The answered calls of one node whose replicas may yet turn out to have crashed.

    Invariant: a call is returned at most once, as survived or as running at a crash.
    """

    __slots__ = ("_answered", "_confirmed", "_unconfirmed")

    def __init__(self) -> None:
        self._answered: deque[AnsweredCall] = deque()
        """Ordered by the time of the answer."""
        self._confirmed: list[AnsweredCall] = []
        """Calls whose replicas have shown a sign of life after the delay."""
        self._unconfirmed: dict[EndpointName, list[AnsweredCall]] = {}

    def add(self, call: AnsweredCall) -> None:
        """Add a call that counts as survived after the delay."""
        self._answered.append(call)

    def add_unconfirmed(self, call: AnsweredCall) -> None:
        """Add a call that needs a sign of life of its replica after the delay."""
        self._unconfirmed.setdefault(call.replica, []).append(call)

    def confirm(self, replica: EndpointName, asked_ms: float) -> None:
        """Record that a replica has answered something that was asked at `asked_ms`."""
        calls = self._unconfirmed.get(replica)
        if not calls:
            return
        until_ms = asked_ms - SURVIVAL_DELAY_MS
        self._confirmed += [each for each in calls if each.at_ms <= until_ms]
        self._keep(replica, [each for each in calls if each.at_ms > until_ms])

    def take_survived(self, now_ms: float) -> Iterator[AnsweredCall]:
        """Return and remove the calls that their replicas have survived."""
        confirmed, self._confirmed = self._confirmed, []
        yield from confirmed
        while self._answered and now_ms - self._answered[0].at_ms >= SURVIVAL_DELAY_MS:
            yield self._answered.popleft()
        for replica, calls in list(self._unconfirmed.items()):
            fresh = [each for each in calls if now_ms - each.at_ms < UNCONFIRMED_TTL_MS]
            self._keep(replica, fresh)

    def take_last(self, replica: EndpointName) -> list[AnsweredCall]:
        """Return and remove the last calls of an incarnation that has ended."""
        found = [each for each in self._answered if each.replica == replica]
        if found:
            rest = (each for each in self._answered if each.replica != replica)
            self._answered = deque(rest)
        unconfirmed = self._unconfirmed.pop(replica, [])
        last_ms = max((each.at_ms for each in unconfirmed), default=0.0)
        # Earlier ones ended by themselves.
        return found + [
            each for each in unconfirmed if last_ms - each.at_ms < SURVIVAL_DELAY_MS
        ]

    def list_probed(self) -> list[EndpointName]:
        """Return the replicas to probe for a sign of life."""
        return [
            replica
            for replica, calls in self._unconfirmed.items()
            if any(each.is_probed for each in calls)
        ]

    def _keep(self, replica: EndpointName, calls: list[AnsweredCall]) -> None:
        if calls:
            self._unconfirmed[replica] = calls
        else:
            self._unconfirmed.pop(replica, None)
