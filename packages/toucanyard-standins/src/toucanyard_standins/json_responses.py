"""Send the answers that every stand-in gives: JSON, plain text and nothing."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from toucanyard_node.http_exchange import (
    CallerGoneError,
    Headers,
    HttpRequest,
    Responder,
)

Route = Callable[[HttpRequest, Responder], Awaitable[None]]
JSON_TYPE: Final = ("Content-Type", "application/json")


class ErrorText(msgspec.Struct, frozen=True):
    """The body of an error."""

    error: str


async def send_json(
    responder: Responder, status: int, body: object, headers: Headers = ()
) -> None:
    """Send one whole JSON body."""
    await responder.send(status, (JSON_TYPE, *headers), msgspec.json.encode(body))


async def send_error(
    responder: Responder, status: int, text: str, headers: Headers = ()
) -> None:
    """Send one error."""
    await send_json(responder, status, ErrorText(text), headers)


async def handle_route(
    route: Route, request: HttpRequest, responder: Responder
) -> None:
    """Answer one request; 400 when it can't be read, nothing when nobody listens."""
    try:
        try:
            await route(request, responder)
        except (msgspec.MsgspecError, ValueError) as error:
            await send_error(responder, 400, str(error))
    except CallerGoneError:
        # What was started goes on: an engine, for one, only stops for a DELETE.
        return
