"""Expect blocks that other nodes have just sent to preferred endpoints.

A node that has just started sees a prefix as cold everywhere although its peers may
have sent it to its preferred endpoint a moment ago: the first prefill takes over a
second, and cache events follow it. Sent to a fallback, the prefix would be computed
twice.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.endpoint_views import EndpointView
from toucanyard.scoring import EndpointCandidate

START_SHARE: Final = 0.3
"""Share of a cold prompt that its preferred endpoint is expected to hold when a node
starts."""
HALF_LIFE_MS: Final = 4_000.0
MIN_SHARE: Final = 0.05
"""Expected share below which the node relies on its own views alone."""
COLD_SHARE: Final = 0.5
"""Maximum known share of a prompt that still counts as cold."""
MIN_USED_SHARE: Final = 0.6
"""Share of a cache in use above which the endpoint has been in service for a while."""


def compute_expected_share(age_ms: float, node_count: int) -> float:
    """Return the share of a cold prompt that peers have probably sent already."""
    sent_by_others = (node_count - 1) / node_count
    return float(START_SHARE * sent_by_others * 0.5 ** (age_ms / HALF_LIFE_MS))


def expect_at_preferred(
    considered: Sequence[EndpointCandidate], blocks: int, share: float
) -> Sequence[EndpointCandidate]:
    """Return candidates that expect more of a cold prompt at preferred endpoints."""
    if share < MIN_SHARE:
        return considered
    known = max(each.believed_blocks for each in considered)
    if known > COLD_SHARE * blocks:
        return considered
    expected = known + share * (blocks - known)
    return [
        msgspec.structs.replace(
            each, believed_blocks=max(each.believed_blocks, expected)
        )
        if each.rank == 0 and _has_been_in_service(each.view)
        else each
        for each in considered
    ]


def _has_been_in_service(view: EndpointView) -> bool:
    # While the whole fleet is empty, prefixes have to be spread by load. Kept at their
    # preferred endpoints, those of a few large customers would fill one cache for a
    # long time.
    report = view.load.report
    if report is None or not report.capacity_blocks:
        return False
    return report.used_blocks > MIN_USED_SHARE * report.capacity_blocks
