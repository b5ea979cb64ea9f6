"""A complete response of a replica, buffered until it may be forwarded."""

from __future__ import annotations

from toucanyard.names import EndpointName
from toucanyard.relay_requests import RelayOutcome
from toucanyard_node.http_client import Headers


class AnswerLostError(Exception):
    """A dispatch ended without a response that can be forwarded."""

    def __init__(self, outcome: RelayOutcome) -> None:
        super().__init__(outcome.text)
        self.outcome = outcome


class BufferedAnswer:
    """A complete response of a replica."""

    __slots__ = ("body", "headers", "replica", "status")

    def __init__(
        self, status: int, headers: Headers, body: bytes, replica: EndpointName
    ) -> None:
        self.replica = replica
        self.status = status
        self.headers = headers
        self.body = body
