"""Errors of a dispatch to an endpoint, and checks common to all responses."""

from __future__ import annotations

from typing import Final

from toucanyard.names import Incarnation, RequestId
from toucanyard.requests import DispatchEnding
from toucanyard_node.http_client import ResponseHead

REFUSAL_STATUSES: Final = frozenset((412, 429, 503))
"""Statuses with which an engine reports that it did not run a request."""


class DispatchFailedError(Exception):
    """One dispatch ended without a complete response."""

    def __init__(self, ending: DispatchEnding, text: str) -> None:
        super().__init__(text)
        self.ending = ending
        self.text = text


def check_response_id(head: ResponseHead, request_id: RequestId) -> None:
    """Raise DispatchFailedError when a response belongs to another request.

    A late or misrouted response would disclose one caller's answer to another. The
    echoed id identifies the request; a response without one is rejected too.
    """
    echo = head.headers.get("x-request-id", "")
    if echo != request_id:
        text = f"the answer is for {echo or 'no request'}"
        raise DispatchFailedError(DispatchEnding.LOST, text)


def is_refusal_without_id(head: ResponseHead) -> bool:
    """Return whether a response is a refusal without an echoed id.

    Servers refuse some requests before they read the id. On a new connection the
    refusal can only belong to its one request.
    """
    return head.status in REFUSAL_STATUSES and "x-request-id" not in head.headers


def find_incarnation(head: ResponseHead) -> Incarnation | None:
    """Return the incarnation in the headers of an endpoint's response."""
    value = head.headers.get("x-incarnation")
    return Incarnation(value) if value else None
