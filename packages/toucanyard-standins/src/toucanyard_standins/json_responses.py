"""Send JSON responses and errors, for the handlers of all stand-ins."""

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
    """The body of an error response."""

    error: str


async def send_json(
    responder: Responder, status: int, body: object, headers: Headers = ()
) -> None:
    """Send a response with a JSON body."""
    await responder.send(status, (JSON_TYPE, *headers), msgspec.json.encode(body))


async def send_error(
    responder: Responder, status: int, text: str, headers: Headers = ()
) -> None:
    """Send an error response."""
    await send_json(responder, status, ErrorText(text), headers)


async def handle_route(
    route: Route, request: HttpRequest, responder: Responder
) -> None:
    """Handle one request; respond with 400 if it is malformed."""
    try:
        try:
            await route(request, responder)
        except (msgspec.MsgspecError, ValueError) as error:
            await send_error(responder, 400, str(error))
    except CallerGoneError:
        # The caller closed its connection. Started work continues: an engine, for
        # example, stops computing only after a DELETE.
        return
