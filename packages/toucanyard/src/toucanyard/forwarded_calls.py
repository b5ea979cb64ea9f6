"""Messages of a call that one node forwards to another, and their encoding as CBOR.

Each call has a connection of its own. The forwarding node sends the call and its body.
The other one accepts it and sends the head, the body and the end of the response, or a
refusal. A connection that closes before the end leaves the response incomplete.
"""

from __future__ import annotations

from typing import Annotated, Final

import cbor2
import msgspec

from toucanyard.cbor_messages import decode_cbor
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import EndpointName
from toucanyard.stream_origins import StreamOrigin

FORWARD_PATH: Final = "/forward"
CHUNK_BYTES: Final = 262_144
"""Size of one message with a part of a body."""
MAX_FORWARD_BYTES: Final = 2_000_000
"""Size of any message: at most one event of a stream, or the part of a body."""

Headers = tuple[tuple[str, str], ...]
PositiveMs = Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]


class ForwardedCall(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A call as its caller sent it, and what is left of its time and attempts."""

    origin: str
    """Request id at the forwarding node."""
    method: str
    target: str
    fields: Headers
    body_bytes: Annotated[int, msgspec.Meta(ge=0)]
    """Size of the body, which follows in parts."""
    remaining_ms: PositiveMs
    max_attempts: Annotated[int, msgspec.Meta(ge=1)]
    is_counted: bool
    last_event_id: str
    has_begun: bool
    weights_version: int | None
    stream_origin: StreamOrigin | None = None
    """Where the stream began and has to go on."""


class BodyPart(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """A part of the body of a call or a response."""

    data: bytes


class CallAccepted(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """The call has been read and is being placed."""


class AnswerHead(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Status and headers of the response."""

    status: int
    fields: Headers
    is_stream: bool
    """Whether parts are to be passed on as they arrive."""
    origin: StreamOrigin | None = None
    """Where a stream begins."""
    replica: EndpointName = EndpointName("")
    """The replica that has answered, whose headers state something about it; empty if
    the peer does not say."""


class AnswerEnd(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """The response is complete."""


class CallRefused(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """The call gets no response."""

    kind: ErrorKind
    ending: Ending
    text: str
    retry_after_ms: PositiveMs | None
    attempts: Annotated[int, msgspec.Meta(ge=0)] = 0
    """Replicas that may have got the call."""


ForwardMessage = (
    ForwardedCall | BodyPart | CallAccepted | AnswerHead | AnswerEnd | CallRefused
)


def encode_forward_message(message: ForwardMessage) -> bytes:
    """Encode one message."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_forward_message(data: bytes) -> ForwardMessage:
    """Decode one message, or raise MessageInvalidError."""
    message: ForwardMessage = decode_cbor(data, ForwardMessage)
    return message


def split_body(body: bytes) -> tuple[BodyPart, ...]:
    """Return a body as messages."""
    return tuple(
        BodyPart(body[begin : begin + CHUNK_BYTES])
        for begin in range(0, len(body), CHUNK_BYTES)
    )
