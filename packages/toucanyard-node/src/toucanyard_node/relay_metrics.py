"""Count relayed calls, record their latencies and render all metrics as text.

Each value is one line `name{label="value"} number` in the text exposition format. The
number of customers and call classes is bounded: those that appear after the limit is
reached share one group.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Final

from hdrh.histogram import HdrHistogram

from toucanyard.errorcodes import ErrorKind
from toucanyard.keyed_view import Topic
from toucanyard.link_messages import LimitKind
from toucanyard.relay_core import RelayCore
from toucanyard.relay_requests import RelayRequest
from toucanyard.requests import Repeatability
from toucanyard_node.closings import Closings
from toucanyard_node.held_bytes import ByteBound, ReceivedBytes
from toucanyard_node.replica_connections import ReplicaConnections

MAX_GROUPS: Final = 64
"""Maximum number of groups with separate values; a histogram takes 10 KB."""
HIGHEST_MS: Final = 600_000
MAX_QUARANTINED: Final = 50
"""Maximum number of requests under quarantine that are listed."""
MAX_ORIGINS_AGE_MS: Final = 1e6
"""Highest value of a metric that has no bound before the first read."""
MAX_LIMITED: Final = 50
"""Maximum number of customers or replicas whose limits are listed."""
SIGNIFICANT_DIGITS: Final = 1
"""Precision of the histograms: values are accurate to 6% or better."""
QUANTILES: Final = (50.0, 95.0, 99.0)
OVERFLOW_GROUP: Final = ("", "other")

Group = tuple[str, str]
"""Customer and call class."""


def classify_call(request: RelayRequest) -> str:
    """Return the class of a call: how it may be retried or resumed."""
    if request.is_stream:
        return "resumable_stream" if request.is_resumable else "stream"
    is_once = request.repeatability is Repeatability.RUN_ONCE
    return "once" if is_once else "repeatable"


class RelayMetrics:
    """Metrics of one node since it started. Invariant: totals only increase."""

    __slots__ = (
        "_broken_bounds",
        "_endings",
        "_first_ms",
        "_forwards",
        "_refusals",
        "_silence_ms",
        "_total_ms",
        "closings",
    )

    def __init__(self) -> None:
        self._endings: Counter[tuple[Group, str]] = Counter()
        self._refusals: Counter[str] = Counter()
        self._forwards: Counter[str] = Counter()
        self._broken_bounds: Counter[str] = Counter()
        self.closings = Closings()
        """Whole requests whose connections ended without a status."""
        self._first_ms: dict[Group, HdrHistogram] = {}
        self._total_ms: dict[Group, HdrHistogram] = {}
        self._silence_ms: dict[Group, HdrHistogram] = {}

    def record_first_part(self, request: RelayRequest, after_ms: float) -> None:
        """Record the time from a call's arrival to the first event of its answer."""
        _record(self._first_ms, self._find_group(request), after_ms)

    def record_dispatch_ended(
        self, request: RelayRequest, ending: str, after_ms: float
    ) -> None:
        """Record how a dispatch ended, and the time since its call's arrival."""
        group = self._find_group(request)
        self._endings[(group, ending)] += 1
        _record(self._total_ms, group, after_ms)

    def record_silence_ended(self, request: RelayRequest, silent_ms: float) -> None:
        """Record how long an attempt was silent that then continued by itself."""
        _record(self._silence_ms, self._find_group(request), silent_ms)

    def record_forward_ended(self, ending: str) -> None:
        """Count a call that was forwarded to a peer, by how that ended."""
        self._forwards[ending] += 1

    def record_over_bound(self, bound: str) -> None:
        """Count an answer that was given up since it exceeds a bound."""
        self._broken_bounds[bound] += 1

    def record_refusal(self, kind: ErrorKind) -> None:
        """Count a refusal."""
        self._refusals[kind.value] += 1

    def render(
        self,
        core: RelayCore,
        store_calls: Counter[str],
        dropped_lines: int,
        now_ms: float,
        received_forwards: int = 0,
        connections: ReplicaConnections | None = None,
        received: ReceivedBytes | None = None,
    ) -> str:
        """Return all metrics as text."""
        lines = [*self._render_calls(), *_render_core(core, now_ms)]
        lines.append(_format("forwards_received_total", received_forwards))
        lines += [
            _format("store_calls_total", count, purpose=purpose)
            for purpose, count in sorted(store_calls.items())
        ]
        if connections is not None:
            lines += _render_connections(connections)
        if received is not None:
            lines += _render_received(received)
        lines.append(_format("log_lines_dropped_total", dropped_lines))
        return "\n".join(lines) + "\n"

    def _find_group(self, request: RelayRequest) -> Group:
        group = (str(request.customer), classify_call(request))
        if group in self._total_ms or len(self._total_ms) < MAX_GROUPS:
            return group
        return OVERFLOW_GROUP

    def _render_calls(self) -> Iterator[str]:
        for (group, ending), count in sorted(self._endings.items()):
            yield _format(
                "dispatches_total",
                count,
                customer=group[0],
                call_class=group[1],
                ending=ending,
            )
        for kind, count in sorted(self._refusals.items()):
            yield _format("refusals_total", count, kind=kind)
        for ending, count in sorted(self._forwards.items()):
            yield _format("forwards_total", count, ending=ending)
        for bound, count in sorted(self._broken_bounds.items()):
            yield _format("answers_over_bound_total", count, bound=bound)
        for reason, count in sorted(self.closings.counts.items()):
            yield _format("closed_without_status_total", count, reason=reason)
        yield from _render_histograms("first_part_ms", self._first_ms)
        yield from _render_histograms("call_ms", self._total_ms)
        yield from _render_histograms("silence_ended_ms", self._silence_ms)


