"""Which traits of a request crashes are attributed to."""

from __future__ import annotations

import pytest

from toucanyard.names import Fingerprint
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_requests import Prompt
from toucanyard.request_traits import build_block_trait, is_block, list_traits

from .relay_examples import MODEL, build_request


def list_names(*names: str, fingerprint: str = "") -> tuple[str, ...]:
    prompt = Prompt(MODEL, tuple(PromptBlock(name, 10) for name in names), 5)
    request = build_request("q", prompt=prompt, fingerprint=Fingerprint(fingerprint))
    return list_traits(request)


def test_traits_are_the_request_and_its_shared_blocks_in_order() -> None:
    found = list_names("b", "a", "own", fingerprint="f")
    assert found == ("f", "block:b", "block:a")


@pytest.mark.parametrize("names", [(), ("own",)])
def test_prompt_without_shared_blocks_has_none(names: tuple[str, ...]) -> None:
    assert list_names(*names) == ()


def test_block_that_is_repeated_or_has_no_name_counts_once_or_not() -> None:
    assert list_names("a", "", "a", "a", "own") == ("block:a",)


def test_request_without_a_prompt_has_its_fingerprint_only() -> None:
    request = build_request("q", fingerprint=Fingerprint("f"))
    assert list_traits(request) == ("f",)


@pytest.mark.parametrize("name", ["x" * 65, 'a"}\n', "ä", "a/b"])
def test_unusual_names_are_hashed(name: str) -> None:
    """Guards against names that break keys of the store or labels of metrics."""
    trait = build_block_trait(name)
    assert is_block(trait)
    assert trait.isascii()
    assert len(trait) < 64
    assert trait.removeprefix("block:hash-").isalnum()
    assert trait != build_block_trait(name + "1")
