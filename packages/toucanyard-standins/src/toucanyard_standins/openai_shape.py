"""Define request and response bodies of completions and chat completions."""

from __future__ import annotations

import msgspec


class ContentPart(msgspec.Struct, frozen=True):
    """One part of a message's content; `text` is empty for other media."""

    text: str = ""


class Message(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str | tuple[ContentPart, ...] | None = None


class CompletionRequest(msgspec.Struct, frozen=True):
    """The fields of a request that the stand-in uses; others are ignored."""

    model: str
    prompt: str = ""
    messages: tuple[Message, ...] = ()
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False


class PromptDetails(msgspec.Struct, frozen=True):
    """Details of the prompt tokens."""

    cached_tokens: int


class Usage(msgspec.Struct, frozen=True):
    """Token counts."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: PromptDetails


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    """The text that a chunk adds to a chat message."""

    content: str = ""


class Choice(msgspec.Struct, frozen=True, omit_defaults=True):
    """The only choice of a response or chunk; one of its contents is set."""

    finish_reason: str | None
    text: str | None = None
    delta: Delta | None = None
    message: Message | None = None
    index: int = msgspec.field(default_factory=int)


class Completion(msgspec.Struct, frozen=True, omit_defaults=True):
    """A whole completion or one chunk of it."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[Choice, ...]
    usage: Usage | None = None


def render_prompt(request: CompletionRequest) -> bytes:
    """Return the text of a request from which the block hashes are computed."""
    if not request.messages:
        return request.prompt.encode()
    lines = (f"{each.role}\n{_join(each.content)}\n" for each in request.messages)
    return "".join(lines).encode()


def find_generated(request: CompletionRequest, tokens: int, token_bytes: int) -> bytes:
    """Return the end of the prompt that an interrupted request had generated."""
    if tokens == 0:
        return b""
    if request.messages:
        return _join(request.messages[-1].content).encode()
    return request.prompt.encode()[-tokens * token_bytes :]


def strip_generated(request: CompletionRequest, generated: bytes) -> CompletionRequest:
    """Return a request without the text generated before an interruption."""
    if not generated:
        return request
    if request.messages:
        return msgspec.structs.replace(request, messages=request.messages[:-1])
    prompt = request.prompt.encode()[: -len(generated)].decode()
    return msgspec.structs.replace(request, prompt=prompt)


def find_token_limit(request: CompletionRequest, default: int) -> int:
    """Return the maximum number of tokens to generate."""
    return request.max_tokens or request.max_completion_tokens or default


def _join(content: str | tuple[ContentPart, ...] | None) -> str:
    if content is None or isinstance(content, str):
        return content or ""
    return "".join(part.text for part in content)
