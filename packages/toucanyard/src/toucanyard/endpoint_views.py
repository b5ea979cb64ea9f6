"""Keep the cache and load views of all endpoints within one limit on blocks."""

from __future__ import annotations

from collections.abc import Iterator, Set
from typing import Final

import msgspec

from toucanyard.cache_view import CacheView
from toucanyard.load_view import LoadReport, LoadView
from toucanyard.names import EndpointName
from toucanyard.requests import ModelTarget

MIN_SHARES: Final = 16
"""Minimum number of views that the limit on blocks is divided by."""
MAX_WHOLE_SHARES: Final = 64
"""Number of views up to which they share the whole limit; above it, half of it.

Larger fleets are watched in shares, so most views follow no events and hold only what
this node's own requests showed; and each view itself takes 1.3 KB.
"""


class EndpointView(msgspec.Struct):
    """What this node believes about one endpoint."""

    cache: CacheView
    load: LoadView
    dump_requested_ms: float = float("-inf")
    weights_version: str = ""
    """Weights version that it last reported; empty while unknown."""

    def find_chain(self, target: ModelTarget) -> tuple[int, ...]:
        """Return a request's chain under the weights that the endpoint reports.

        Replicas run two weights versions during a rollout. With the chain of the
        desired version alone, all replicas on the other version would look empty and
        prompts would be recomputed.
        """
        # Called for each scored endpoint, so the usual case returns early.
        if not self.has_other_weights(target):
            return target.chain
        return target.find_chain(self.weights_version)

    def has_other_weights(self, target: ModelTarget) -> bool:
        """Return whether the endpoint reports other weights than the desired ones."""
        weights = self.weights_version
        return bool(weights) and weights != target.weights_version

    def apply_report(self, report: LoadReport, now_ms: float) -> None:
        """Apply a load report unless it is late or of a replaced incarnation."""
        if self.cache.record_incarnation(report.incarnation):
            self.load.apply_report(report, now_ms)
            newest = self.load.report
            assert newest is not None
            self.weights_version = newest.weights_version

    def count_warm(self, target: ModelTarget) -> int:
        """Return how many leading blocks the endpoint is believed to hold."""
        return self.cache.count_warm(self.find_chain(target))


class EndpointViews:
    """Views by endpoint that share a limit of `max_blocks`, halved for many views."""

    __slots__ = ("_max_blocks", "_views")

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._views: dict[EndpointName, EndpointView] = {}

    def get(self, name: EndpointName) -> EndpointView:
        """Return the view of an endpoint, empty if nothing is known yet."""
        view = self._views.get(name)
        if view is None:
            count = len(self._views) + 1
            view = EndpointView(CacheView(self._compute_share(count)), LoadView())
            self._views[name] = view
            if count > MIN_SHARES and (count - 1).bit_count() == 1:
                self._resize(count)
        return view

    def retain(self, names: Set[EndpointName]) -> None:
        """Drop the views of other endpoints and divide the limit by the rest."""
        retained = {name: view for name, view in self._views.items() if name in names}
        if len(retained) < len(self._views):
            self._views = retained
            self._resize(len(retained))

    def find(self, name: EndpointName) -> EndpointView | None:
        """Return the view of an endpoint if it exists."""
        return self._views.get(name)

    def items(self) -> Iterator[tuple[EndpointName, EndpointView]]:
        """Return each endpoint and its view."""
        return iter(self._views.items())

    def count_blocks(self) -> int:
        """Return the number of known blocks over all endpoints."""
        return sum(len(view.cache) for view in self._views.values())

    def _compute_share(self, count: int) -> int:
        # The number of views is rounded up to a power of two, so that the limit holds
        # for any number of endpoints without resizing all views for each new one.
        shares = max(1 << (count - 1).bit_length(), MIN_SHARES)
        bound = self._max_blocks
        if shares > MAX_WHOLE_SHARES:
            bound //= 2
        return max(bound // shares, 1)

    def _resize(self, count: int) -> None:
        share = self._compute_share(count)
        for view in self._views.values():
            view.cache.resize(share)
