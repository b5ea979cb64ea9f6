from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.prefix import (
    BLOCK_BYTES,
    DEPTHS,
    CacheIdentity,
    PromptChains,
    compute_chain,
)

CUSTOMERS = st.sampled_from(["a", "b"])
VERSIONS = st.sampled_from(["", "w1", "w2"])
PROMPTS = st.integers(0, 40).map(lambda blocks: b"x" * (BLOCK_BYTES * blocks + 7))


@given(CUSTOMERS, VERSIONS, VERSIONS, PROMPTS)
def test_chains_of_one_prompt_are_those_of_their_weights(
    customer: str, desired: str, other: str, prompt: bytes
) -> None:
    """Replicas run two weights versions during a rollout.

    A block of one version that matched the other would be answered under older weights.
    """
    identity = CacheIdentity(customer, "m", "", desired)
    chains = PromptChains(identity, prompt)
    found = chains.find_chain(other)
    assert found == compute_chain(CacheIdentity(customer, "m", "", other), prompt)
    if other != desired:
        assert not set(found) & set(chains.find_chain(desired))


@given(CUSTOMERS, CUSTOMERS, VERSIONS, VERSIONS, PROMPTS)
def test_home_keys_tell_customers_apart_and_no_weights(
    customer: str, other: str, first: str, second: str, prompt: bytes
) -> None:
    keys = PromptChains(
        CacheIdentity(customer, "m", "", first), prompt
    ).compute_affinity_keys()
    others = PromptChains(
        CacheIdentity(other, "m", "", second), prompt
    ).compute_affinity_keys()
    assert len(keys) == sum(depth * BLOCK_BYTES <= len(prompt) for depth in DEPTHS)
    assert bool(set(keys) & set(others)) == (customer == other and bool(keys))
