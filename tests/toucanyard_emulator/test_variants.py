from __future__ import annotations

import pytest

from toucanyard.relay_policy import RelayPolicy
from toucanyard_emulator.variants import ABLATIONS, InvalidVariantError, parse_variant


def test_figures_replace_the_usual_ones() -> None:
    variant = parse_variant("a b=placement.fetches:false,rollout.drain_ms:50")
    assert variant.name == "a b"
    assert variant.policy.placement.fetches is False
    assert variant.policy.rollout.drain_ms == 50.0
    assert variant.policy.queue == RelayPolicy().queue


@pytest.mark.parametrize(
    "text",
    [
        "",
        "a",
        "a=",
        "=x",
        "a=placement.speed:1",
        "a=speed:1",
        "a=rollout.drain_ms:soon",
    ],
)
def test_what_is_no_variant_is_refused(text: str) -> None:
    with pytest.raises(InvalidVariantError):
        parse_variant(text)


def test_every_ablation_changes_something() -> None:
    for text in ABLATIONS:
        assert parse_variant(text).policy != RelayPolicy(), text
