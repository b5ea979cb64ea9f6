"""Judge from answers and errors whether an endpoint is dead, in three ways.

Each detector holds what one node has seen of one endpoint. `ErrorRun` is the one that
membership uses; the others stand for comparison in `bench_detectors`, whose figures
are in docs/design/membership.md. `SourceCount` joins the verdicts of several nodes.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final, Protocol

_LN_10: Final = math.log(10.0)


class Detector(Protocol):
    """What one node knows of the life of one endpoint."""

    def record_success(self, now_ms: float) -> None:
        """Take in an answer."""

    def record_error(self, now_ms: float) -> None:
        """Take in a failed try."""

    def is_suspect(self, now_ms: float) -> bool:
        """Tell whether the endpoint looks dead from here."""


class TimeoutDetector:
    """Suspect an endpoint from which nothing came for a fixed time."""

    __slots__ = ("_last_ok_ms", "_timeout_ms")

    def __init__(self, timeout_ms: float, now_ms: float) -> None:
        self._timeout_ms = timeout_ms
        self._last_ok_ms = now_ms

    def record_success(self, now_ms: float) -> None:
        """Take in an answer."""
        self._last_ok_ms = now_ms

    def record_error(self, now_ms: float) -> None:
        """Pass over: only silence counts."""

    def is_suspect(self, now_ms: float) -> bool:
        """Tell whether the silence has lasted too long."""
        return now_ms - self._last_ok_ms > self._timeout_ms


class ErrorRunDetector:
    """Suspect an endpoint after N errors within T and no answer in between.

    Invariant: `_errors_ms` holds only errors after the last answer, N at most.
    """

    __slots__ = ("_errors_ms", "_window_ms")

    def __init__(self, errors: int, window_ms: float) -> None:
        self._errors_ms: deque[float] = deque(maxlen=errors)
        self._window_ms = window_ms

    def record_success(self, now_ms: float) -> None:
        """Take in an answer."""
        self._errors_ms.clear()

    def record_error(self, now_ms: float) -> None:
        """Take in a failed try."""
        self._errors_ms.append(now_ms)

    def is_suspect(self, now_ms: float) -> bool:
        """Tell whether enough errors came together."""
        errors = self._errors_ms
        if len(errors) < (errors.maxlen or 1):
            return False
        return errors[-1] - errors[0] <= self._window_ms

    def has_error(self) -> bool:
        """Tell whether the last try failed."""
        return bool(self._errors_ms)


class AccrualDetector:
    """Suspect an endpoint when its silence is improbable after its own history.

    The gaps between answers are taken as normally distributed; phi is minus the
    logarithm of the probability of a longer gap (Hayashibara and others, 2004).
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
        """Start as if answers had come every `interval_ms`.

        The deviation is taken as a quarter of the interval at least, or as more.
        """
        self._threshold = threshold
        self._gaps_ms: deque[float] = deque([interval_ms] * 4, maxlen=gaps)
        self._last_ok_ms = now_ms
        self._min_deviation_ms = max(interval_ms / 4, min_deviation_ms)

    def record_success(self, now_ms: float) -> None:
        """Take in an answer."""
        self._gaps_ms.append(now_ms - self._last_ok_ms)
        self._last_ok_ms = now_ms

    def record_error(self, now_ms: float) -> None:
        """Pass over: only the gaps between answers count."""

    def is_suspect(self, now_ms: float) -> bool:
        """Tell whether phi is over the threshold."""
        return self.compute_phi(now_ms) > self._threshold

    def compute_phi(self, now_ms: float) -> float:
        """Return minus the decimal logarithm of the chance of a longer gap."""
        count = len(self._gaps_ms)
        mean = sum(self._gaps_ms) / count
        variance = sum((gap - mean) ** 2 for gap in self._gaps_ms) / count
        deviation = max(math.sqrt(variance), self._min_deviation_ms)
        distance = (now_ms - self._last_ok_ms - mean) / deviation
        if distance > 30:
            # The tail underflows; its leading term is exact enough out here.
            return distance * distance / 2 / _LN_10
        return -math.log10(0.5 * math.erfc(distance / math.sqrt(2)))


class SourceQuorum:
    """Condemn an endpoint on the word of S sources within T.

    After the rule of MySQL Fabric's WL#7388, N reports from S sources within an
    interval T; a source counts its own N before it reports, which saves messages.
    """

    __slots__ = ("_reports_ms", "_sources", "_window_ms")

    def __init__(self, sources: int, window_ms: float) -> None:
        self._sources = sources
        self._window_ms = window_ms
        self._reports_ms: dict[str, float] = {}

    def record_report(self, source: str, at_ms: float) -> None:
        """Take in that a source suspected the endpoint at a time."""
        self._reports_ms[source] = max(at_ms, self._reports_ms.get(source, at_ms))

    def withdraw(self, source: str) -> None:
        """Forget what a source said."""
        self._reports_ms.pop(source, None)

    def clear(self) -> None:
        """Forget every report."""
        self._reports_ms.clear()

    def find_sources(self, now_ms: float) -> list[str]:
        """Return the sources whose word still counts."""
        return [
            source
            for source, at_ms in self._reports_ms.items()
            if now_ms - at_ms <= self._window_ms
        ]

    def is_condemned(self, now_ms: float) -> bool:
        """Tell whether enough sources agree."""
        return len(self.find_sources(now_ms)) >= self._sources

    def prune(self, now_ms: float) -> bool:
        """Drop old reports; return whether none is left."""
        for source in set(self._reports_ms).difference(self.find_sources(now_ms)):
            del self._reports_ms[source]
        return not self._reports_ms
