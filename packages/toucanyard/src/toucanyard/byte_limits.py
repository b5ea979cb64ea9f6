"""Settings that bound the bytes that a node accepts and holds of each kind of sender.

The bound of one message follows from what legitimate messages need. The sums count
what a node holds at one time; all of them together leave room for the node itself in
the smallest memory that it is given.
"""

from __future__ import annotations

import msgspec

from toucanyard.options import SizeBytes


class ByteLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on the bytes received from replicas, the store, peers and callers."""

    max_answer_bytes: SizeBytes = 4_194_304
    """One answer that is sent as a whole; it may be as large as a request."""
    max_event_bytes: SizeBytes = 1_000_000
    """What a stream may contain between two of its events."""
    max_error_bytes: SizeBytes = 256_000
    """Body of a response that reports an error."""
    max_held_answer_bytes: SizeBytes = 20_000_000
    max_report_bytes: SizeBytes = 256_000
    """One report of a replica or response to an order."""
    max_cache_page_bytes: SizeBytes = 2_000_000
    max_held_report_bytes: SizeBytes = 6_000_000
    max_store_page_bytes: SizeBytes = 4_000_000
    """One answer of the store, which sends about 1.4 MB at most, plus one record."""
    max_store_topic_bytes: SizeBytes = 6_000_000
    """All pages of one read of a topic together; 4,400 replicas take 3 MB."""
    max_held_store_bytes: SizeBytes = 12_000_000
    max_held_peer_bytes: SizeBytes = 9_000_000
    """Messages of peers and bodies of forwarded calls. One peer may use half of it, so
    the largest body that operators allow by default has room."""
    max_held_request_bytes: SizeBytes = 12_000_000
    """Bodies of the calls that a node is reading or serving."""