def _render_connections(connections: ReplicaConnections) -> Iterator[str]:
    yield _format("replica_connections_opened_total", connections.opened_count)
    yield _format("replica_connections_reused_total", connections.reused_count)
    yield _format("replica_connections_stale_total", connections.stale_count)
    yield _format("replica_connections_idle", connections.count_idle())


def _render_received(received: ReceivedBytes) -> Iterator[str]:
    """Render what is held of each kind of sender, and which bounds were exceeded."""
    for sender, held in received.list_sums():
        yield _format("held_bytes", held.total_bytes, sender=sender)
        yield _format("held_bytes_peak", held.peak_bytes, sender=sender)
        yield _format("held_bytes_max", held.max_bytes, sender=sender)
        for bound in ByteBound:
            count = held.exceeded[bound]
            labels = {"sender": sender, "bound": bound.value}
            yield _format("messages_over_bound_total", count, **labels)


def _render_histograms(
    name: str, histograms: dict[Group, HdrHistogram]
) -> Iterator[str]:
    for (customer, call_class), histogram in sorted(histograms.items()):
        labels = {"customer": customer, "call_class": call_class}
        yield _format(f"{name}_count", histogram.get_total_count(), **labels)
        for percentile in QUANTILES:
            value = histogram.get_value_at_percentile(percentile)
            quantile = f"{percentile / 100:g}"
            yield _format(name, value, **labels, quantile=quantile)


def _render_core(core: RelayCore, now_ms: float) -> Iterator[str]:
    yield _format("routes_version", core.index.table.version)
    yield _format("calls_pending", core.flow.count_pending())
    yield _format("calls_waiting", core.flow.count_waiting())
    hedged = core.flow.hedged
    yield _format("attempts_silent", hedged.count_silent())
    yield _format("silences_total", hedged.silence_count)
    yield _format("silences_continued_total", hedged.continued_count)
    yield _format("hedges_withheld_total", hedged.withheld_count)
    yield _format("peers_linked", len(core.exchange.linked))
    yield _format("nodes_alive", core.node_directory.count_alive(now_ms))
    yield _format("is_stopping", int(core.is_stopping))
    yield _format("store_era", core.era.era)
    for topic in Topic:
        view = core.exchange.views[topic]
        yield _format("view_end", view.end.offset, topic=topic.value)
        yield _format("view_era", view.end.era, topic=topic.value)
        unconfirmed = view.count_unconfirmed()
        yield _format("view_unconfirmed", unconfirmed, topic=topic.value)
        if view.confirmed_ms > float("-inf"):
            age_ms = round(now_ms - view.confirmed_ms)
            yield _format("view_age_ms", age_ms, topic=topic.value)
    for service in core.index.table.services:
        listed = len(core.directory.find_listed(service.name, now_ms))
        usable = len(core.directory.find_usable(service.name, now_ms))
        yield _format("replicas_listed", listed, service=service.name)
        yield _format("replicas_usable", usable, service=service.name)
        unreached_ms = core.reach.compute_unreached_time(service.name, now_ms)
        yield _format("unreached_ms", round(unreached_ms), service=service.name)
    yield _format("is_cut_off", int(core.reach.is_cut_off(now_ms)))
    yield from _render_quarantine(core)
    yield from _render_limits(core)
    yield from _render_replica_limits(core)
    yield from _render_statements(core, now_ms)
    yield from _render_streams(core, now_ms)
    yield from _render_uneven_load(core, now_ms)


def _render_quarantine(core: RelayCore) -> Iterator[str]:
    entries = list(core.guard.quarantine.list_entries())
    yield _format("requests_quarantined", len(entries))
    for entry in entries[:MAX_QUARANTINED]:
        request = entry.request
        yield _format(
            "quarantine_refusals_total",
            entry.refused,
            fingerprint=request.fingerprint,
            entry=request.entry_id,
            customer=request.customer,
            route=request.route,
        )


def _render_limits(core: RelayCore) -> Iterator[str]:
    """Render the limits that this node coordinates, the most denied first."""
    yield _format("limit_rejections_total", core.limits.rejected)
    yield _format("limit_questions_total", core.limits.accounts.request_count)
    usages = core.shares.list_usage()
    usages.sort(key=lambda each: (-each.denied_total, each.subject))
    for usage in usages[:MAX_LIMITED]:
        labels = {"customer": usage.subject}
        yield _format("limit_rate_per_s", usage.rate_per_s, **labels)
        yield _format("limit_share", round(usage.share, 3), **labels)
        yield _format("limit_level", round(usage.level), **labels)
        yield _format("limit_granted_total", round(usage.granted_total), **labels)
        yield _format("limit_denied_total", round(usage.denied_total), **labels)
        yield _format("limit_reserved", round(usage.reserved), **labels)


