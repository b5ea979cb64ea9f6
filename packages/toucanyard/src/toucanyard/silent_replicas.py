"""Know which replicas were silent or heard lately, to judge what a hedge may gain.

Where all replicas of a service are silent at the same time, their silence says nothing
about any one of them, and a hedge at another one gains nothing. Where a replica
answers others, a call without an answer most likely waits there for a slot.
"""

from __future__ import annotations

from typing import Final

from toucanyard.names import EndpointName

MAX_PAUSE_MS: Final = 1_500.0
"""Time after the first timeout of an attempt for which a sound replica may pause."""
MAX_COMMON_MS: Final = 2 * MAX_PAUSE_MS
"""Time after which a silent attempt is hedged even where others fall silent in turn."""
MAX_QUIET_MS: Final = 1_000.0
"""Time without a first event or an end after which a busy replica may have died."""

GO_ON_MS: Final = 500.0
"""Time after the end of a silence in which replicas that paused together are all
heard."""
FORGET_MS: Final = 30_000.0
"""How long a replica that is no longer heard is kept."""


class SilentReplicas:
    """When the replicas of one node's calls were last silent and last heard."""

    __slots__ = ("_heard_ms", "_silent_ms", "_went_on_ms")

    def __init__(self) -> None:
        self._silent_ms: dict[EndpointName, float] = {}
        """Since when attempts were found silent, of replicas not heard since."""
        self._heard_ms: dict[EndpointName, float] = {}
        self._went_on_ms: dict[EndpointName, float] = {}
        """When replicas that had been silent were heard again."""

    def record_silent(self, replica: EndpointName, now_ms: float) -> None:
        """Record that an attempt at a replica is silent."""
        self._silent_ms.setdefault(replica, now_ms)

    def record_heard(self, replica: EndpointName, now_ms: float) -> None:
        """Record that a replica has sent part of an answer."""
        if self._silent_ms.pop(replica, None) is not None:
            self._went_on_ms[replica] = now_ms
        self._heard_ms[replica] = now_ms

    def may_pause(self, replica: EndpointName, now_ms: float) -> bool:
        """Return whether a replica is silent, or just was, as in a common pause."""
        silent_ms = self._silent_ms.get(replica)
        if silent_ms is not None:
            return now_ms - silent_ms < MAX_PAUSE_MS
        went_on_ms = self._went_on_ms.get(replica)
        return went_on_ms is not None and now_ms - went_on_ms < GO_ON_MS

    def is_answering(self, replica: EndpointName, now_ms: float) -> bool:
        """Return whether a replica was heard lately."""
        heard_ms = self._heard_ms.get(replica)
        return heard_ms is not None and now_ms - heard_ms < MAX_QUIET_MS

    def prune(self, now_ms: float) -> None:
        """Forget what is too old to count."""
        oldest_ms = now_ms - FORGET_MS
        self._silent_ms = {k: v for k, v in self._silent_ms.items() if v > oldest_ms}
        self._went_on_ms = {k: v for k, v in self._went_on_ms.items() if v > oldest_ms}
        self._heard_ms = {k: v for k, v in self._heard_ms.items() if v > oldest_ms}
