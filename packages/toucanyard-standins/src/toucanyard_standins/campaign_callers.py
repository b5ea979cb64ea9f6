"""Run the callers of a campaign, which retry and record all responses."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Final

import msgspec
import trio

from toucanyard.names import Address
from toucanyard_node.http_client import (
    ConnectionFailedError,
    Headers,
    Response,
    connect,
)
from toucanyard_node.locate_response import LocateResponse
from toucanyard_standins.deployment import CALLER_KEY, SERVICE
from toucanyard_standins.harness import ask
from toucanyard_standins.load import encode_completion
from toucanyard_standins.processes import ProcessHandle

HTTP_OK: Final = 200
_MAX_ATTEMPTS: Final = 6
_DEADLINE_MS: Final = 4_000
_TIMEOUT_MS: Final = 8_000.0
_CONNECT_TIMEOUT_MS: Final = 1_000.0
_MAX_WAIT_S: Final = 2.0
_PROMPTS: Final = 12
_TOKENS: Final = (24, 240)
_ANSWERED: Final = "answered"
_NO_ENDING: Final = ""


class ObservedHold(msgspec.Struct):
    """The responses to all attempts of one hold."""

    key: str
    has_issued_key: bool
    endings: list[str] = []
    bodies: list[bytes] = []
    """Bodies of successful responses, for comparison."""


class ObservedStream(msgspec.Struct):
    """The response to one stream."""

    prompt: int
    tokens: int
    process_id: int
    """The process id of the node that the stream was sent to."""
    body: bytes = b""
    status: int = 0
    is_cut: bool = False
    is_over: bool = False
    """False if the campaign ended before the stream."""

    def is_cut_in_middle(self) -> bool:
        """Return whether the connection broke after the response had started."""
        return self.is_cut and self.status == HTTP_OK


class _ErrorDetail(msgspec.Struct, frozen=True):
    ending: str
    retry_after_ms: int | None = None


class _ErrorBody(msgspec.Struct, frozen=True):
    error: _ErrorDetail


class Callers:
    """Callers that send holds and streams to random nodes.

    `list_nodes` returns the nodes that callers know of, including dead ones.
    """

    def __init__(
        self, list_nodes: Callable[[], Sequence[ProcessHandle]], rng: random.Random
    ) -> None:
        self._list_nodes = list_nodes
        self._rng = rng
        self.holds: list[ObservedHold] = []
        self.streams: list[ObservedStream] = []

    async def run_holds(self, pause_s: float) -> None:
        """Send holds sequentially until cancelled."""
        while True:
            await self.hold(self._rng.random() < 0.5)
            await trio.sleep(self._rng.expovariate(1 / pause_s))

    async def run_streams(self, pause_s: float) -> None:
        """Send streams sequentially until cancelled."""
        while True:
            await self.stream()
            await trio.sleep(self._rng.expovariate(1 / pause_s))

    async def hold(self, has_issued_key: bool) -> ObservedHold:
        """Hold one seat; retry with the same key until the outcome is final."""
        key = f"hold-{self._rng.getrandbits(64):016x}"
        node = self._choose_node()
        if has_issued_key:
            prefix = await self._request_key_prefix(node)
            has_issued_key = prefix != ""
            key = prefix + key
        observed = ObservedHold(key, has_issued_key)
        self.holds.append(observed)
        started_s = trio.current_time()
        for _ in range(_MAX_ATTEMPTS):
            age_ms = int((trio.current_time() - started_s) * 1000)
            wait_s = await self._attempt_hold(node, observed, age_ms)
            if wait_s is None:
                break
            await trio.sleep(wait_s)
            node = self._choose_node()
        return observed

    async def _request_key_prefix(self, node: ProcessHandle) -> str:
        try:
            answer = await ask(node.address, "GET", "/v1/locate?stay=true", CALLER_KEY)
            located = msgspec.json.decode(answer.body, type=LocateResponse)
        except (ConnectionFailedError, msgspec.DecodeError):
            return ""
        return "" if located.issued_key is None else located.issued_key.prefix

    async def _attempt_hold(
        self, node: ProcessHandle, observed: ObservedHold, age_ms: int
    ) -> float | None:
        """Send one attempt; return the wait before the next one, or None at the end."""
        headers: Headers = (
            ("Idempotency-Key", observed.key),
            ("X-Key-Age-Ms", str(age_ms)),
            ("X-Deadline-Ms", str(_DEADLINE_MS)),
        )
        target = f"/v1/services/{SERVICE}/holds"
        body = observed.key.encode()
        # The ending stays empty if the campaign ends before the response: this attempt
        # may still run the hold.
        observed.endings.append(_NO_ENDING)
        try:
            answer = await ask(
                node.address, "POST", target, CALLER_KEY, body, headers, _TIMEOUT_MS
            )
        except ConnectionFailedError:
            return self._rng.uniform(0.05, 0.5)
        return self._record_hold_answer(answer, observed)

    def _record_hold_answer(
        self, answer: Response, observed: ObservedHold
    ) -> float | None:
        if answer.status == HTTP_OK:
            observed.endings[-1] = _ANSWERED
            observed.bodies.append(answer.body)
            return None if len(observed.bodies) > 1 else 0.0
        error = msgspec.json.decode(answer.body, type=_ErrorBody).error
        observed.endings[-1] = error.ending
        return min((error.retry_after_ms or 0) / 1000, _MAX_WAIT_S)

    async def stream(self) -> ObservedStream:
        """Read one stream to its end, or until its connection breaks."""
        number = self._rng.randrange(_PROMPTS)
        node = self._choose_node()
        tokens = self._rng.choice(_TOKENS)
        observed = ObservedStream(number, tokens, node.process.pid)
        self.streams.append(observed)
        prompt = f"prompt {number} " * 60
        body = encode_completion(prompt, tokens, is_stream=True)
        with trio.move_on_after(_TIMEOUT_MS / 1000) as scope:
            await self._read_stream(node.address, body, observed)
        observed.is_cut |= scope.cancelled_caught
        observed.is_over = True
        return observed

    async def _read_stream(
        self, address: Address, body: bytes, observed: ObservedStream
    ) -> None:
        headers = (("Authorization", f"Bearer {CALLER_KEY}"),)
        try:
            connection = await connect(address, _CONNECT_TIMEOUT_MS)
            try:
                await connection.send("POST", "/v1/completions", headers, body)
                observed.status = (await connection.read_head()).status
                while (chunk := await connection.read_body_chunk()) is not None:
                    observed.body += chunk
            finally:
                await connection.close()
        except ConnectionFailedError:
            observed.is_cut = True

    def _choose_node(self) -> ProcessHandle:
        return self._rng.choice(self._list_nodes())
