"""A complete response of a replica, buffered until it may be forwarded."""

from __future__ import annotations

from toucanyard.relay_requests import RelayOutcome
from toucanyard_node.http_client import Headers


class AnswerLostError(Exception):
    """A dispatch ended without a response that can be forwarded."""

    def __init__(self, outcome: RelayOutcome) -> None:
        super().__init__(outcome.text)
        self.outcome = outcome


class BufferedAnswer:
    """A complete response of a replica."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body
