"""Which of several attempts continues the answer of a call."""

from __future__ import annotations

import pytest
import trio
import trio.testing
from trio.testing import MockClock

from toucanyard.names import CustomerName, RequestId
from toucanyard.relay_requests import RelayOutcome, RelayRequest
from toucanyard.requests import Repeatability
from toucanyard_node.relay_attempt import Patience, RelayAttempt, RelayedCall

from .relay_harness import SERVICE, RelayHarness, ScriptedReplica, answer


def build_request() -> RelayRequest:
    return RelayRequest(
        request_id=RequestId("q-1"),
        caller_id="q",
        customer=CustomerName("c"),
        route="r",
        service=SERVICE,
        repeatability=Repeatability.REPEATABLE,
        is_stream=True,
        is_resumable=True,
        max_attempts=2,
        rank=1,
        target_ms=200,
        arrived_ms=0.0,
        deadline_ms=1e9,
        table_version=1,
    )


class WritingAttempt(RelayAttempt):
    """Writes one event to its call once it is told to."""

    def __init__(self, call: RelayedCall, number: int) -> None:
        super().__init__(call, number)
        self.has_input = trio.Event()

    @property
    def target(self) -> str:
        return f"r{self.number}"

    async def run(self) -> None:
        with self.scope:
            await self.has_input.wait()
            await self._call.write(self, b"%d" % self.number, str(self.number))

    def build_cancelled(self) -> RelayOutcome:
        raise NotImplementedError

    def record_cancelled(self, ending: str) -> None:
        assert ending == "superseded"


class RecordingResponder:
    """Records what is written to the caller."""

    def __init__(self) -> None:
        self.is_started = True
        self.written: list[bytes] = []

    async def write(self, data: bytes) -> None:
        self.written.append(data)


async def test_attempts_with_input_at_once_write_one_answer() -> None:
    """Guards against events of two attempts that wake up in the same moment."""
    for _ in range(20):
        harness = RelayHarness([ScriptedReplica("x", answer())])
        responder = RecordingResponder()
        call = RelayedCall(
            harness.task.client,
            None,  # type: ignore[arg-type]
            responder,  # type: ignore[arg-type]
            build_request(),
            harness.metrics,
        )
        attempts = [WritingAttempt(call, number) for number in (1, 2)]
        call.attempts = list(attempts)
        async with trio.open_nursery() as nursery:
            for each in attempts:
                nursery.start_soon(each.run)
            await trio.testing.wait_all_tasks_blocked()
            for each in attempts:
                each.has_input.set()
        assert len(responder.written) == 1
        assert len(call.attempts) == 1


async def test_silence_is_reported_after_each_timeout_and_loses_nothing(
    autojump_clock: MockClock,
) -> None:
    silences: list[float] = []
    send, receive = trio.open_memory_channel[int](1)

    async def send_late() -> None:
        await trio.sleep(2.5)
        send.send_nowait(7)

    begun_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_late)
        patience = Patience(lambda _: silences.append(trio.current_time() - begun_s))
        patience.restart(1_000.0)
        found = await patience.wait(receive.receive)
    assert found == 7
    assert silences == pytest.approx([1.0, 2.0])
