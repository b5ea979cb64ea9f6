"""Test what the log says of dispatches, resumed streams and lost calls."""

from __future__ import annotations

import msgspec
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
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_requests import (
    PlacementReason,
    Prompt,
    RelayDispatch,
    RelayRequest,
)
from toucanyard.requests import Repeatability
from toucanyard_node.relay_log import log_ended, log_resumed, log_sent


def build_request(last_event_id: str = "", resumed_id: str = "") -> RelayRequest:
    return RelayRequest(
        request_id=RequestId("q-1"),
        caller_id="q",
        customer=CustomerName("c"),
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


def build_dispatch() -> RelayDispatch:
    reason = PlacementReason(0.0, 0.0, 0, 0, 1, 0.0, 0.0)
    return RelayDispatch(
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


def test_dispatch_is_logged_with_the_software_version() -> None:
    with capture_logs() as lines:
        log_sent(build_dispatch())
    assert lines[0]["software"] == "v1.2"


def test_resumed_stream_is_logged_with_bounded_ids() -> None:
    request = build_request(last_event_id="9" * 500, resumed_id="x" * 500)
    with capture_logs() as lines:
        log_resumed(request)
        log_resumed(build_request())
    assert [line["event"] for line in lines] == ["resume_received"]
    assert len(lines[0]["resumes"]) == len(lines[0]["last_event"]) == 40


def test_lost_call_is_logged_with_the_shared_blocks_of_its_prompt() -> None:
    """Guards against crashes whose common prompt block no log line shows."""
    blocks = tuple(PromptBlock(f"{number:x}" * 100, 10) for number in range(1, 30))
    request = msgspec.structs.replace(build_request(), prompt=Prompt("m", blocks, 9))
    with capture_logs() as lines:
        for ending in ("lost", "answered"):
            log_ended(request, build_dispatch(), ending, 0, 9.0, None)
    names = lines[0]["blocks"].split(",")
    assert names == [block.name[:40] for block in blocks[:16]]
    assert lines[1]["blocks"] is None
