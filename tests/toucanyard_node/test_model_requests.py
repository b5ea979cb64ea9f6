"""Parsing of request bodies: any bytes give a call or a refusal."""

from __future__ import annotations

import json

import msgspec
from hypothesis import example, given, settings, strategies as st

from support.callers import build_configuration
from toucanyard.errorcodes import ErrorKind, RouterError
from toucanyard.names import CustomerName
from toucanyard_node.model_requests import ApiKind, parse_model_call, render_engine_body

CONFIGURATION = build_configuration()
RIO = CustomerName("rio")
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.floats(allow_nan=False)
    | st.text(max_size=4)
    | st.sampled_from([-1, 0, 10**12, 10**400, "model", "model:a", "\ud800"]),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.sampled_from(["role", "content", "text", "x"]), inner)
    ),
    max_leaves=6,
)
FIELDS = (
    "prompt messages max_tokens max_completion_tokens stream tools n stream_options"
)
BODIES = st.fixed_dictionaries(
    {"model": st.sampled_from(["model", "model:a"]) | VALUES},
    optional=dict.fromkeys(FIELDS.split(), VALUES),
)
NESTED = b"[" * 100_000 + b"]" * 100_000


@given(
    st.sampled_from(ApiKind),
    BODIES.map(json.dumps).map(str.encode) | st.binary(),
    st.sampled_from(["", " dos"]),
)
@example(ApiKind.COMPLETION, b'{"model":"model","x":%b}' % NESTED, "")
@example(ApiKind.CHAT, b'{"model":"model","messages":%b}' % NESTED, "")
@example(ApiKind.COMPLETION, b'{"model":"model"}', " dos")
@settings(max_examples=200)
def test_any_body_is_a_call_or_refused(
    api: ApiKind, body: bytes, generated: str
) -> None:
    """A parsed body can also be rendered to continue on another engine."""
    try:
        call = parse_model_call(api, body, CONFIGURATION, RIO)
    except RouterError as error:
        assert error.kind in (ErrorKind.BAD_REQUEST, ErrorKind.NOT_FOUND)
        return
    assert call.target.max_tokens >= 1
    if not call.requires_plain_answer:
        rendered = render_engine_body(call, True, generated, 1)
        assert isinstance(msgspec.json.decode(rendered), dict)
