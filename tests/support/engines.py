"""Define an engine with scripted behaviour for each request."""

from __future__ import annotations

import enum
import json

import msgspec
import trio

from toucanyard_node.http_exchange import (
    HttpRequest,
    Responder,
)


class StepEnd(enum.Enum):
    """The end of a response after its events."""

    END = enum.auto()
    CUT = enum.auto()
    SILENCE = enum.auto()
    HEARTBEAT = enum.auto()
    """Send heartbeats forever, without events."""


class Step(msgspec.Struct, frozen=True):
    """The response to one POST or GET of a stream."""

    stop_before: int = 10**6
    """The number of the first event that is not sent."""
    then: StepEnd = StepEnd.END
    status: int = 200
    """0 closes the connection without a response."""
    echo: str | None = None
    incarnation: str = "i1"
    weights: str = "w1"
    skip: int | None = None
    """The number of an event that is omitted."""
    head_delay_s: float = 0.0
    restarts_numbering: bool = False
    """Resume from the first event, regardless of the requested one."""
    quiet_until_s: float = 0.0
    """Clock time before which neither events nor heartbeats are sent."""
    gap_s: float = 0.0
    """Time before each event, with a heartbeat half-way."""
    joined: bytes = b""
    """Data sent in one write together with all events."""


class ScriptedEngine:
    """Respond with the tokens of one text; each request consumes one step."""

    def __init__(self, tokens: tuple[str, ...], *steps: Step) -> None:
        self._tokens = tokens
        self._steps = list(steps)
        self._resumed_tokens: dict[str, int] = {}
        self.requests: list[HttpRequest] = []
        self.cancelled: list[str] = []
        self.events_sent = 0

    def find_requests(self, method: str) -> list[HttpRequest]:
        return [each for each in self.requests if each.method == method]

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        self.requests.append(request)
        request_id = request.headers.get(
            "x-request-id", request.path.rpartition("/")[2]
        )
        if request.method == "DELETE":
            self.cancelled.append(request_id)
            await responder.send(204, (("X-Request-Id", request_id),), b"")
            return
        step = self._steps.pop(0) if self._steps else Step()
        await trio.sleep(step.head_delay_s)
        headers = (
            ("X-Request-Id", request_id if step.echo is None else step.echo),
            ("X-Incarnation", step.incarnation),
            ("X-Weights-Version", step.weights),
        )
        if step.status == 0:
            responder.drop()
            return
        if step.status != 200:
            await responder.send(step.status, headers, b'{"error": "scripted"}')
            return
        first = int(request.headers.get("last-event-id", "-1")) + 1
        if step.restarts_numbering:
            first = 0
        if request.method == "POST":
            done = int(request.headers.get("x-resume-text-tokens", "0"))
            self._resumed_tokens[request_id] = done
        done = self._resumed_tokens.get(request_id, 0)
        stream = ("Content-Type", "text/event-stream")
        await responder.start(200, (stream, *headers))
        await self._send(responder, step, first, self._tokens[done:])

    async def _send(
        self, responder: Responder, step: Step, first: int, tokens: tuple[str, ...]
    ) -> None:
        await trio.sleep_until(step.quiet_until_s)
        if step.joined:
            numbers = range(first, min(step.stop_before, len(tokens) + 1))
            events = b"".join(_render(number, tokens) for number in numbers)
            await responder.write(events + step.joined)
            first = step.stop_before
        for number in range(first, min(step.stop_before, len(tokens) + 1)):
            if step.gap_s:
                await trio.sleep(step.gap_s / 2)
                await responder.write(b": heartbeat\n\n")
                await trio.sleep(step.gap_s / 2)
            if number != step.skip:
                await responder.write(_render(number, tokens))
                self.events_sent += 1
        match step.then:
            case StepEnd.END:
                await responder.write(b"data: [DONE]\n\n")
                await responder.finish()
            case StepEnd.SILENCE:
                await trio.sleep_forever()
            case StepEnd.HEARTBEAT:
                while True:
                    await trio.sleep(0.1)
                    await responder.write(b": heartbeat\n\n")


def _render(number: int, tokens: tuple[str, ...]) -> bytes:
    is_last = number == len(tokens)
    text = "" if is_last else tokens[number]
    choice = {"index": 0, "text": text, "finish_reason": "stop" if is_last else None}
    chunk = {"id": "c", "created": 1, "model": "model", "choices": [choice]}
    if is_last:
        chunk["usage"] = {"prompt_tokens": 3, "completion_tokens": len(tokens)}
    return b"id: %d\ndata: %s\n\n" % (number, json.dumps(chunk).encode())
