from __future__ import annotations

from collections import Counter

import msgspec
import pytest
import trio
import trio.testing

from toucanyard.byte_limits import ByteLimits
from toucanyard.keyed_view import Topic
from toucanyard.names import CustomerName, EndpointName, RequestId
from toucanyard.quarantine import QuarantinedRequest
from toucanyard.relay_requests import RelayRequest
from toucanyard.replica_statements import ReplicaStatement, StatedLoad
from toucanyard.request_fingerprint import compute_fingerprint
from toucanyard.requests import Repeatability
from toucanyard_node.held_bytes import ByteBoundError, ReceivedBytes
from toucanyard_node.relay_metrics import MAX_GROUPS, RelayMetrics

from .relay_harness import (
    SERVICE,
    RelayHarness,
    ScriptedReplica,
    answer,
    build_call,
    start_harness,
)

REQUEST = RelayRequest(
    request_id=RequestId("q-1"),
    caller_id="q",
    customer=CustomerName("c"),
    route="r",
    service=SERVICE,
    repeatability=Repeatability.REPEATABLE,
    is_stream=False,
    is_resumable=False,
    max_attempts=1,
    rank=0,
    target_ms=200,
    arrived_ms=0.0,
    deadline_ms=1_000.0,
    table_version=1,
)


async def test_metrics_tell_what_is_held_of_each_kind_of_sender() -> None:
    received = ReceivedBytes(ByteLimits())
    with received.reports.open("r", 1_000) as message:
        message.add(900)
    with pytest.raises(ByteBoundError), received.reports.open("r", 100) as message:
        message.add(101)
    harness = RelayHarness([ScriptedReplica("x", answer())])
    async with start_harness(harness):
        text = harness.metrics.render(
            harness.core, Counter(), 0, 1_000.0, received=received
        )
    lines = text.splitlines()
    assert 'toucanyard_held_bytes{sender="reports"} 0' in lines
    assert 'toucanyard_held_bytes_peak{sender="reports"} 900' in lines
    max_bytes = ByteLimits().max_held_report_bytes
    assert f'toucanyard_held_bytes_max{{sender="reports"}} {max_bytes}' in lines
    name = "toucanyard_messages_over_bound_total"
    assert f'{name}{{sender="reports",bound="message"}} 1' in lines
    assert f'{name}{{sender="peers",bound="sum"}} 0' in lines


async def test_metrics_tell_what_was_served_and_what_is_known() -> None:
    harness = RelayHarness([ScriptedReplica("x", answer())])
    async with start_harness(harness):
        for _ in range(3):
            await harness.call(build_call())
        await harness.call(build_call("/none/"))
        calls = Counter({"read operator": 2})
        text = harness.metrics.render(harness.core, calls, 7, 1_000.0)
    lines = text.splitlines()
    assert "toucanyard_requests_quarantined 0" in lines
    labels = 'customer="c",call_class="repeatable"'
    assert f'toucanyard_dispatches_total{{{labels},ending="answered"}} 3' in lines
    assert 'toucanyard_refusals_total{kind="not_found"} 1' in lines
    assert f"toucanyard_call_ms_count{{{labels}}} 3" in lines
    assert "toucanyard_routes_version 1" in lines
    assert 'toucanyard_replicas_usable{service="s"} 1' in lines
    assert 'toucanyard_store_calls_total{purpose="read operator"} 2' in lines
    assert "toucanyard_log_lines_dropped_total 7" in lines


async def test_call_under_quarantine_is_refused_and_counted() -> None:
    """Guards against a quarantine that operators or callers cannot recognize."""
    replica = ScriptedReplica("x", answer())
    harness = RelayHarness([replica])
    call = build_call(body=b"crash")
    fingerprint = compute_fingerprint("POST", "h", "/a/x", CustomerName("c"), b"crash")
    entry = QuarantinedRequest(fingerprint, "7a", CustomerName("c"), "r", ())
    async with start_harness(harness):
        harness.put(Topic.NODES, f"quarantine/{fingerprint}", 9, entry)
        refused = await harness.call(call)
        served = await harness.call(build_call(body=b"harmless"))
        text = harness.metrics.render(harness.core, Counter(), 0, 1_000.0)
    assert refused.startswith(b"HTTP/1.1 503 ")
    assert b"request_quarantined" in refused
    assert b"retry-after: " in refused.lower()
    assert served.startswith(b"HTTP/1.1 200 ")
    assert len(replica.calls) == 1
    labels = f'fingerprint="{fingerprint}",entry="7a",customer="c",route="r"'
    assert f"toucanyard_quarantine_refusals_total{{{labels}}} 1" in text
    assert "toucanyard_requests_quarantined 1" in text


