"""Detect failed endpoints from answers and errors, by three alternative rules.

Each detector holds what one node has observed of one endpoint. Membership uses
`ErrorRunDetector`; the others are there for comparison in `bench_detectors`, whose
results are in docs/design/membership.md. `SourceQuorum` combines the suspicions of
several nodes.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final, Protocol

_LN_10: Final = math.log(10.0)


class Detector(Protocol):
    """Failure detector of one node for one endpoint."""

    def record_success(self, now_ms: float) -> None:
        """Record an answer."""

    def record_error(self, now_ms: float) -> None:
        """Record a failed attempt."""

    def is_suspect(self, now_ms: float) -> bool:
        """Return whether this node suspects the endpoint."""


class TimeoutDetector:
    """Suspects an endpoint that has not answered for a fixed time."""

    __slots__ = ("_last_ok_ms", "_timeout_ms")

    def __init__(self, timeout_ms: float, now_ms: float) -> None:
        self._timeout_ms = timeout_ms
        self._last_ok_ms = now_ms

    def record_success(self, now_ms: float) -> None:
        """Record an answer."""
        self._last_ok_ms = now_ms

    def record_error(self, now_ms: float) -> None:
        """Do nothing: only the time without an answer counts."""

    def is_suspect(self, now_ms: float) -> bool:
        """Return whether the last answer is older than the timeout."""
        return now_ms - self._last_ok_ms > self._timeout_ms


class ErrorRunDetector:
    """Suspects an endpoint after N errors within T and no answer in between.

    Invariant: `_errors_ms` holds only errors after the last answer, N at most.
    """

    __slots__ = ("_errors_ms", "_window_ms")

    def __init__(self, errors: int, window_ms: float) -> None:
        self._errors_ms: deque[float] = deque(maxlen=errors)
        self._window_ms = window_ms

    def record_success(self, now_ms: float) -> None:
        """Record an answer."""
        self._errors_ms.clear()

    def record_error(self, now_ms: float) -> None:
        """Record a failed attempt."""
        self._errors_ms.append(now_ms)

    def is_suspect(self, now_ms: float) -> bool:
        """Return whether N errors occurred within the window."""
        errors = self._errors_ms
        if len(errors) < (errors.maxlen or 1):
            return False
        return errors[-1] - errors[0] <= self._window_ms

    def has_error(self) -> bool:
        """Return whether the last attempt failed."""
        return bool(self._errors_ms)


class AccrualDetector:
    """Suspects an endpoint whose silence is improbable given its past gaps.

    The phi accrual failure detector (Hayashibara et al., 2004). Gaps between answers
    are assumed to be normally distributed; phi is minus the decimal logarithm of the
    probability of a longer gap.
    """

    __slots__ = ("_gaps_ms", "_last_ok_ms", "_min_deviation_ms", "_threshold")

    def __init__(
        self,
        threshold: float,
        interval_ms: float,
        now_ms: float,
        min_deviation_ms: float = 0.0,
        gaps: int = 32,
    ) -> None:
        """Initialize the history as if answers had come every `interval_ms`.

        The deviation is at least a quarter of the interval and `min_deviation_ms`.
        """
        self._threshold = threshold
        self._gaps_ms: deque[float] = deque([interval_ms] * 4, maxlen=gaps)
        self._last_ok_ms = now_ms
        self._min_deviation_ms = max(interval_ms / 4, min_deviation_ms)

    def record_success(self, now_ms: float) -> None:
        """Record an answer."""
        self._gaps_ms.append(now_ms - self._last_ok_ms)
        self._last_ok_ms = now_ms

    def record_error(self, now_ms: float) -> None:
        """Do nothing: only the gaps between answers count."""

    def is_suspect(self, now_ms: float) -> bool:
        """Return whether phi exceeds the threshold."""
        return self.compute_phi(now_ms) > self._threshold

    def compute_phi(self, now_ms: float) -> float:
        """Return minus the decimal logarithm of the probability of a longer gap."""
        count = len(self._gaps_ms)
        mean = sum(self._gaps_ms) / count
        variance = sum((gap - mean) ** 2 for gap in self._gaps_ms) / count
        deviation = max(math.sqrt(variance), self._min_deviation_ms)
        distance = (now_ms - self._last_ok_ms - mean) / deviation
        if distance > 30:
            # erfc underflows here; the leading term of the tail is accurate enough.
            return distance * distance / 2 / _LN_10
        return -math.log10(0.5 * math.erfc(distance / math.sqrt(2)))


class SourceQuorum:
    """Condemns an endpoint that S sources suspect within T.

    Follows the rule of MySQL Fabric's WL#7388: N reports from S sources within an
    interval T. Each source counts its own N before it reports, which saves messages.
    """

    __slots__ = ("_reports_ms", "_sources", "_window_ms")

    def __init__(self, sources: int, window_ms: float) -> None:
        self._sources = sources
        self._window_ms = window_ms
        self._reports_ms: dict[str, float] = {}

    def record_report(self, source: str, at_ms: float) -> None:
        """Record that a source suspected the endpoint at `at_ms`."""
        self._reports_ms[source] = max(at_ms, self._reports_ms.get(source, at_ms))

    def withdraw(self, source: str) -> None:
        """Remove the report of a source."""
        self._reports_ms.pop(source, None)

    def clear(self) -> None:
        """Remove all reports."""
        self._reports_ms.clear()

    def find_sources(self, now_ms: float) -> list[str]:
        """Return the sources whose reports have not expired."""
        return [
            source
            for source, at_ms in self._reports_ms.items()
            if now_ms - at_ms <= self._window_ms
        ]

    def is_condemned(self, now_ms: float) -> bool:
        """Return whether enough sources suspect the endpoint."""
        return len(self.find_sources(now_ms)) >= self._sources

    def prune(self, now_ms: float) -> bool:
        """Drop expired reports; return whether none is left."""
        for source in set(self._reports_ms).difference(self.find_sources(now_ms)):
            del self._reports_ms[source]
        return not self._reports_ms
