"""Format and parse issued keys.

An issued key names the one node incarnation that may ever dispatch it, and a witness
in another failure domain that can seal it when that node is gone.
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.names import (
    Incarnation,
    NodeId,
    NodeName,
)

_PREFIX_TAG: Final = "tk1"
_SEPARATOR: Final = "~"


class IssuedKey(msgspec.Struct, frozen=True):
    """What the text of an issued key tells."""

    issuer: NodeId
    backup: NodeId | None
    """None when the issuer knew no other node."""
    ledger: int
    issued_ms: float
    """By the issuer's clock, which is the only one it is compared with."""


def format_prefix(key: IssuedKey, nonce: int) -> str:
    """Return the prefix that a caller puts before its own part of the key."""
    backup = key.backup or NodeId(NodeName(""), Incarnation(""))
    fields = (
        _PREFIX_TAG,
        key.issuer.node,
        key.issuer.incarnation,
        backup.node,
        backup.incarnation,
        str(key.ledger),
        str(int(key.issued_ms)),
        f"{nonce:016x}",
        "",
    )
    return _SEPARATOR.join(fields)


def parse_issued_key(key: str) -> IssuedKey | None:
    """Return what an issued key tells, or None when a caller chose the key."""
    fields = key.split(_SEPARATOR, 8)
    if len(fields) != 9 or fields[0] != _PREFIX_TAG:
        return None
    _, node, incarnation, backup, backup_incarnation, ledger, issued, _, _ = fields
    if not ledger.isdecimal() or not issued.isdecimal():
        return None
    return IssuedKey(
        NodeId(NodeName(node), Incarnation(incarnation)),
        NodeId(NodeName(backup), Incarnation(backup_incarnation)) if backup else None,
        int(ledger),
        float(issued),
    )
