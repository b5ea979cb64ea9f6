from __future__ import annotations

import random

from emulator_examples import ENGINES

from toucanyard.names import Address, EndpointName, NodeName, ReplicaId
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_events import WeightsOrder
from toucanyard_emulator.engine import (
    Availability,
    Engine,
    Job,
    JobOutcome,
    LoadCounter,
)
from toucanyard_emulator.prefill_ledger import PrefillLedger
from toucanyard_emulator.prompt_cache import PromptCache
from toucanyard_emulator.transfers import Link
from toucanyard_standins.virtual_clock import VirtualClock

SHARED_BLOCK, OWN_BLOCK = PromptBlock("book", 2_000), PromptBlock("own", 1_000)


class Bench:
    """Two engines and the outcomes of the jobs submitted to them."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.ledger = PrefillLedger()
        self.caches: dict[Address, tuple[PromptCache, Link]] = {}
        self.loads = LoadCounter()
        self.engines = [self._build(number) for number in range(2)]
        self.firsts: list[float] = []
        self.ends: list[JobOutcome] = []

    def _build(self, number: int) -> Engine:
        address = Address(f"10.0.0.{number}:1")
        engine = Engine(
            EndpointName(f"e{number}"),
            "d",
            address,
            ENGINES,
            self.clock,
            self.ledger,
            self.loads,
            self.caches.get,
            random.Random(1),
        )
        self.caches[address] = (engine.cache, engine.link)
        return engine

    def submit(
        self,
        number: int = 0,
        *blocks: PromptBlock,
        version: int = 1,
        fetch_from: Address | None = None,
        rank: int = 1,
    ) -> Job:
        job = Job(
            rank=rank,
            scope=f"m/{version}/",
            blocks=blocks or (SHARED_BLOCK, OWN_BLOCK),
            output_tokens=9,
            weights_version=version,
            fetch_from=fetch_from,
            save_to=None,
            on_first=lambda _: self.firsts.append(self.clock.now_ms),
            on_end=lambda _, end: self.ends.append(end),
        )
        self.engines[number].submit(job)
        return job

    def order(self, version: int, orders: int = 0, *, is_under_calls: bool) -> int:
        order = WeightsOrder(
            EndpointName("e0"),
            ReplicaId("e0"),
            Address("10.0.0.0:1"),
            "m",
            version,
            NodeName("n"),
            1,
            orders,
            is_under_calls,
        )
        return self.engines[0].apply_order(order)

    def run(self, for_ms: float = 1_000.0) -> None:
        self.clock.run_until(self.clock.now_ms + for_ms)


def test_kept_part_is_not_read_again() -> None:
    bench = Bench()
    first = bench.submit()
    bench.run()
    second = bench.submit()
    bench.run()
    assert bench.ends == [JobOutcome.DONE] * 2
    assert (first.prefilled_tokens, second.prefilled_tokens) == (3_000, 1_000)
    assert bench.ledger.reread_tokens == 0


def test_part_that_another_engine_keeps_is_fetched_or_counted_as_read_again() -> None:
    for source, reread in ((Address("10.0.0.0:1"), 0), (None, 2_000)):
        bench = Bench()
        bench.submit(0)
        bench.run()
        job = bench.submit(1, fetch_from=source)
        bench.run()
        assert job.prefilled_tokens == 1_000 + reread
        assert bench.ledger.reread_tokens == reread


def test_long_prompt_slows_the_stream_beside_it() -> None:
    """A stream generates a token every 3 ms while a 12,000 token prompt is prefilled.

    Each token is then delayed by the prefill of a chunk, which takes 50 ms.
    """
    bench = Bench()
    job = bench.submit(0, PromptBlock("own", 10))
    job.output_tokens = 60
    bench.run(30.0)
    bench.submit(0, PromptBlock("other", 12_000))
    bench.run()
    assert job.worst_gap_ms > 100.0


def test_urgent_call_is_read_first() -> None:
    bench = Bench()
    other = bench.submit(0, PromptBlock("a", 8_000), rank=1)
    urgent = bench.submit(0, PromptBlock("b", 8_000), rank=0)
    bench.run()
    assert urgent.first_ms is not None
    assert other.first_ms is not None
    assert urgent.first_ms < other.first_ms


def test_other_weights_are_refused() -> None:
    bench = Bench()
    bench.submit(0, version=2)
    assert bench.ends == [JobOutcome.OTHER_WEIGHTS]


def test_load_under_calls_lets_them_go_on_and_forgets_what_was_read() -> None:
    bench = Bench()
    bench.submit()
    bench.run()
    running = bench.submit(0, PromptBlock("long", 3_000))
    running.output_tokens = 300
    bench.run(50.0)
    assert bench.order(2, is_under_calls=True) == 202
    bench.submit()
    assert bench.ends == [JobOutcome.DONE, JobOutcome.REFUSED]
    bench.run(2_000.0)
    assert bench.ends[-1] is JobOutcome.DONE
    assert 0 < running.generated_on_other_weights < running.generated_tokens
    assert bench.engines[0].cache.count_cached_prefix("m/1/", (SHARED_BLOCK,)) == 0


def test_load_after_calls_waits_for_them() -> None:
    bench = Bench()
    job = bench.submit(0, PromptBlock("long", 3_000))
    job.output_tokens = 300
    bench.run(50.0)
    assert bench.order(2, is_under_calls=False) == 202
    bench.run(500.0)
    assert bench.engines[0].version == 1
    bench.run(3_000.0)
    assert bench.engines[0].version == 2
    assert job.generated_on_other_weights == 0


def test_order_on_an_old_count_is_refused() -> None:
    bench = Bench()
    assert bench.order(2, is_under_calls=True) == 202
    assert bench.order(3, is_under_calls=True) == 409
    bench.run()
    assert bench.order(3, orders=0, is_under_calls=True) == 409
    assert bench.order(3, orders=1, is_under_calls=True) == 202


def test_crash_cuts_calls_and_silence_says_nothing() -> None:
    for availability, ends in (
        (Availability.DOWN, [JobOutcome.LOST]),
        (Availability.SILENT, []),
    ):
        bench = Bench()
        bench.submit()
        bench.run(5.0)
        bench.engines[0].stop(availability)
        bench.run()
        assert bench.ends == ends
        assert not bench.firsts
