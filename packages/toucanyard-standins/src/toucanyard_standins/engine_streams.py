"""Keep completions as numbered events, so that streams can be resumed."""

from __future__ import annotations

from typing import Final

import msgspec
import trio
import xxhash

from toucanyard.prefix import BLOCK_BYTES
from toucanyard_standins.openai_shape import (
    Choice,
    Completion,
    Delta,
    Message,
    PromptDetails,
    Usage,
)

TOKEN_BYTES: Final = 4
TOKENS_PER_BLOCK: Final = BLOCK_BYTES // TOKEN_BYTES
_LETTERS: Final = "abcdefghijklmnopqrstuvwxyz"


class TextSource:
    """Generate each token as a function of all preceding text.

    A request that another engine continues, with its prompt and the text generated
    so far, therefore yields the same completion as an uninterrupted one, and
    different prompts yield different completions.
    """

    __slots__ = ("_digest",)

    def __init__(self, prompt: bytes) -> None:
        self._digest = xxhash.xxh3_64(prompt)

    def generate_token(self) -> str:
        """Return the next token: a space and three letters."""
        number = self._digest.intdigest()
        letters: list[str] = []
        for _ in range(TOKEN_BYTES - 1):
            number, remainder = divmod(number, len(_LETTERS))
            letters.append(_LETTERS[remainder])
        token = " " + "".join(letters)
        self._digest.update(token.encode())
        return token


class AnswerStream:
    """The stream of one running or finished completion.

    Invariant: events are only appended; event N never changes.
    """

    __slots__ = (
        "_changed",
        "_source",
        "cached_tokens",
        "created_s",
        "events",
        "is_cancelled",
        "is_chat",
        "is_done",
        "model",
        "prompt_tokens",
        "request_id",
        "resumed_tokens",
        "tokens",
    )

    def __init__(
        self,
        request_id: str,
        model: str,
        is_chat: bool,
        prompt: bytes,
        created_s: int,
        generated: bytes = b"",
    ) -> None:
        self.request_id = request_id
        self.model = model
        self.is_chat = is_chat
        self.created_s = created_s
        self.prompt_tokens = -(-len(prompt) // TOKEN_BYTES)
        self.cached_tokens = 0
        self.tokens: list[str] = []
        self.events: list[bytes] = []
        self.is_done = False
        self.is_cancelled = False
        self.resumed_tokens = len(generated) // TOKEN_BYTES
        self._source = TextSource(prompt + generated)
        self._changed = trio.Event()

    def add_token(self) -> None:
        """Generate one token and its event."""
        token = self._source.generate_token()
        self.tokens.append(token)
        self._add_event(self._render_choice(token, None), None)

    def finish(self) -> None:
        """Add the last event, which contains the usage."""
        self._add_event(self._render_choice("", "length"), self.compute_usage())
        self.is_done = True
        self._wake()

    def cancel(self) -> None:
        """End the stream without a last event."""
        self.is_cancelled = True
        self._wake()

    def compute_usage(self) -> Usage:
        """Return the token counts, including tokens generated before a resume."""
        tokens = self.resumed_tokens + len(self.tokens)
        details = PromptDetails(self.cached_tokens)
        total = self.prompt_tokens + tokens
        return Usage(self.prompt_tokens, tokens, total, details)

    async def wait_beyond(self, count: int) -> None:
        """Wait until there are more events than `count` or the stream has ended."""
        while len(self.events) <= count and not self.is_done and not self.is_cancelled:
            await self._changed.wait()

    def render_whole(self) -> bytes:
        """Return the response body for a request without streaming."""
        text = "".join(self.tokens)
        if self.is_chat:
            choice = Choice("length", message=Message("assistant", text))
        else:
            choice = Choice("length", text=text)
        return self._render(choice, self.compute_usage(), "chat.completion")

    def _render_choice(self, text: str, reason: str | None) -> Choice:
        if self.is_chat:
            return Choice(reason, delta=Delta(text))
        return Choice(reason, text=text)

    def _render(self, choice: Choice, usage: Usage | None, chat_kind: str) -> bytes:
        kind = chat_kind if self.is_chat else "text_completion"
        completion = Completion(
            self.request_id, kind, self.created_s, self.model, (choice,), usage
        )
        return msgspec.json.encode(completion)

    def _add_event(self, choice: Choice, usage: Usage | None) -> None:
        data = self._render(choice, usage, "chat.completion.chunk")
        self.events.append(b"id: %d\ndata: %b\n\n" % (len(self.events), data))
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()
