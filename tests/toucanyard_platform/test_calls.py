from __future__ import annotations

import msgspec
import pytest

from toucanyard.names import (
    Address,
    CustomerName,
    EndpointName,
    ReplicaId,
    RequestId,
    ServiceName,
)
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_requests import Prompt, RelayDispatch, RelayRequest
from toucanyard.requests import Repeatability
from toucanyard_node.http_client import ResponseHead
from toucanyard_node.http_exchange import HttpRequest
from toucanyard_node.relay_ports import CallInvalidError
from toucanyard_platform.calls import PlatformCalls
from toucanyard_platform.wire_names import RESERVED_HEADERS

PROMPT = Prompt("m", (PromptBlock("5c1e07a2", 800), PromptBlock("e4402b7d", 250)), 80)
MODEL_CALL = (
    ("Host", "h.example"),
    ("X-Attempt-Id", "q1"),
    ("X-Model", "m"),
    ("X-Token-Usage", "1050,80"),
    ("X-Prompt-Prefix", "5c1e07a2:800,e4402b7d:250"),
    ("X-Deadline-Ms", "6000"),
    ("Authorization", "Token key1"),
)
PLAIN_CALL = (MODEL_CALL[0], MODEL_CALL[1])


def build_http(*fields: tuple[str, str]) -> HttpRequest:
    headers = {name.lower(): value for name, value in fields}
    return HttpRequest("POST", "/a/x", {}, headers, b"", "/a/x?q=1", fields)


def build_request(prompt: Prompt | None = PROMPT) -> RelayRequest:
    return RelayRequest(
        request_id=RequestId("q1-1"),
        caller_id="q1",
        customer=CustomerName("c"),
        route="r",
        service=ServiceName("s"),
        repeatability=Repeatability.REPEATABLE,
        is_stream=True,
        is_resumable=True,
        max_attempts=2,
        rank=3,
        target_ms=600,
        arrived_ms=0.0,
        deadline_ms=6_000.0,
        table_version=1,
        prompt=prompt,
    )


def build_dispatch(version: int | None = 4) -> RelayDispatch:
    return RelayDispatch(
        request_id=RequestId("q1-1"),
        replica=EndpointName("i-1@7"),
        listed_as=ReplicaId("i-1"),
        address=Address("10.0.0.1:1"),
        attempt=1,
        rank=3,
        connect_ms=400.0,
        patience_ms=1_000.0,
        weights_version=version,
        cache_scope="m/4/",
        fetch_from=Address("10.0.0.2:1"),
        save_to=Address("10.0.0.3:1"),
    )


def build_headers(*fields: tuple[str, str], last: str = "") -> dict[str, list[str]]:
    headers = PlatformCalls().build_headers(
        build_http(*fields), build_request(), build_dispatch(), 5_900, last
    )
    found: dict[str, list[str]] = {}
    for name, value in headers:
        found.setdefault(name.lower(), []).append(value)
    return found


def test_headers_of_a_model_call_are_decoded() -> None:
    resumed = (("Last-Event-Id", "7"), ("Resumes", "q0"))
    facts = PlatformCalls().read_call(build_http(*MODEL_CALL, *resumed))
    assert facts.caller_id == "q1"
    assert facts.key == "key1"
    assert facts.deadline_ms == 6_000
    assert facts.prompt == PROMPT
    assert facts.last_event_id == "7"
    assert facts.resumed_id == "q0"


def test_call_that_resumes_two_attempts_names_none() -> None:
    """Guards against going on by one of two attempts that a caller names."""
    twice = (("Resumes", "a"), ("resumes", "b"))
    assert PlatformCalls().read_call(build_http(*MODEL_CALL, *twice)).resumed_id == ""
    same = (("Resumes", "a"), ("Resumes", "a"))
    assert PlatformCalls().read_call(build_http(*MODEL_CALL, *same)).resumed_id == "a"


def test_plain_call_needs_only_its_id() -> None:
    facts = PlatformCalls().read_call(build_http(*PLAIN_CALL))
    assert (facts.key, facts.deadline_ms, facts.prompt) == ("", None, None)


@pytest.mark.parametrize(
    "changed",
    [
        ("X-Attempt-Id", ""),
        ("X-Deadline-Ms", "soon"),
        ("X-Deadline-Ms", "-1"),
        ("X-Token-Usage", "1050"),
        ("X-Token-Usage", "a,b"),
        ("X-Prompt-Prefix", "5c1e07a2"),
        ("X-Prompt-Prefix", "5c:9999999999"),
    ],
)
def test_wrong_headers_are_refused(changed: tuple[str, str]) -> None:
    fields = tuple(each for each in MODEL_CALL if each[0] != changed[0])
    with pytest.raises(CallInvalidError):
        PlatformCalls().read_call(build_http(*fields, changed))


def test_other_schemes_are_no_key() -> None:
    fields = (*PLAIN_CALL, ("Authorization", "Bearer key1"))
    assert PlatformCalls().read_call(build_http(*fields)).key == ""


@pytest.mark.parametrize("name", RESERVED_HEADERS)
def test_headers_that_only_the_router_sets_are_dropped(name: str) -> None:
    """Guards against callers that set the customer, cache scope or replica themselves.

    A forwarded header would run the call as another customer or on its cache.
    """
    found = build_headers(*MODEL_CALL, (name, "forged"), (name.upper(), "forged"))
    assert "forged" not in found.get(name.lower(), [])


