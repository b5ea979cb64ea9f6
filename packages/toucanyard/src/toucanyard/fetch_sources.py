"""Find where the front of a prompt can be fetched, and what the transfer costs.

Replicas and prompt stores send blocks to each other over their own links, one transfer
at a time, and a transfer between failure domains takes twice as long.
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.names import Address, DomainName, EndpointName
from toucanyard.rendezvous import compute_seed, compute_weight
from toucanyard.replicas import Replica
from toucanyard.routes import EngineTraits

TRANSFER_PRICE: Final = 4.0
"""Price of a transfer as a multiple of its duration: other transfers queue behind it,
which the choosing node doesn't see."""
FAR_FACTOR: Final = 2.0
"""Duration of a transfer between failure domains relative to one within a domain."""


class FetchSource(msgspec.Struct, frozen=True):
    """A holder from which the front of a prompt can be fetched."""

    name: EndpointName
    address: Address
    link_mbps: float
    domain: DomainName


class FetchSources(msgspec.Struct):
    """The holders of the longest front of a prompt."""

    tokens: int = 0
    """Leading tokens of the prompt that they hold."""
    holders: list[FetchSource] = []

    def add(self, source: FetchSource, tokens: int) -> None:
        """Record how many leading tokens a holder has."""
        if tokens > self.tokens:
            self.tokens = tokens
            self.holders = []
        if tokens and tokens == self.tokens:
            self.holders.append(source)

    def pick(self, receiver: Replica, call: str) -> FetchSource | None:
        """Return the source for one call, preferably in the receiver's domain.

        Calls spread over the holders: a holder runs its transfers one after another,
        and with one source for all calls, transfers of a hot block waited for up to two
        seconds.
        """
        others = [each for each in self.holders if each.name != receiver.name]
        near = [each for each in others if each.domain == receiver.domain]
        key = compute_seed(EndpointName(call))
        return max(
            near or others,
            key=lambda each: compute_weight(compute_seed(each.name), key),
            default=None,
        )

    def compute_price(
        self, tokens: int, receiver: Replica, engine: EngineTraits
    ) -> float:
        """Return the price of transferring tokens to a replica, in ms."""
        if not tokens:
            return 0.0
        bits = tokens * engine.bytes_per_token * 8
        return TRANSFER_PRICE * min(
            bits
            * (1.0 if each.domain == receiver.domain else FAR_FACTOR)
            # A transfer occupies both links for as long as the slower one takes.
            / (min(each.link_mbps, engine.link_mbps) * 1_000)
            for each in self.holders
        )
