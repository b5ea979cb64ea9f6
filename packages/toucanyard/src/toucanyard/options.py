"""Define all settings of a node, as one class with a section for each topic.

Decoding is strict: an unknown field, a wrong type or a value out of range is rejected
with the path of the field. Names of durations end in `_ms`, of sizes in `_bytes`.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from toucanyard.names import Address, DomainName, NodeName

DurationMs = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
SizeBytes = Annotated[int, msgspec.Meta(ge=1, le=2**40)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10**9)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
IpAndPort = Annotated[
    Address,
    msgspec.Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$"),
]


class ListenOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that a node listens on; port 0 lets the kernel choose."""

    callers: IpAndPort
    operators: IpAndPort
    peers: IpAndPort


class PlatformOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the platform's services."""

    log: IpAndPort
    vm_list: IpAndPort


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the server for callers."""

    max_connections: Count = 2_000
    max_body_bytes: SizeBytes = 4_000_000
    max_header_bytes: SizeBytes = 32_768
    header_timeout_ms: DurationMs = 5_000
    idle_timeout_ms: DurationMs = 60_000
    write_timeout_ms: DurationMs = 30_000
    """How long a caller may read nothing of a pending answer."""
    default_deadline_ms: DurationMs = 30_000
    max_deadline_ms: DurationMs = 300_000
    """Longest deadline of a caller; at most half of `claims.window_ms`."""
    locate_ttl_ms: DurationMs = 10_000


class StreamLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on streams and on connections to endpoints."""

    connect_timeout_ms: DurationMs = 1_000
    first_byte_timeout_ms: DurationMs = 10_000
    min_silence_ms: DurationMs = 600
    max_silence_ms: DurationMs = 3_000
    max_resumes: Count = 5
    replay_buffer_bytes: SizeBytes = 24_576
    """Bytes that one stream keeps for a caller that resumes it."""
    replay_keep_ms: DurationMs = 30_000
    kept_streams_bytes: SizeBytes = 8_000_000
    """Bytes that all ended streams keep together."""
    resume_grace_ms: DurationMs = 1_000
    """How long an engine continues for a caller that has disconnected."""
    max_idle_connections: Count = 32


class ClaimLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on requests that may run at most once."""

    window_ms: DurationMs = 600_000
    """How long a key is kept; shorter than the log's retention."""
    log_retention_ms: DurationMs = 3_600_000
    append_timeout_ms: DurationMs = 1_000
    gather_ms: DurationMs = 5
    """How long claims wait for others to share one append."""
    max_appends_per_s: Count = 30
    """This node's share of the log's append rate."""
    kept_answers_bytes: SizeBytes = 32_000_000
    max_keys: Count = 50_000
    """Maximum number of keys kept of each kind; when full, new keys are rejected."""
    max_claims: Count = 50_000
    """Maximum number of claims kept, of all nodes; when full, chosen keys are
    rejected."""
    max_customer_share: Share = 0.5
    """Maximum share of a node's own keys that one customer may use."""
    resend_ms: DurationMs = 100
    """Interval at which an unanswered request to a peer is sent again."""
    note_gather_ms: DurationMs = 1
    """Records to backup nodes are sent at once if none was sent for this long;
    otherwise they are batched."""
    ask_patience_ms: DurationMs = 300
    """How long the issuer of a key may not answer before its backup node is queried."""
    ledger_ms: DurationMs = 60_000
    """How long keys are issued on one ledger of a backup node."""
    hand_over_ms: DurationMs = 5_000
    """Maximum time of a planned stop to transfer ended keys to peers."""

    def __post_init__(self) -> None:
        """Reject a window that is not fully covered by the log's retention."""
        # If a claim expired from the log inside the window, its key could run again.
        if self.window_ms * 2 > self.log_retention_ms:
            raise ValueError("window_ms must be at most half of log_retention_ms")


class MembershipTimings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timings of failure detection and of messages between nodes."""

    vm_list_poll_ms: DurationMs = 1_000
    load_poll_ms: DurationMs = 250
    poll_timeout_ms: DurationMs = 500
    max_polls_per_s: Count = 64
    """Load polls of one node that monitors every endpoint."""
    max_shared_polls_per_s: Count = 4
    """Load polls of one node if nodes share the monitoring."""
    max_event_bytes_per_s: SizeBytes = 4_000_000
    """Cache events and block lists of one node that monitors every endpoint."""
    max_shared_event_bytes_per_s: SizeBytes = 400
    """The same for one node if nodes share the monitoring."""
    digest_interval_ms: DurationMs = 1_000
    max_peers: Count = 8
    suspect_after_ms: DurationMs = 2_000
    condemn_sources: Count = 2
    condemn_reports: Count = 3
    condemn_window_ms: DurationMs = 5_000
    max_condemned_share: Share = 0.34
    max_leaving_ms: DurationMs = 3_000


class ConfigurationTimings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timings of the configuration's synchronization."""

    log_poll_wait_ms: DurationMs = 1_000
    stale_after_ms: DurationMs = 5_000
    checkpoint_after_ms: DurationMs = 900_000


class PlacementOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the state that one node keeps for placement."""

    max_view_blocks: Count = 400_000
    """Maximum number of cached blocks tracked over all endpoints; half of it if there
    are more than 64 endpoints."""


class AdmissionLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the requests that one node admits."""

    max_queued: Count = 1_000
    max_queued_per_customer: Count = 500
    retry_budget_share: Share = 0.1
    """Maximum retries as a share of first attempts."""
    max_attempts: Count = 3
    max_wait_ms: DurationMs = 4_000
    """Maximum expected wait in the queue; requests with a longer one are rejected."""
    target_wait_ms: DurationMs = 500
    """Wait at an endpoint above which its limit is reduced."""
    max_customer_share: Share = 0.8
    """Maximum share of a pool's slots on this node that one customer may use."""


class DrainTimings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timings of a planned stop."""

    min_notice_ms: DurationMs = 2_000
    max_drain_ms: DurationMs = 120_000


class StatsdOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Destination of counters and quantiles."""

    address: IpAndPort
    prefix: str = "toucanyard"
    interval_ms: DurationMs = 10_000


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one node."""

    name: NodeName
    domain: DomainName
    listen: ListenOptions
    platform: PlatformOptions
    peer_secrets: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    """Secrets shared by nodes, newest first: the first signs, each is accepted."""
    bootstrap_operator_hashes: tuple[str, ...] = ()
    """Key hashes accepted from operators while the configuration has no operators."""
    callers: CallerLimits = CallerLimits()
    streams: StreamLimits = StreamLimits()
    claims: ClaimLimits = ClaimLimits()
    membership: MembershipTimings = MembershipTimings()
    configuration: ConfigurationTimings = ConfigurationTimings()
    placement: PlacementOptions = PlacementOptions()
    admission: AdmissionLimits = AdmissionLimits()
    drain: DrainTimings = DrainTimings()
    statsd: StatsdOptions | None = None
