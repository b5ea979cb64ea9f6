"""What one dispatch to an endpoint came to, and the checks that every answer gets."""

from __future__ import annotations

from typing import Final

from toucanyard.names import Incarnation, RequestId
from toucanyard.requests import DispatchEnding
from toucanyard_node.http_client import ResponseHead

REFUSAL_STATUSES: Final = frozenset((412, 429, 503))
"""Statuses with which an endpoint says that it did not run a request."""


class DispatchFailedError(Exception):
    """One dispatch ended without a whole answer."""

    def __init__(self, ending: DispatchEnding, text: str) -> None:
        super().__init__(text)
        self.ending = ending
        self.text = text


def check_response_id(head: ResponseHead, request_id: RequestId) -> None:
    """Raise DispatchFailedError when an answer belongs to another request.

    A late or crossed answer would give one caller the words meant for another. The
    echoed id names whose it is; an answer without one is not trusted either.
    """
    echo = head.headers.get("x-request-id", "")
    if echo != request_id:
        text = f"the answer is for {echo or 'no request'}"
        raise DispatchFailedError(DispatchEnding.LOST, text)


def is_refusal_without_id(head: ResponseHead) -> bool:
    """Tell whether an answer is a refusal without an echoed id.

    Servers refuse some requests before they read who asks. On a new connection that
    can only mean the one request on it.
    """
    return head.status in REFUSAL_STATUSES and "x-request-id" not in head.headers


def find_incarnation(head: ResponseHead) -> Incarnation | None:
    """Return the incarnation that an endpoint's answer names."""
    value = head.headers.get("x-incarnation")
    return Incarnation(value) if value else None
