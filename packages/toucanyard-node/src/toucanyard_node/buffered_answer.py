"""Hold an answer of a replica until it is known whether its caller gets it."""

from __future__ import annotations

from toucanyard.relay_requests import RelayOutcome
from toucanyard_node.http_client import Headers


class AnswerLostError(Exception):
    """One dispatch ended without an answer that can be passed on."""

    def __init__(self, outcome: RelayOutcome) -> None:
        super().__init__(outcome.text)
        self.outcome = outcome


class BufferedAnswer:
    """A whole answer of a replica."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body
