"""Parse policy variants: a name and the settings that differ from the defaults."""

from __future__ import annotations

from typing import Any, Final

import msgspec

from toucanyard.relay_policy import RelayPolicy


class InvalidVariantError(Exception):
    """A variant names an unknown setting or has an invalid value."""


class Variant(msgspec.Struct, frozen=True):
    """A policy with a name."""

    name: str
    policy: RelayPolicy


DEFAULT_VARIANT: Final = Variant("usual", RelayPolicy())
"""The default policy."""


def parse_variant(text: str) -> Variant:
    """Parse a variant of the form NAME=GROUP.FIGURE:VALUE[,...]."""
    name, _, changes = text.partition("=")
    if not name or not changes:
        raise InvalidVariantError(f"{text!r}: expected NAME=GROUP.FIGURE:VALUE[,...]")
    return Variant(name, _apply(text, changes.split(",")))


def _apply(text: str, changes: list[str]) -> RelayPolicy:
    table: dict[str, Any] = msgspec.to_builtins(RelayPolicy())
    for change in changes:
        path, _, value = change.partition(":")
        group, _, setting = path.partition(".")
        if setting not in table.get(group, {}):
            raise InvalidVariantError(f"{text!r}: the policy has no figure {path}")
        table[group][setting] = value
    try:
        return msgspec.convert(table, RelayPolicy, strict=False)
    except msgspec.ValidationError as error:
        raise InvalidVariantError(f"{text!r}: {error}") from error


ABLATIONS: Final = (
    "affinity=placement.affinity_ms:0",
    "reread price=placement.reread_ms_per_token:0",
    "failure price=placement.failure_ms:0",
    "old-weights price=placement.old_weights_ms:0,placement.late_weights_ms:0",
    "running price=placement.running_ms:0",
    "pause share=placement.pause_share:0",
    "fetch=placement.fetches:false",
    "save=placement.saves:false",
    "patience=retries.call_patience:1000,retries.stream_patience:1000",
    "rest after failure=retries.rests:false",
    "shared budget=retries.is_bounded:false",
    "queue order=queue.is_ranked:false",
    "early refusal=queue.refuses_early:false",
    "announced loads=rollout.announces:false",
    "paced roll-outs=rollout.is_paced:false",
    "reports when unreached=retries.probes:false",
    "short connects=retries.connect_ms:400",
    "quarantine=guard.is_enforced:false",
    "gossip of crashes=guard.shares:false",
)
"""Variants that each disable one mechanism of the relay path."""
