"""Test that the log says by which software version and try a stream is written."""

from __future__ import annotations

from structlog.testing import capture_logs

from toucanyard.names import (
    Address,
    CustomerName,
    EndpointName,
    ReplicaId,
    RequestId,
    ServiceName,
    SoftwareVersion,
)
from toucanyard.relay_requests import PlacementReason, RelayDispatch, RelayRequest
from toucanyard.requests import Repeatability
from toucanyard_node.relay_log import log_resumed, log_sent


def build_request(last_event_id: str = "", resumed_id: str = "") -> RelayRequest:
    return RelayRequest(
        request_id=RequestId("q-1"),
        caller_id="q",
        customer=CustomerName("c"),
        is_isolated=False,
        route="r",
        service=ServiceName("s"),
        repeatability=Repeatability.REPEATABLE,
        is_stream=True,
        is_resumable=True,
        max_attempts=2,
        rank=0,
        target_ms=200,
        arrived_ms=0.0,
        deadline_ms=1_000.0,
        table_version=1,
        last_event_id=last_event_id,
        resumed_id=resumed_id,
    )


def test_dispatch_is_logged_with_the_software_version() -> None:
    reason = PlacementReason(0.0, 0.0, 0, 0, 1, 0.0, 0.0)
    dispatch = RelayDispatch(
        RequestId("q"),
        EndpointName("r"),
        ReplicaId("r"),
        Address("10.0.0.1:1"),
        1,
        0,
        100.0,
        100.0,
        reason=reason,
        software_version=SoftwareVersion("v1.2"),
    )
    with capture_logs() as lines:
        log_sent(dispatch)
    assert lines[0]["software"] == "v1.2"


def test_resumed_stream_is_logged_with_bounded_ids() -> None:
    request = build_request(last_event_id="9" * 500, resumed_id="x" * 500)
    with capture_logs() as lines:
        log_resumed(request)
        log_resumed(build_request())
    assert [line["event"] for line in lines] == ["resume_received"]
    assert len(lines[0]["resumes"]) == len(lines[0]["last_event"]) == 40
