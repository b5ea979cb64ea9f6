"""Hold the state that an engine loses in a crash, and compute its steps."""

from __future__ import annotations

import enum
import random
from collections import OrderedDict
from typing import Final

import msgspec

from toucanyard.prefix import CacheIdentity, compute_chain
from toucanyard_standins.engine_batch import Batch, CostModel, Sequence, Step
from toucanyard_standins.engine_cache import CacheEventLog, PrefixCache
from toucanyard_standins.engine_streams import TOKENS_PER_BLOCK, AnswerStream

_KEPT_STREAMS: Final = 512
_ADAPTER_SEPARATOR: Final = ":"


class EngineRole(enum.StrEnum):
    """The phases of a request that an engine serves."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class EngineOptions(msgspec.Struct, frozen=True):
    """The settings of one engine."""

    name: str
    model: str = "model"
    weights_version: str = "w1"
    adapters: tuple[str, ...] = ()
    checks_fence: bool = False
    capacity_blocks: int = 4_096
    cost: CostModel = CostModel()
    event_delay_ms: float = 200.0
    lost_event_share: float = 0.0
    load_lag_ms: float = 200.0
    load_weights_ms: float = 450.0
    heartbeat_ms: int = 200
    default_tokens: int = 16
    seed: int = 0
    time_scale: float = 1.0
    weight_store: str = ""


class LoadReport(msgspec.Struct, frozen=True):
    """A load report, with its age when it is sent."""

    incarnation: str = ""
    model: str = ""
    weights_version: str = ""
    running: int = 0
    waiting: int = 0
    queued_blocks: int = 0
    used_blocks: int = 0
    capacity_blocks: int = 0
    age_ms: int = 0


class Weights(msgspec.Struct, frozen=True):
    """The model, adapters and role that an engine has loaded."""

    model: str
    weights_version: str
    adapters: tuple[str, ...]
    role: EngineRole


class EngineState:
    """The volatile state of an engine.

    Invariant: it belongs to one incarnation; incarnations are never reused.
    """

    def __init__(
        self, options: EngineOptions, incarnation: str, random_source: random.Random
    ) -> None:
        self.incarnation = incarnation
        self.weights = Weights(
            options.model, options.weights_version, options.adapters, EngineRole.BOTH
        )
        self.is_loading = False
        self.fence = 0
        self.executed_orders: set[str] = set()
        self.cache = PrefixCache(options.capacity_blocks)
        self.cache_events = CacheEventLog(
            options.event_delay_ms, options.lost_event_share, random_source
        )
        self.matched_blocks = 0
        self.computed_blocks = 0
        self.batch = Batch(options.cost)
        self.streams: OrderedDict[str, AnswerStream] = OrderedDict()

    def submit(
        self,
        stream: AnswerStream,
        salt: str,
        prompt: bytes,
        priority: int,
        max_tokens: int,
    ) -> None:
        """Queue a request for computation."""
        weights = self.weights
        _, _, adapter = stream.model.partition(_ADAPTER_SEPARATOR)
        version = weights.weights_version
        identity = CacheIdentity(salt, weights.model, adapter, version)
        chain = compute_chain(identity, prompt)
        self.streams[stream.request_id] = stream
        self._drop_old_streams()
        self.batch.add(Sequence(stream.request_id, priority, chain, max_tokens))

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return whether it was known."""
        stream = self.streams.pop(request_id, None)
        if stream is None:
            return False
        self.batch.remove(request_id)
        stream.cancel()
        return True

    def plan_step(self) -> Step:
        """Admit waiting sequences, look up cached blocks and return the next step."""
        for sequence in self.batch.admit():
            matched = self.cache.count_matched(sequence.chain)
            sequence.computed_blocks = matched
            self.matched_blocks += matched
            self.cache.touch(sequence.chain[:matched])
            stream = self.streams[sequence.request_id]
            stream.cached_tokens = matched * TOKENS_PER_BLOCK
        return self.batch.plan_step()

    def apply_step(self, step: Step, now_ms: float) -> None:
        """Store the blocks that a step computed and emit its tokens."""
        for prefill in step.prefills:
            sequence = prefill.sequence
            start = sequence.computed_blocks
            sequence.computed_blocks += prefill.blocks
            self.computed_blocks += prefill.blocks
            blocks = sequence.chain[start : sequence.computed_blocks]
            self.cache_events.publish(self.cache.store(blocks), now_ms)
        for sequence in step.decoded:
            self._decode(sequence)

    def load(self, weights: Weights, now_ms: float) -> None:
        """Replace the weights; blocks of another weights version are evicted."""
        if weights.weights_version != self.weights.weights_version:
            self.cache_events.publish(self.cache.clear(), now_ms)
        self.weights = weights

    def compute_load(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(
            incarnation=self.incarnation,
            model=self.weights.model,
            weights_version=self.weights.weights_version,
            running=self.batch.count_running(),
            waiting=self.batch.count_waiting(),
            queued_blocks=self.batch.count_queued_blocks(),
            used_blocks=len(self.cache),
            capacity_blocks=self.cache.capacity_blocks,
        )

    def _decode(self, sequence: Sequence) -> None:
        stream = self.streams.get(sequence.request_id)
        if stream is None or stream.is_cancelled:
            return
        stream.add_token()
        sequence.tokens_left -= 1
        if sequence.tokens_left <= 0:
            self.batch.remove(sequence.request_id)
            stream.finish()

    def _drop_old_streams(self) -> None:
        for request_id in tuple(self.streams):
            if len(self.streams) <= _KEPT_STREAMS:
                return
            if self.streams[request_id].is_done:
                del self.streams[request_id]
