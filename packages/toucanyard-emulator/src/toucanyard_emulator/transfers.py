"""Schedule transfers of prompt blocks over links that carry one at a time."""

from __future__ import annotations

CROSS_DOMAIN_FACTOR = 2.0
"""Factor by which a transfer between failure domains takes longer."""
MAX_TRANSFER_WAIT_MS = 2_000.0
"""A transfer that would have to wait longer is not started."""


class Link:
    """The network link of an engine or a prompt store."""

    __slots__ = ("domain", "free_ms", "mbps")

    def __init__(self, mbps: float, domain: str) -> None:
        self.mbps = mbps
        self.domain = domain
        self.free_ms = 0.0


def plan_transfer(
    source: Link, target: Link, size_bytes: float, now_ms: float
) -> float | None:
    """Reserve both links and return the end time, or None if they are too busy."""
    begin_ms = max(now_ms, source.free_ms, target.free_ms)
    if begin_ms - now_ms > MAX_TRANSFER_WAIT_MS:
        return None
    duration_ms = size_bytes * 8 / (min(source.mbps, target.mbps) * 1_000)
    if source.domain != target.domain:
        duration_ms *= CROSS_DOMAIN_FACTOR
    source.free_ms = target.free_ms = begin_ms + duration_ms
    return begin_ms + duration_ms
