"""Build a plain (non-streaming) response from the events of a stream."""

from __future__ import annotations

import msgspec

from toucanyard.names import RequestId
from toucanyard_node.model_requests import ApiKind
from toucanyard_node.sse import Chunk, Usage


class AnswerMessage(msgspec.Struct, frozen=True):
    """The message of a chat completion."""

    content: str
    role: str = "assistant"


class ChatChoice(msgspec.Struct, frozen=True):
    """The only choice of a chat completion."""

    message: AnswerMessage
    finish_reason: str | None
    index: int = 0


class TextChoice(msgspec.Struct, frozen=True):
    """The only choice of a completion."""

    text: str
    finish_reason: str | None
    index: int = 0
    logprobs: None = None


class PlainResponse(msgspec.Struct, frozen=True):
    """A complete response body in the OpenAI format."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[ChatChoice | TextChoice, ...]
    usage: Usage | None


def render_aggregated_response(
    api: ApiKind,
    request_id: RequestId,
    first: Chunk | None,
    text: str,
    finish_reason: str | None,
    usage: Usage | None,
) -> bytes:
    """Return the body of the plain response with this text."""
    choice: ChatChoice | TextChoice
    if api is ApiKind.CHAT:
        choice = ChatChoice(AnswerMessage(text), finish_reason)
    else:
        choice = TextChoice(text, finish_reason)
    answer = PlainResponse(
        id=first.id if first is not None else request_id,
        object="chat.completion" if api is ApiKind.CHAT else "text_completion",
        created=first.created if first is not None else 0,
        model=first.model if first is not None else "",
        choices=(choice,),
        usage=usage,
    )
    return msgspec.json.encode(answer)
