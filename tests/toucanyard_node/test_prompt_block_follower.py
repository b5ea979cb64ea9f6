from __future__ import annotations

import trio

from toucanyard.names import Address, EndpointName
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_events import PromptBlockChange
from toucanyard_node.prompt_block_follower import PromptBlockFollower
from toucanyard_node.relay_ports import PromptBlockAnswer, PromptBlockPage

from .relay_harness import RelayHarness, ScriptedReplica, answer

PROMPT_BLOCKS = (PromptBlock("p", 100),)


class ScriptedHolder:
    """Returns the given pages in order; None is a call without an answer."""

    def __init__(self, *pages: PromptBlockPage | None) -> None:
        self.pages = list(pages)
        self.since: list[int] = []

    async def read_prompt_blocks(
        self, address: Address, since: int, wait_ms: float
    ) -> PromptBlockAnswer:
        self.since.append(since)
        await trio.sleep(0.01)
        if not self.pages:
            await trio.sleep(wait_ms / 1000)
            return PromptBlockAnswer(PromptBlockPage(1, since, False, ()))
        return PromptBlockAnswer(self.pages.pop(0))


def build_page(epoch: int, number: int, tokens: int) -> PromptBlockPage:
    return PromptBlockPage(epoch, number, False, (PromptBlockChange("s", "p", tokens),))


async def run_follower(holder: ScriptedHolder, wait_s: float) -> int:
    """Return the tokens of the prompt block that the index has after a time."""
    harness = RelayHarness([ScriptedReplica("x", answer())])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.task.run)
        harness.publish_routes()
        harness.publish_replicas()
        following = PromptBlockFollower(harness.core, harness.task.client, holder)
        nursery.start_soon(following.run)
        await trio.sleep(wait_s)
        nursery.cancel_scope.cancel()
    block_index = harness.core.flow.block_index
    return block_index.count_leading(
        EndpointName("x"), "s", PROMPT_BLOCKS, float("inf")
    )


async def test_what_a_holder_tells_is_known(autojump_clock: object) -> None:
    holder = ScriptedHolder(build_page(1, 5, 100))
    assert await run_follower(holder, 3.0) == 100
    assert holder.since[:2] == [0, 5]


async def test_holder_that_lost_its_memory_is_forgotten(
    autojump_clock: object,
) -> None:
    """A prompt store restarts empty under its old address.

    If its old prompt blocks were kept in the index, calls would try to fetch them.
    """
    holder = ScriptedHolder(build_page(1, 5, 100), PromptBlockPage(2, 0, False, ()))
    assert await run_follower(holder, 3.0) == 0


async def test_holder_that_does_not_answer_is_asked_again(
    autojump_clock: object,
) -> None:
    holder = ScriptedHolder(None, None, build_page(1, 5, 60))
    assert await run_follower(holder, 5.0) == 60
