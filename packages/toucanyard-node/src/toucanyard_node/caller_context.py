"""Context of one authenticated client request, and parsing of its headers."""

from __future__ import annotations

import hashlib
from typing import Final

import msgspec

from toucanyard.configuration import Configuration, Customer, PriorityClass
from toucanyard.errorcodes import ANSWERS, Ending, ErrorKind, RouterError
from toucanyard.key_answers import compute_unclaimed_ending
from toucanyard.names import RequestId
from toucanyard.options import CallerLimits
from toucanyard.requests import (
    CachedAnswer,
    ModelTarget,
    Refuse,
    Repeatability,
    Replay,
    Request,
    ServiceTarget,
)
from toucanyard_node.http_client import Response
from toucanyard_node.http_exchange import (
    Headers,
    HttpRequest,
    Responder,
)
from toucanyard_node.refusals import render_refusal

_MAX_KEY_CHARS: Final = 255


class CallerContext(msgspec.Struct, frozen=True):
    """One request of one authenticated caller."""

    http: HttpRequest
    responder: Responder
    request_id: RequestId
    customer: Customer
    configuration: Configuration
    headers: Headers
    """Headers that every response to the request carries."""
    arrived_ms: float

    def build_request(
        self,
        target: ModelTarget | ServiceTarget,
        priority: PriorityClass,
        declared: Repeatability,
        limits: CallerLimits,
    ) -> Request:
        """Build the core's request, or raise BAD_REQUEST for an invalid header.

        `declared` is the repeatability when the caller's headers don't specify one.
        """
        http = self.http
        key = find_key(http)
        return Request(
            request_id=self.request_id,
            customer=self.customer.name,
            priority=priority,
            target=target,
            repeatability=find_repeatability(http, key, declared),
            arrived_ms=self.arrived_ms,
            deadline_ms=find_deadline_ms(http, self.arrived_ms, limits),
            configuration_version=self.configuration.version,
            key=key,
            key_age_ms=find_key_age_ms(http),
            body_digest=compute_body_digest(http) if key else b"",
        )

    async def refuse(self, refusal: Refuse) -> None:
        """Send a refusal."""
        rendered = render_refusal(refusal)
        headers = (*rendered.headers, *self.headers)
        await self.responder.send(rendered.status, headers, rendered.body)

    async def answer(self, status: int, content_type: str, body: bytes) -> None:
        """Send a complete response."""
        headers = (("Content-Type", content_type), *self.headers)
        await self.responder.send(status, headers, body)

    async def send_result(self, result: Refuse | Replay | Response) -> None:
        """Send the result of a request."""
        match result:
            case Refuse():
                await self.refuse(result)
            case Replay(answer=CachedAnswer(status, content_type, body)):
                await self.answer(status, content_type, body)
            case Response(status, headers, body):
                content_type = headers.get("content-type", "application/json")
                await self.answer(status, content_type, body)


def build_refusal(error: RouterError, request_id: RequestId) -> Refuse:
    """Build the refusal for an error raised before any dispatch."""
    ending = ANSWERS[error.kind].ending or Ending.NOT_RUN
    return Refuse(request_id, error.kind, ending, error.text, error.retry_after_ms or 0)


def qualify_keyed_refusal(refusal: Refuse, http: HttpRequest) -> Refuse:
    """Return a refusal that claims no more about a request's key than is known.

    An attempt refused before its key was looked up did not run, but an earlier one may
    have run on another node, and the caller would take "not run" to cover the key.
    """
    if "idempotency-key" not in http.headers or refusal.ending is not Ending.NOT_RUN:
        return refusal
    try:
        key_age_ms = find_key_age_ms(http)
    except RouterError:
        key_age_ms = None
    ending = compute_unclaimed_ending(key_age_ms)
    return msgspec.structs.replace(refusal, ending=ending)


def find_deadline_ms(http: HttpRequest, now_ms: float, limits: CallerLimits) -> float:
    """Return the deadline that the caller requests, or raise BAD_REQUEST."""
    text = http.headers.get("x-deadline-ms")
    if text is None:
        return now_ms + limits.default_deadline_ms
    if not text.isascii() or not text.isdigit() or len(text) > 9 or int(text) == 0:
        raise RouterError(
            ErrorKind.BAD_REQUEST, "X-Deadline-Ms: expected a count of milliseconds"
        )
    return now_ms + min(int(text), limits.max_deadline_ms)


def find_key(http: HttpRequest) -> str:
    """Return the idempotency key, empty when there is none, or raise BAD_REQUEST."""
    key = http.headers.get("idempotency-key", "")
    if len(key) > _MAX_KEY_CHARS:
        raise RouterError(ErrorKind.BAD_REQUEST, "Idempotency-Key: too long")
    if "idempotency-key" in http.headers and not key:
        raise RouterError(ErrorKind.BAD_REQUEST, "Idempotency-Key: empty")
    return key


def find_key_age_ms(http: HttpRequest) -> float | None:
    """Return how long ago the caller first sent its key, or raise BAD_REQUEST."""
    text = http.headers.get("x-key-age-ms")
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        raise RouterError(
            ErrorKind.BAD_REQUEST, "X-Key-Age-Ms: expected a count of milliseconds"
        )
    return float(text)


def find_repeatability(
    http: HttpRequest, key: str, fallback: Repeatability
) -> Repeatability:
    """Return how often a request may run, or raise BAD_REQUEST."""
    if key:
        return Repeatability.KEYED
    match http.headers.get("x-run-once", "false").lower():
        case "true":
            return Repeatability.RUN_ONCE
        case "false":
            return fallback
        case _:
            # A misspelled value must not allow a call to run twice.
            raise RouterError(
                ErrorKind.BAD_REQUEST, "X-Run-Once: expected true or false"
            )


def compute_body_digest(http: HttpRequest) -> bytes:
    """Return a digest that distinguishes different calls under the same key."""
    digest = hashlib.sha256()
    for part in (http.method.encode(), http.target.encode(), http.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