def _render_replica_limits(core: RelayCore) -> Iterator[str]:
    """Render the limits declared by replicas and what this node granted of them."""
    for name, rate_per_s in core.replica_limits.list_limited()[:MAX_LIMITED]:
        yield _format("replica_limit_per_s", rate_per_s, replica=name)
    yield _format("replica_limit_questions_total", core.credits.accounts.request_count)
    for usage in core.shares.list_usage(LimitKind.REPLICA)[:MAX_LIMITED]:
        labels = {"replica": usage.subject}
        yield _format("replica_limit_share", round(usage.share, 3), **labels)
        yield _format("replica_limit_granted_total", usage.granted_total, **labels)
        yield _format("replica_limit_denied_total", usage.denied_total, **labels)


def _render_statements(core: RelayCore, now_ms: float) -> Iterator[str]:
    """Render which replicas leave, by which source, and which have deferred calls."""
    yield _format("replica_leaves_total", core.statements.leave_count)
    yield _format("replica_deferrals_total", core.statements.deferral_count)
    weights = core.calls.weights
    yield _format("replica_weights_doubts_total", weights.doubt_count)
    yield _format("replica_weights_corrections_total", weights.correction_count)
    known = [each for each in core.directory.list_all() if each.gone_ms is None]
    leaving = [(each, each.list_leave_sources(now_ms)) for each in known]
    for each, sources in [pair for pair in leaving if pair[1]][:MAX_LIMITED]:
        for source in sources:
            labels = {"replica": each.replica.name, "source": source.value}
            yield _format("replica_leaving", 1, **labels)
    deferred = [each for each in known if each.is_deferred(now_ms)]
    for each in deferred[:MAX_LIMITED]:
        left_ms = round(each.compute_deferral(now_ms))
        yield _format("replica_deferred_ms", left_ms, replica=each.replica.name)


def _render_uneven_load(core: RelayCore, now_ms: float) -> Iterator[str]:
    """Render speeds of replicas and shares of short prompts, the slowest first."""
    for service in sorted(core.uneven.list_active()):
        inputs = core.uneven.find_inputs(service, now_ms)
        share = round(inputs.short_share, 2)
        yield _format("short_prompt_share", share, service=service)
        ordered = sorted(inputs.factors.items(), key=lambda each: each[1])
        for name, factor in ordered[:MAX_LIMITED]:
            labels = {"service": service, "replica": name}
            yield _format("replica_speed", round(factor, 2), **labels)
            stated = core.uneven.find_stated(name)
            if stated is not None:
                age_ms = round(now_ms - stated.seen_ms)
                contention = round(stated.contention, 2)
                yield _format("replica_contention", contention, **labels)
                yield _format("replica_contention_age_ms", age_ms, **labels)


def _render_streams(core: RelayCore, now_ms: float) -> Iterator[str]:
    """Render the software versions that serve, and how taken up streams fared."""
    listed = (
        each.software_origin
        for service in core.index.table.services
        for each in core.directory.find_listed(service.name, now_ms)
    )
    versions = sorted(Counter(listed).items(), key=lambda each: -each[1])
    for origin, count in versions[:MAX_LIMITED]:
        labels = {
            "service": origin.service,
            "software": origin.software_version,
        }
        yield _format("replicas_of_version", count, **labels)
    for source, count in core.resumed.found_counts.items():
        yield _format("streams_resumed_total", count, source=source.value)
    yield _format("streams_not_resumable_total", core.resumed.lost_count)
    yield _format("stream_origins_known", len(core.origins.origins))
    yield _format("stream_origins_reported_total", core.origins.reported_count)
    yield _format("stream_origins_asked_total", core.origins.asked_count)
    records = core.origins.records
    yield _format("stream_record_reads_total", records.read_count)
    yield _format("stream_tries_appended_total", records.appended_count)
    age_ms = now_ms - core.origins.find_confirmed_time()
    yield _format("stream_origins_age_ms", min(age_ms, MAX_ORIGINS_AGE_MS))


def _record(
    histograms: dict[Group, HdrHistogram], group: Group, value_ms: float
) -> None:
    histogram = histograms.get(group)
    if histogram is None:
        histogram = histograms[group] = HdrHistogram(1, HIGHEST_MS, SIGNIFICANT_DIGITS)
    histogram.record_value(min(max(round(value_ms), 1), HIGHEST_MS))


def _format(name: str, value: float, **labels: str) -> str:
    text = ",".join(f'{key}="{_escape(each)}"' for key, each in labels.items())
    return (
        f"toucanyard_{name}{{{text}}} {value}" if text else f"toucanyard_{name} {value}"
    )


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
