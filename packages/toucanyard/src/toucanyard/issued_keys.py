"""Format and parse issued keys.

An issued key names the only node incarnation that may ever dispatch it, and a backup
node in another failure domain that can revoke it when that incarnation is gone.
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
    """The parsed content of an issued key."""

    issuer: NodeId
    backup: NodeId | None
    """The backup node; None if the issuer knew no other node."""
    ledger: int
    issued_ms: float
    """By the issuer's clock; compared only with times of the same clock."""


def format_prefix(key: IssuedKey, nonce: int) -> str:
    """Return the key prefix, to which a caller appends its own suffix."""
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
    """Return the content of an issued key, or None for a caller-chosen key."""
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
