"""Answers of nodes to commands that never end."""

from __future__ import annotations

import pytest

from support.endless import MAX_SOCKET_BYTES, serve_endlessly
from toucanyard_cli.access import (
    MAX_ANSWER_BYTES,
    Access,
    NoResponseError,
    _send_to_nodes,
)
from toucanyard_cli.limits_command import MAX_METRICS_BYTES, _fetch_metrics

INVALID_TEXT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\xff\xfe"


async def test_answer_of_a_node_without_end_is_given_up() -> None:
    async with serve_endlessly() as (address, server):
        with pytest.raises(NoResponseError):
            await _send_to_nodes(Access((address,), "key"), "GET", "/status", b"")
    assert server.sent_bytes <= MAX_ANSWER_BYTES + MAX_SOCKET_BYTES


async def test_metrics_of_a_node_without_end_are_given_up() -> None:
    async with serve_endlessly() as (address, server):
        assert await _fetch_metrics(address) is None
    assert server.sent_bytes <= MAX_METRICS_BYTES + MAX_SOCKET_BYTES


async def test_metrics_that_are_no_text_are_read() -> None:
    """Guards against a command that ends with a traceback."""
    async with serve_endlessly(INVALID_TEXT, b"x") as (address, _):
        assert await _fetch_metrics(address) == "\ufffd\ufffd"
