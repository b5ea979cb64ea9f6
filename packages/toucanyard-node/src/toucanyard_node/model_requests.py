"""Parse OpenAI request bodies, and render request bodies for engines."""

from __future__ import annotations

import enum
from typing import Any, Final

import msgspec

from toucanyard.configuration import Configuration, Pool, PriorityClass
from toucanyard.errorcodes import ErrorKind, RouterError
from toucanyard.names import CustomerName
from toucanyard.prefix import CacheIdentity, PromptChains
from toucanyard.requests import ModelTarget

DEFAULT_MAX_TOKENS: Final = 256
_ADAPTER_SEPARATOR: Final = ":"
_NULL: Final = msgspec.Raw(b"null")
_FALSE: Final = msgspec.Raw(b"false")
_EMPTY_STRING: Final = msgspec.Raw(b'""')
_ONE: Final = msgspec.Raw(b"1")
# Request fields whose results can't be aggregated from token events; such requests ask
# the engine for a plain response.
_PLAIN_ONLY_FIELDS: Final = {
    "tools": _NULL,
    "functions": _NULL,
    "logprobs": _FALSE,
    "echo": _FALSE,
    "best_of": _ONE,
    "n": _ONE,
    "suffix": _NULL,
    "audio": _NULL,
    "modalities": _NULL,
}


class ApiKind(enum.StrEnum):
    """API of a request; the value is its path."""

    COMPLETION = "/v1/completions"
    CHAT = "/v1/chat/completions"


class ContentPart(msgspec.Struct, frozen=True):
    """One part of a message's content; non-text parts have an empty `text`."""

    text: str = ""


