"""Simulate replicas that crash when they begin to answer a certain prompt block.

No two requests are alike. Harmless ones share customer, route and all other blocks
with the crashing ones.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from toucanyard.names import Address, CustomerName, Fingerprint, NodeName
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_requests import Prompt, RelayRequest
from toucanyard.requests import Repeatability

from .crash_fleet import STEP_MS, Call, CrashFleet, Engine
from .relay_examples import ENGINES, MODEL, build_replica, build_request
from .relay_fleet import put

HARMFUL = "bad0"
FIRST_BLOCKS = 6
BLOCK_TOKENS = 100
OWN_TOKENS = 300
CALL_MS = 5_000.0
NEVER_MS = float("inf")

Blocks = tuple[str, ...]
"""Shared blocks of a prompt."""


def follow_first(number: int) -> Blocks:
    """Return the blocks of a crashing request whose second block is harmful."""
    return (f"f{number % FIRST_BLOCKS}", HARMFUL)


def lead(number: int) -> Blocks:
    """Return the same with the harmful block first."""
    return (HARMFUL, f"f{number % FIRST_BLOCKS}")


def follow_only_first(_: int) -> Blocks:
    """Return the same with a first block that the whole route shares."""
    return ("f0", HARMFUL)


def share_first(number: int) -> Blocks:
    """Return the blocks of a harmless request."""
    return (f"f{number % FIRST_BLOCKS}", f"s{number % 17}")


def share_only_first(number: int) -> Blocks:
    """Return the same where the whole route shares the first block."""
    return ("f0", f"s{number % 17}")


class BlockFleet(CrashFleet):
    """Nodes, replicas of a model, and requests with prompts."""

    def __init__(self, domains: int, nodes_each: int, replicas: int = 6) -> None:
        self.harmful: set[str] = {HARMFUL}
        self._crashing_count = 0
        self._harmless_count = 0
        super().__init__(domains, nodes_each, replicas)
        self.weights = ((MODEL, 1),)
        self.start_ms = 60.0
        self.run_ms = 900.0
        self.is_begun_before_crash = True

    def _start(self, address: Address) -> None:
        name = f"r{next(self._numbers)}"
        self.engines[address] = Engine(address, name)
        replica = build_replica(name, service=ENGINES, address=address)
        self._append(name, put(replica))

    def is_crashing(self, request: RelayRequest) -> bool:
        assert request.prompt is not None
        names = {block.name for block in request.prompt.find_shared()}
        return not self.harmful.isdisjoint(names)

    def call_blocks(
        self,
        node: NodeName,
        shared: Sequence[str],
        *,
        is_resumable: bool = True,
        body: str = "",
    ) -> Call:
        """Deliver a call whose prompt shares blocks with others."""
        number = next(self._numbers)
        repeatability = (
            Repeatability.REPEATABLE if is_resumable else Repeatability.RUN_ONCE
        )
        blocks = [PromptBlock(name, BLOCK_TOKENS) for name in shared]
        own = PromptBlock(f"own{number}", OWN_TOKENS)
        request = build_request(
            f"call-{number}",
            customer=CustomerName("c"),
            service=ENGINES,
            fingerprint=Fingerprint(body or f"body-{number}"),
            repeatability=repeatability,
            is_stream=True,
            is_resumable=is_resumable,
            arrived_ms=self.now_ms,
            deadline_ms=self.now_ms + CALL_MS,
            prompt=Prompt(MODEL, (*blocks, own), 20),
        )
        return self.deliver(Call(node, request))

    def play(
        self,
        for_ms: float,
        *,
        crashing: Callable[[int], Blocks] = follow_first,
        crashing_ms: float = 300.0,
        harmless: Callable[[int], Blocks] = share_first,
        harmless_ms: float = 85.0,
        is_resumable: bool = True,
    ) -> None:
        """Send crashing and harmless calls to the nodes in rotation for `for_ms`."""
        names = [name for name in self.cores if name not in self.dead]
        end_ms = self.now_ms + for_ms
        crashing_due = harmless_due = self.now_ms
        if crashing_ms == NEVER_MS:
            crashing_due = NEVER_MS
        while self.now_ms < end_ms:
            if self.now_ms >= crashing_due:
                number = self._crashing_count
                self._crashing_count += 1
                node = names[number % len(names)]
                self.call_blocks(node, crashing(number), is_resumable=is_resumable)
                crashing_due += crashing_ms
            if self.now_ms >= harmless_due:
                number = self._harmless_count
                self._harmless_count += 1
                node = names[number % len(names)]
                self.call_blocks(node, harmless(number), is_resumable=is_resumable)
                harmless_due += harmless_ms
            self.run_for(STEP_MS)

    def count_late(self, bound_ms: float, block: str = HARMFUL) -> int:
        """Return the sends of a block more than `bound_ms` after the fifth crash."""
        times = self.list_crash_times(block)
        if len(times) < 5:
            return 0
        sent = [each.at_ms for each in self.reached if _has(each.call, block)]
        return sum(at_ms > times[4] + bound_ms for at_ms in sent)

    def list_crash_times(self, block: str = HARMFUL) -> list[float]:
        """Return when replicas crashed while they ran a request with a block."""
        ran: dict[str, float] = {}
        for each in self.reached:
            if _has(each.call, block):
                ran.setdefault(each.replica, each.at_ms)
        return [at_ms for at_ms, replica in self.crashes if replica in ran]

    def find_begun_share(
        self, begin_ms: float, end_ms: float, first: str | None = None
    ) -> float:
        """Return the share of harmless calls that replicas began to answer."""
        calls = [
            call
            for call in self.calls
            if begin_ms <= call.request.arrived_ms < end_ms
            and not self.is_crashing(call.request)
            and (first is None or list_shared(call)[0] == first)
        ]
        return sum(call.has_begun for call in calls) / len(calls)

    def list_held_blocks(self) -> set[str]:
        """Return the keys under quarantine at any node."""
        return {
            entry.request.fingerprint
            for core in self.cores.values()
            for entry in core.guard.quarantine.list_entries()
        }


def list_shared(call: Call) -> list[str]:
    """Return the names of the blocks that a call shares with others."""
    assert call.request.prompt is not None
    return [block.name for block in call.request.prompt.find_shared()]


def _has(call: Call, block: str) -> bool:
    return block in list_shared(call)
