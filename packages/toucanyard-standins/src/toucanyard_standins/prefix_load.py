"""Send requests that share nested hot prefixes, and record their results.

Every prompt consists of one common rulebook, one of a few templates and a unique tail.
The load is open-loop: the request rate doesn't depend on response times.
"""

from __future__ import annotations

import random
import re
import time
from collections.abc import Sequence
from typing import Final

import msgspec
import trio

from toucanyard.prefix import BLOCK_BYTES
from toucanyard_node.http_client import ConnectionFailedError, HttpConnection, connect
from toucanyard_standins.deployment import CALLER_KEY
from toucanyard_standins.load import Target, encode_completion
from toucanyard_standins.processes import ProcessHandle

_TIMEOUT_S: Final = 20.0
_CONNECT_TIMEOUT_MS: Final = 1_000.0
_EVENT_MARK: Final = b"data: {"
_DONE_MARK: Final = b"data: [DONE]"
_USAGE: Final = re.compile(rb'"prompt_tokens":(\d+).*"cached_tokens":(\d+)')
_CODE: Final = re.compile(rb'"code":"(\w+)"')


class LoadShape(msgspec.Struct, frozen=True):
    """The rate of requests and the sizes of their prompts."""

    requests_per_s: float = 40.0
    rulebook_blocks: int = 24
    templates: int = 8
    template_blocks: int = 24
    tail_blocks: int = 2
    tokens: int = 4


class RequestResult(msgspec.Struct, frozen=True):
    """The result of one request; `error` is empty for a complete response."""

    node: str
    started_s: float
    first_token_ms: float
    prompt_tokens: int
    cached_tokens: int
    error: str = ""


class PrefixLoad:
    """A load generator that sends each request to a random one of `targets`."""

    def __init__(self, shape: LoadShape, rng: random.Random) -> None:
        self._shape = shape
        self._rng = rng
        self._rulebook = self._write_text(shape.rulebook_blocks)
        self._templates = [
            self._write_text(shape.template_blocks) for _ in range(shape.templates)
        ]
        self.targets: tuple[ProcessHandle, ...] = ()
        self.results: list[RequestResult] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if self.targets:
                    node = self._rng.choice(self.targets)
                    nursery.start_soon(self._send, node, self._build_prompt())
                await trio.sleep(self._rng.expovariate(self._shape.requests_per_s))

    def find_between(
        self, from_s: float, to_s: float, nodes: Sequence[ProcessHandle]
    ) -> list[RequestResult]:
        """Return the results of requests to some nodes that started in an interval."""
        names = {node.name for node in nodes}
        return [
            each
            for each in self.results
            if from_s <= each.started_s < to_s and each.node in names
        ]

    def _build_prompt(self) -> str:
        template = self._rng.choice(self._templates)
        return self._rulebook + template + self._write_text(self._shape.tail_blocks)

    def _write_text(self, blocks: int) -> str:
        return self._rng.randbytes(blocks * BLOCK_BYTES // 2).hex()

    async def _send(self, node: ProcessHandle, prompt: str) -> None:
        started_s = time.monotonic()
        result = RequestResult(node.name, started_s, 0.0, 0, 0, "timeout")
        with trio.move_on_after(_TIMEOUT_S):
            try:
                connection = await connect(node.address, _CONNECT_TIMEOUT_MS)
                try:
                    result = await self._exchange(connection, node, prompt, started_s)
                finally:
                    await connection.close()
            except ConnectionFailedError as error:
                text = f"connection: {error}"
                result = RequestResult(node.name, started_s, 0.0, 0, 0, text)
        self.results.append(result)

    async def _exchange(
        self,
        connection: HttpConnection,
        node: ProcessHandle,
        prompt: str,
        started_s: float,
    ) -> RequestResult:
        target = Target(node.address, CALLER_KEY)
        body = encode_completion(prompt, self._shape.tokens, is_stream=True)
        headers = target.build_headers()
        await connection.send("POST", "/v1/completions", headers, body)
        head = await connection.read_head()
        answer = b""
        first_s = 0.0
        while (chunk := await connection.read_body_chunk()) is not None:
            answer += chunk
            if not first_s and _EVENT_MARK in answer:
                first_s = time.monotonic()
        usage = _USAGE.search(answer)
        if head.status != 200 or _DONE_MARK not in answer or usage is None:
            return RequestResult(
                node.name, started_s, 0.0, 0, 0, find_error(head.status, answer)
            )
        return RequestResult(
            node.name,
            started_s,
            (first_s - started_s) * 1000,
            int(usage.group(1)),
            int(usage.group(2)),
        )


def find_error(status: int, answer: bytes) -> str:
    """Return the status and error code of a failed request."""
    code = _CODE.search(answer)
    return f"{status} {code.group(1).decode() if code else 'cut'}"
