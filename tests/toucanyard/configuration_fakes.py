"""Provide a log, patches and nodes to tests of the configuration."""

from __future__ import annotations

import msgspec

from toucanyard.configuration import Customer
from toucanyard.configuration_log import ConfigurationLog, PatchResult
from toucanyard.configuration_records import encode_checkpoint, encode_patch
from toucanyard.names import CustomerName
from toucanyard.options import ConfigurationTimings
from toucanyard.patches import Patch, Put

TIMINGS = ConfigurationTimings()


def build_patch(patch_id: str, base: int, customer: str = "") -> Patch:
    """Return a patch that adds one customer, by default named like the patch."""
    added = Customer(CustomerName(customer or patch_id), ())
    return Patch(patch_id, base, "maria", Put(customers=(added,)))


class FakeLog(msgspec.Struct):
    """Store records under consecutive offsets, of which the oldest may expire."""

    texts: list[str] = msgspec.field(default_factory=list)
    oldest: int = 0

    def append(self, text: str) -> int:
        """Append one record and return its offset."""
        self.texts.append(text)
        return len(self.texts) - 1

    def append_patch(self, patch: Patch) -> int:
        """Append a patch and return its offset."""
        return self.append(encode_patch(patch))

    def append_checkpoint(self, node: ConfigurationLog) -> bool:
        """Append a node's checkpoint, if it can build one."""
        checkpoint = node.build_checkpoint()
        if checkpoint is not None:
            self.append(encode_checkpoint(checkpoint))
        return checkpoint is not None

    def replay(
        self, node: ConfigurationLog, limit: int = 1_000, now_ms: float = 0.0
    ) -> list[PatchResult]:
        """Let a node read on from its next offset; return the results of patches."""
        node.handle_expired(self.oldest)
        first = node.next_offset
        results = [
            node.apply_record(first + number, float(first + number), text, now_ms)
            for number, text in enumerate(self.texts[first : first + limit])
        ]
        node.update_log_end(len(self.texts), now_ms)
        return [result for result in results if result is not None]


def start_node(jitter: float = 0.0) -> ConfigurationLog:
    """Return a node without any state."""
    return ConfigurationLog(TIMINGS, jitter)
