"""Keep streams for callers that come back, within bounds of time and memory."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from toucanyard.names import CustomerName, RequestId
from toucanyard.options import StreamLimits
from toucanyard.requests import Repeatability
from toucanyard_node.http_exchange import (
    Responder,
)
from toucanyard_node.shielded import Spawn
from toucanyard_node.stream_relay import StreamRelay


class KeptStream:
    """One stream and the task that reads it at present.

    Invariant: one task at a time reads the relay. A caller that comes back takes it
    over from the task before, which may still serve a connection that is dead.
    """

    __slots__ = ("_released", "_scope", "_waiting", "customer", "relay")

    def __init__(self, relay: StreamRelay, customer: CustomerName) -> None:
        self._scope: trio.CancelScope | None = None
        self._released = trio.Event()
        self._waiting = 0
        self.relay = relay
        self.customer = customer

    @asynccontextmanager
    async def hold(self) -> AsyncIterator[None]:
        """Read the relay inside; cancelled when another task takes it over."""
        self._waiting += 1
        try:
            while self._scope is not None:
                self._scope.cancel()
                await self._released.wait()
        finally:
            self._waiting -= 1
        scope = self._scope = trio.CancelScope()
        self._released = trio.Event()
        try:
            with scope:
                yield
        finally:
            self._scope = None
            self._released.set()

    def is_wanted(self) -> bool:
        """Tell whether another task holds the relay or waits for it."""
        return self._scope is not None or self._waiting > 0


class KeptStreams:
    """Find streams by request id for the customer that they belong to.

    Invariant: what has ended is kept for at most `replay_keep_ms` and, over all
    streams, `kept_streams_bytes`.
    """

    __slots__ = ("_ended", "_ended_bytes", "_limits", "_live", "_spawn")

    def __init__(self, limits: StreamLimits, spawn: Spawn) -> None:
        self._limits = limits
        self._spawn = spawn
        self._live: dict[RequestId, KeptStream] = {}
        self._ended: OrderedDict[RequestId, tuple[KeptStream, float]] = OrderedDict()
        self._ended_bytes = 0

    def add(self, relay: StreamRelay, customer: CustomerName) -> KeptStream:
        """Keep a stream that has begun."""
        stream = KeptStream(relay, customer)
        self._live[relay.attempts.request.request_id] = stream
        return stream

    def find(self, request_id: RequestId, customer: CustomerName) -> KeptStream | None:
        """Return a stream of this customer."""
        self._purge()
        stream = self._live.get(request_id)
        if stream is None and request_id in self._ended:
            stream, _ = self._ended[request_id]
        if stream is None or stream.customer != customer:
            return None
        return stream

    def count_live(self) -> int:
        """Return how many streams have not ended."""
        return len(self._live)

    async def send(self, stream: KeptStream, responder: Responder, after: int) -> None:
        """Send all events after a number, those to come too, and the end."""
        relay = stream.relay
        try:
            async with stream.hold():
                missed = relay.buffer.find_after(after)
                if missed is None:
                    # Pushed out since the request was checked. What follows would
                    # have a hole before it; a cut tells the caller to ask again.
                    return
                if missed:
                    await responder.write(missed)
                while not relay.is_over:
                    await responder.write(await relay.read())
                await responder.finish()
                # The caller may hang up as soon as it has its answer. Cut off by that,
                # the engine's connection would be closed, though its answer was whole.
                with trio.CancelScope(shield=True):
                    await relay.close()
        finally:
            self.let_go(stream)

    def let_go(self, stream: KeptStream) -> None:
        """Leave a stream that no caller reads now; its end may be still to come."""
        if stream.relay.is_over:
            self._note_ended(stream)
        elif not stream.is_wanted():
            self._spawn(lambda: self._wait_for_caller(stream))

    async def _wait_for_caller(self, stream: KeptStream) -> None:
        """Read on for a moment without a caller, then give the stream up.

        A request with a key is read to its end, since its caller may ask again.
        """
        relay = stream.relay
        is_keyed = relay.attempts.request.repeatability is Repeatability.KEYED
        async with stream.hold():
            with trio.CancelScope() as scope:
                if not is_keyed:
                    grace_s = self._limits.resume_grace_ms / 1000
                    scope.deadline = trio.current_time() + grace_s
                while not relay.is_over:
                    if not is_keyed and not relay.buffer.has_room():
                        await trio.sleep_forever()
                    await relay.read()
            relay.give_up("the caller went away")
            await relay.close()
        self.let_go(stream)

    def _note_ended(self, stream: KeptStream) -> None:
        request_id = stream.relay.attempts.request.request_id
        if self._live.pop(request_id, None) is None:
            return
        self._ended[request_id] = (stream, trio.current_time() * 1000)
        self._ended_bytes += stream.relay.buffer.held_bytes
        self._purge()

    def _purge(self) -> None:
        oldest_ms = trio.current_time() * 1000 - self._limits.replay_keep_ms
        while self._ended:
            stream, ended_ms = next(iter(self._ended.values()))
            is_fitting = self._ended_bytes <= self._limits.kept_streams_bytes
            if is_fitting and ended_ms >= oldest_ms:
                return
            self._ended.popitem(last=False)
            self._ended_bytes -= stream.relay.buffer.held_bytes
