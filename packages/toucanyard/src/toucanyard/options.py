"""Every setting of a node, as one class with a section for each matter.

Decoded strictly: an unknown field, a wrong type or a value out of range is refused
with the path of the field. Durations end in `_ms`, sizes in `_bytes`.
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
    """Where the platform's services are."""

    log: IpAndPort
    vm_list: IpAndPort


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the callers' face."""

    max_connections: Count = 2_000
    max_body_bytes: SizeBytes = 4_000_000
    max_header_bytes: SizeBytes = 32_768
    header_timeout_ms: DurationMs = 5_000
    idle_timeout_ms: DurationMs = 60_000
    write_timeout_ms: DurationMs = 30_000
    """How long a caller may take nothing of an answer that waits for it."""
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
    """What one stream keeps for a caller that resumes it."""
    replay_keep_ms: DurationMs = 30_000
    kept_streams_bytes: SizeBytes = 8_000_000
    """What all streams that have ended keep together."""
    resume_grace_ms: DurationMs = 1_000
    """How long an engine goes on for a caller that went away."""
    max_idle_connections: Count = 32


class ClaimLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on requests that may run at most once."""

    window_ms: DurationMs = 600_000
    """How long a key is remembered; shorter than the log's retention."""
    log_retention_ms: DurationMs = 3_600_000
    append_timeout_ms: DurationMs = 1_000
    gather_ms: DurationMs = 5
    """How long claims wait for others, so that they share one append."""
    max_appends_per_s: Count = 30
    """This node's share of the log's rate."""
    kept_answers_bytes: SizeBytes = 32_000_000
    max_keys: Count = 50_000
    """Most keys remembered of each sort; when full, new keys are refused."""
    max_claims: Count = 50_000
    """Most claims remembered, of all nodes; when full, chosen keys are refused."""
    max_customer_share: Share = 0.5
    """Most of a node's own keys that one customer may take."""
    resend_ms: DurationMs = 100
    """How often a question to a peer that has not answered is sent again."""
    note_gather_ms: DurationMs = 1
    """Notes to witnesses go out at once if none did for this long, else together."""
    ask_patience_ms: DurationMs = 300
    """How long the issuer of a key may be silent before its witness is asked."""
    ledger_ms: DurationMs = 60_000
    """How long keys are issued on one ledger of a witness."""
    hand_over_ms: DurationMs = 5_000
    """Longest time that a planned stop takes to hand ended keys to peers."""

    def __post_init__(self) -> None:
        """Refuse a window that the log may have forgotten a part of."""
        # A claim that left the log inside the window would let its key run again.
        if self.window_ms * 2 > self.log_retention_ms:
            raise ValueError("window_ms must be at most half of log_retention_ms")


class MembershipTimings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timings of failure detection and of what nodes tell each other."""

    vm_list_poll_ms: DurationMs = 1_000
    load_poll_ms: DurationMs = 250
    poll_timeout_ms: DurationMs = 500
    max_polls_per_s: Count = 64
    """Load polls of one node that watches every endpoint."""
    max_shared_polls_per_s: Count = 4
    """Load polls of one node where nodes share the watching."""
    max_event_bytes_per_s: SizeBytes = 4_000_000
    """Cache events and lists of blocks of one node that watches every endpoint."""
    max_shared_event_bytes_per_s: SizeBytes = 400
    """The same of one node where nodes share the watching."""
    digest_interval_ms: DurationMs = 1_000
    max_peers: Count = 8
    suspect_after_ms: DurationMs = 2_000
    condemn_sources: Count = 2
    condemn_reports: Count = 3
    condemn_window_ms: DurationMs = 5_000
    max_condemned_share: Share = 0.34
    max_leaving_ms: DurationMs = 3_000


class ConfigurationTimings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timings of the configuration's spread."""

    log_poll_wait_ms: DurationMs = 1_000
    stale_after_ms: DurationMs = 5_000
    checkpoint_after_ms: DurationMs = 900_000


class PlacementOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on what one node knows for placement."""

    max_view_blocks: Count = 400_000
    """Cached blocks known over all endpoints; half of it above 64 endpoints."""


class AdmissionLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on what one node lets in."""

    max_queued: Count = 1_000
    max_queued_per_customer: Count = 500
    retry_budget_share: Share = 0.1
    """Retries allowed as a share of first tries."""
    max_attempts: Count = 3
    max_wait_ms: DurationMs = 4_000
    """Longest expected wait in the queue; what would wait longer is refused."""
    target_wait_ms: DurationMs = 500
    """Wait at an endpoint above which its limit shrinks."""
    max_customer_share: Share = 0.8
    """Share of a pool's places on this node that one customer may hold."""


class DrainTimings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timings of a planned stop."""

    min_notice_ms: DurationMs = 2_000
    max_drain_ms: DurationMs = 120_000


class StatsdOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where counts and quantiles are sent."""

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
    """Hashed keys accepted from operators while the configuration names none."""
    callers: CallerLimits = CallerLimits()
    streams: StreamLimits = StreamLimits()
    claims: ClaimLimits = ClaimLimits()
    membership: MembershipTimings = MembershipTimings()
    configuration: ConfigurationTimings = ConfigurationTimings()
    placement: PlacementOptions = PlacementOptions()
    admission: AdmissionLimits = AdmissionLimits()
    drain: DrainTimings = DrainTimings()
    statsd: StatsdOptions | None = None