class Message(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str | list[ContentPart] | None = None


class CompletionBody(msgspec.Struct, frozen=True):
    """Fields of a completion request that the node uses."""

    model: str
    prompt: str | list[Any] = ""
    max_tokens: int | None = None
    stream: bool | None = None


class ChatBody(msgspec.Struct, frozen=True):
    """Fields of a chat completion request that the node uses."""

    model: str
    messages: list[Message]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = None


class ModelCall(msgspec.Struct, frozen=True):
    """One parsed call of a model."""

    api: ApiKind
    model: str
    adapter: str
    pool_model: str
    is_stream: bool
    requires_plain_answer: bool
    """True when the response can't be aggregated from token events."""
    choices: int
    """Number of choices in the response; 0 when unknown."""
    fields: dict[str, msgspec.Raw]
    target: ModelTarget
    priority: PriorityClass


_COMPLETION: Final = msgspec.json.Decoder(CompletionBody)
_CHAT: Final = msgspec.json.Decoder(ChatBody)
_FIELDS: Final = msgspec.json.Decoder(dict[str, msgspec.Raw])


def parse_model_call(
    api: ApiKind, body: bytes, configuration: Configuration, customer: CustomerName
) -> ModelCall:
    """Parse a body and find its pool, or raise BAD_REQUEST or NOT_FOUND."""
    try:
        decoder = _COMPLETION if api is ApiKind.COMPLETION else _CHAT
        parsed = decoder.decode(body)
        fields = _FIELDS.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RouterError(ErrorKind.BAD_REQUEST, f"body: {error}") from error
    pool, adapter, priority = _find_pool(configuration, parsed.model, customer)
    prompt = compute_prompt(parsed).encode("utf-8", "surrogatepass")
    identity = CacheIdentity(customer, pool.model, adapter, pool.weights_version)
    chains = PromptChains(identity, prompt)
    max_tokens = _find_max_tokens(parsed)
    if max_tokens < 1:
        raise RouterError(ErrorKind.BAD_REQUEST, "body: max_tokens is less than 1")
    target = ModelTarget(
        pool=pool.name,
        model=pool.model,
        adapter=adapter,
        weights_version=pool.weights_version,
        chain=chains.find_chain(pool.weights_version),
        prompt_bytes=len(prompt),
        max_tokens=max_tokens,
        affinity_keys=chains.compute_affinity_keys(),
        chains=chains,
    )
    requires_plain_answer = any(
        bytes(fields.get(name, default)) not in (bytes(default), b"null")
        for name, default in _PLAIN_ONLY_FIELDS.items()
    ) or isinstance(getattr(parsed, "prompt", ""), list)
    return ModelCall(
        api=api,
        model=parsed.model,
        adapter=adapter,
        pool_model=pool.model,
        is_stream=bool(parsed.stream),
        requires_plain_answer=requires_plain_answer,
        choices=_count_choices(parsed, fields),
        fields=fields,
        target=target,
        priority=priority,
    )


def compute_prompt(body: CompletionBody | ChatBody) -> str:
    """Return the prompt text whose blocks engines cache."""
    match body:
        case CompletionBody(prompt=str() as prompt):
            return prompt
        case CompletionBody(prompt=parts):
            return "".join(part for part in parts if isinstance(part, str))
        case ChatBody(messages=messages):
            return "".join(
                f"{each.role}\n{_join_content(each.content)}\n" for each in messages
            )


def render_engine_body(
    call: ModelCall, is_stream: bool, generated: str = "", tokens: int = 0
) -> bytes:
    """Build the body for an engine; `generated` text is appended to the prompt."""
    fields = dict(call.fields)
    if call.model != call.pool_model and not call.adapter:
        fields["model"] = _encode_raw(call.pool_model)
    fields["stream"] = _encode_raw(is_stream)
    if is_stream:
        fields["stream_options"] = _encode_raw({"include_usage": True})
    else:
        fields.pop("stream_options", None)
    if generated:
        _extend_prompt(fields, call.api, generated)
        _reduce_token_limits(fields, tokens)
    return msgspec.json.encode(fields)


def _extend_prompt(
    fields: dict[str, msgspec.Raw], api: ApiKind, generated: str
) -> None:
    if api is ApiKind.COMPLETION:
        prompt = msgspec.json.decode(fields.get("prompt", _EMPTY_STRING), type=str)
        fields["prompt"] = _encode_raw(prompt + generated)
        return
    messages = msgspec.json.decode(fields["messages"], type=list[msgspec.Raw])
    messages.append(_encode_raw({"role": "assistant", "content": generated}))
    fields["messages"] = _encode_raw(messages)


def _reduce_token_limits(fields: dict[str, msgspec.Raw], tokens: int) -> None:
    """Subtract generated tokens from the limits, so that the total respects them."""
    for name in ("max_tokens", "max_completion_tokens"):
        limit = msgspec.json.decode(fields.get(name, _NULL))
        if isinstance(limit, int):
            fields[name] = _encode_raw(max(1, limit - tokens))


def _encode_raw(value: object) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(value))


def _find_pool(
    configuration: Configuration, model: str, customer: CustomerName
) -> tuple[Pool, str, PriorityClass]:
    """Return the pool of a model name, its adapter and the rule's priority class."""
    rule = configuration.find_rule(model, customer)
    adapter = ""
    if rule is None and _ADAPTER_SEPARATOR in model:
        base, _, adapter = model.rpartition(_ADAPTER_SEPARATOR)
        rule = configuration.find_rule(base, customer)
    pool = configuration.find_pool(rule.pool) if rule is not None else None
    if rule is None or pool is None or (adapter and adapter not in pool.adapters):
        raise RouterError(ErrorKind.NOT_FOUND, f"no rule for the model {model!r}")
    return pool, adapter, rule.priority


def _find_max_tokens(body: CompletionBody | ChatBody) -> int:
    limit = body.max_tokens
    if isinstance(body, ChatBody) and body.max_completion_tokens is not None:
        limit = body.max_completion_tokens
    return DEFAULT_MAX_TOKENS if limit is None else limit


def _count_choices(
    body: CompletionBody | ChatBody, fields: dict[str, msgspec.Raw]
) -> int:
    """Return the number of choices in the response; 0 when unknown."""
    if isinstance(body, CompletionBody) and isinstance(body.prompt, list):
        return 0
    count = msgspec.json.decode(fields.get("n", _NULL))
    if count is None:
        return 1
    return count if isinstance(count, int) else 0


def _join_content(content: str | list[ContentPart] | None) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    return "".join(part.text for part in content)
