"""Send the answers that every stand-in gives: JSON, plain text and nothing."""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard_node.http_server import Headers, Responder

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