async def test_customers_without_end_share_a_row() -> None:
    """A caller invents customers, or there are thousands of real ones.

    A histogram for each would exhaust the node's memory.
    """
    harness = RelayHarness([])
    metrics = RelayMetrics()
    for number in range(3 * MAX_GROUPS):
        request = msgspec.structs.replace(REQUEST, customer=f"c{number}")
        metrics.record_dispatch_ended(request, "answered", 5.0)
    text = metrics.render(harness.core, Counter(), 0, 0.0)
    counts = [line for line in text.splitlines() if "_call_ms_count" in line]
    assert len(counts) == MAX_GROUPS + 1
    assert f'call_class="other"}} {2 * MAX_GROUPS}' in text


async def test_metrics_tell_of_limits_and_their_use() -> None:
    harness = RelayHarness([ScriptedReplica("x", answer())])
    async with start_harness(harness):
        await harness.call(build_call())
        text = harness.metrics.render(harness.core, Counter(), 0, 1_000.0)
    assert "toucanyard_limit_rejections_total 0" in text
    assert "toucanyard_limit_questions_total 0" in text


async def test_metrics_tell_which_replicas_leave_or_rest_by_whose_word() -> None:
    names = ("a", "b", "c", "d")
    harness = RelayHarness([ScriptedReplica(name, answer()) for name in names])
    async with start_harness(harness):
        stated = {
            "a": ReplicaStatement(is_leaving=True),
            "b": ReplicaStatement(retry_after_ms=3_000.0),
        }
        for name, statement in stated.items():
            harness.task.client.report_statement(EndpointName(name), statement)
        await trio.testing.wait_all_tasks_blocked()
        heard = harness.core.directory.find(EndpointName("c"))
        assert heard is not None
        now_ms = trio.current_time() * 1000
        heard.leave_reported_until_ms = now_ms + 1_000.0
        text = harness.metrics.render(harness.core, Counter(), 0, now_ms)
    lines = text.splitlines()
    assert "toucanyard_replica_leaves_total 1" in lines
    assert "toucanyard_replica_deferrals_total 1" in lines
    assert "toucanyard_replica_weights_doubts_total 0" in lines
    assert "toucanyard_replica_weights_corrections_total 0" in lines
    assert 'toucanyard_replica_leaving{replica="a",source="answer"} 1' in lines
    assert 'toucanyard_replica_leaving{replica="c",source="peer"} 1' in lines
    assert 'toucanyard_replica_deferred_ms{replica="b"}' in text
    assert 'replica="d"' not in text


async def test_speeds_that_replicas_state_are_shown() -> None:
    """Guards against an operator who can't see why a replica gets less work."""
    harness = RelayHarness([ScriptedReplica("x", answer())])
    async with start_harness(harness):
        before = harness.metrics.render(harness.core, Counter(), 0, 1_000.0)
        for known in harness.core.directory.list_all():
            name, load = known.replica.name, StatedLoad(1, 0, 8, 1.25)
            harness.core.uneven.record_stated(SERVICE, name, load, 900.0)
        text = harness.metrics.render(harness.core, Counter(), 0, 1_000.0)
    assert "replica_speed" not in before
    lines = text.splitlines()
    labels = f'service="{SERVICE}",replica="{name}"'
    assert f"toucanyard_replica_speed{{{labels}}} 1.0" in lines
    assert f"toucanyard_replica_contention{{{labels}}} 1.25" in lines
    assert f"toucanyard_replica_contention_age_ms{{{labels}}} 100" in lines
    assert f'toucanyard_short_prompt_share{{service="{SERVICE}"}} 0.35' in lines
