"""Store streams so that callers can resume them, bounded in time and memory."""

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


class StoredStream:
    """One stream and the task that currently reads it.

    Invariant: one task at a time reads the relay. A caller that reconnects takes it
    over from the previous task, which may still be serving a dead connection.
    """

    __slots__ = ("_released", "_scope", "_waiting", "customer", "relay")

    def __init__(self, relay: StreamRelay, customer: CustomerName) -> None:
        self._scope: trio.CancelScope | None = None
        self._released = trio.Event()
        self._waiting = 0
        self.relay = relay
        self.customer = customer

    @asynccontextmanager
    async def take_over(self) -> AsyncIterator[None]:
        """Hold exclusive read access; cancelled when another task takes over."""
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

    def has_reader(self) -> bool:
        """Return whether a task reads the relay or waits to read it."""
        return self._scope is not None or self._waiting > 0


class StreamStore:
    """Streams by request id, accessible only to the customer that started them.

    Invariant: ended streams are stored for at most `replay_keep_ms` and take at most
    `kept_streams_bytes` in total.
    """

    __slots__ = ("_ended", "_ended_bytes", "_limits", "_live", "_spawn")

    def __init__(self, limits: StreamLimits, spawn: Spawn) -> None:
        self._limits = limits
        self._spawn = spawn
        self._live: dict[RequestId, StoredStream] = {}
        self._ended: OrderedDict[RequestId, tuple[StoredStream, float]] = OrderedDict()
        self._ended_bytes = 0

    def add(self, relay: StreamRelay, customer: CustomerName) -> StoredStream:
        """Store a stream that has started."""
        stream = StoredStream(relay, customer)
        self._live[relay.attempts.request.request_id] = stream
        return stream

    def find(
        self, request_id: RequestId, customer: CustomerName
    ) -> StoredStream | None:
        """Return a stream of this customer, or None."""
        self._evict()
        stream = self._live.get(request_id)
        if stream is None and request_id in self._ended:
            stream, _ = self._ended[request_id]
        if stream is None or stream.customer != customer:
            return None
        return stream

    def count_live(self) -> int:
        """Return how many streams have not ended."""
        return len(self._live)

    async def send(
        self, stream: StoredStream, responder: Responder, after: int
    ) -> None:
        """Send all events after a number, including future ones, and the end."""
        relay = stream.relay
        try:
            async with stream.take_over():
                missed = relay.buffer.find_after(after)
                if missed is None:
                    # Evicted since the request was checked. The rest would start with
                    # a gap; closing the connection makes the caller resume again.
                    return
                if missed:
                    await responder.write(missed)
                while not relay.is_over:
                    await responder.write(await relay.read())
                await responder.finish()
                # The caller may disconnect as soon as it has the end. Cancelled by
                # that, this would close an engine connection that can be reused.
                with trio.CancelScope(shield=True):
                    await relay.close()
        finally:
            self.release_stream(stream)

    def release_stream(self, stream: StoredStream) -> None:
        """Release a stream that its caller no longer reads; it may not have ended."""
        if stream.relay.is_over:
            self._record_ended(stream)
        elif not stream.has_reader():
            self._spawn(lambda: self._wait_for_caller(stream))

    async def _wait_for_caller(self, stream: StoredStream) -> None:
        """Read on for the grace period without a caller, then abort the stream.

        A keyed request is read to its end, since its caller may retry it.
        """
        relay = stream.relay
        is_keyed = relay.attempts.request.repeatability is Repeatability.KEYED
        async with stream.take_over():
            with trio.CancelScope() as scope:
                if not is_keyed:
                    grace_s = self._limits.resume_grace_ms / 1000
                    scope.deadline = trio.current_time() + grace_s
                while not relay.is_over:
                    if not is_keyed and not relay.buffer.has_room():
                        await trio.sleep_forever()
                    await relay.read()
            relay.abort("the caller went away")
            await relay.close()
        self.release_stream(stream)

    def _record_ended(self, stream: StoredStream) -> None:
        request_id = stream.relay.attempts.request.request_id
        if self._live.pop(request_id, None) is None:
            return
        self._ended[request_id] = (stream, trio.current_time() * 1000)
        self._ended_bytes += stream.relay.buffer.buffered_bytes
        self._evict()

    def _evict(self) -> None:
        oldest_ms = trio.current_time() * 1000 - self._limits.replay_keep_ms
        while self._ended:
            stream, ended_ms = next(iter(self._ended.values()))
            is_fitting = self._ended_bytes <= self._limits.kept_streams_bytes
            if is_fitting and ended_ms >= oldest_ms:
                return
            self._ended.popitem(last=False)
            self._ended_bytes -= stream.relay.buffer.buffered_bytes