def test_key_never_reaches_a_replica() -> None:
    found = build_headers(*MODEL_CALL)
    assert "authorization" not in found
    assert found["x-tenant"] == ["c"]


def test_what_the_router_decides_is_set_once() -> None:
    found = build_headers(*MODEL_CALL, last="9")
    assert found["x-deadline-ms"] == ["5900"]
    assert found["x-expect-instance"] == ["i-1"]
    assert found["x-expect-version"] == ["4"]
    assert found["x-cache-salt"] == ["m/4/"]
    assert found["x-kv-fetch"] == ["10.0.0.2:1"]
    assert found["x-kv-save"] == ["10.0.0.3:1"]
    assert found["x-request-urgency"] == ["3"]
    assert found["last-event-id"] == ["9"]


def test_callers_own_headers_pass_unchanged() -> None:
    found = build_headers(*MODEL_CALL, ("X-Length-Hint", "12"), ("Accept", "a, b"))
    assert found["x-model"] == ["m"]
    assert found["x-prompt-prefix"] == [MODEL_CALL[4][1]]
    assert found["x-length-hint"] == ["12"]
    assert found["accept"] == ["a, b"]
    assert found["host"] == ["h.example"]


def test_headers_of_one_connection_are_dropped_both_ways() -> None:
    hop_by_hop = (
        ("Connection", "close, X-Hop"),
        ("X-Hop", "1"),
        ("Keep-Alive", "timeout=5"),
    )
    found = build_headers(*MODEL_CALL, *hop_by_hop, ("Transfer-Encoding", "chunked"))
    assert not {"connection", "x-hop", "keep-alive", "transfer-encoding"} & set(found)
    fields = (*hop_by_hop, ("X-Server-Stamp", "s"), ("Content-Length", "4"))
    head = ResponseHead(200, {n.lower(): v for n, v in fields}, fields)
    assert PlatformCalls().filter_answer(head) == (("X-Server-Stamp", "s"),)


def test_headers_of_an_answer_are_decoded() -> None:
    headers = {
        "x-attempt-id": "q1",
        "x-server-stamp": "s",
        "x-instance-id": "i-1",
        "x-weight-versions": "4",
    }
    facts = PlatformCalls().read_answer(ResponseHead(200, headers))
    assert facts.caller_id == "q1"
    assert facts.is_signed
    assert not facts.is_not_run
    assert facts.incarnation == "i-1"
    assert facts.weights_version == 4
    not_executed = PlatformCalls().read_answer(
        ResponseHead(503, {"x-not-executed": "1"})
    )
    assert not_executed.is_not_run
    invalid_version = {"x-weight-versions": "new"}
    assert (
        PlatformCalls().read_answer(ResponseHead(200, invalid_version)).weights_version
        is None
    )


def test_tokens_that_a_limit_counts_are_both_numbers() -> None:
    """Guards against counting only the prompt; output tokens cost more."""
    facts = PlatformCalls().read_call(build_http(*MODEL_CALL))
    prompt = facts.prompt
    assert prompt is not None
    assert facts.tokens is not None
    assert facts.tokens > prompt.max_output_tokens


def test_tokens_count_without_a_model() -> None:
    """Guards against a call that escapes a token limit by omitting its model."""
    http = build_http(*PLAIN_CALL, ("X-Token-Usage", "1460,80"))
    assert PlatformCalls().read_call(http).tokens == 1_540


def test_call_without_tokens_says_nothing_of_them() -> None:
    assert PlatformCalls().read_call(build_http(*PLAIN_CALL)).tokens is None


@pytest.mark.parametrize("text", ["", "1", "1,2,3", "-1,2", "1,x", "1,9999999999"])
def test_tokens_that_are_not_two_counts_are_refused(text: str) -> None:
    """Guards against a call that escapes a limit by an invalid token count."""
    with pytest.raises(CallInvalidError):
        PlatformCalls().read_call(build_http(*PLAIN_CALL, ("X-Token-Usage", text)))


@pytest.mark.parametrize("name", ["c", "knji\u017eara", "\u5fc3", "caf\u00e9"])
def test_customer_with_letters_of_any_alphabet_reaches_the_replica(name: str) -> None:
    """Guards against a name that no header can carry and fails each of its calls."""
    request = msgspec.structs.replace(build_request(), customer=CustomerName(name))
    dispatch = msgspec.structs.replace(build_dispatch(), cache_scope=f"m/4/={name}")
    http = build_http(*MODEL_CALL)
    headers = PlatformCalls().build_headers(http, request, dispatch, 5_900, "")
    sent = {key: value.encode("latin-1") for key, value in headers}
    assert sent["X-Tenant"].decode() == name
    assert sent["X-Cache-Salt"].decode() == f"m/4/={name}"


def test_id_with_letters_of_any_alphabet_reaches_the_replica() -> None:
    """Guards against an id that no header can carry and fails each call there."""
    dispatch = msgspec.structs.replace(
        build_dispatch(), listed_as=ReplicaId("i-\u5fc3")
    )
    http = build_http(*MODEL_CALL)
    headers = PlatformCalls().build_headers(http, build_request(), dispatch, 5_900, "")
    sent = {key: value.encode("latin-1") for key, value in headers}
    assert sent["X-Expect-Instance"].decode() == "i-\u5fc3"
