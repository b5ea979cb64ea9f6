"""Mutual authentication of two nodes by a shared secret.

Each node sends a Hello with a nonce, then a proof over both nonces and both names. A
proof is not valid on another connection or in the opposite direction, which prevents
replay and reflection attacks. The first secret signs and all secrets are accepted, so
that secrets can be rotated without losing links.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
import os
from collections.abc import Sequence
from typing import Final, TypeVar

import cbor2
import msgspec
from websockets.trio.connection import Connection

from toucanyard.cbor_messages import load_cbor
from toucanyard.names import (
    Incarnation,
    NodeId,
    NodeName,
)

PROTOCOL_VERSION: Final = 1
_NONCE_BYTES: Final = 32
_MAX_HANDSHAKE_BYTES: Final = 4_096

T = TypeVar("T")


class Side(enum.StrEnum):
    """The role of a node on a link."""

    CLIENT = "client"
    SERVER = "server"


class Hello(msgspec.Struct, frozen=True):
    """The first message in each direction; later versions may add fields."""

    version: int
    node: str
    incarnation: str
    nonce: bytes


class Proof(msgspec.Struct, frozen=True):
    """The second message in each direction."""

    mac: bytes


class HandshakeError(Exception):
    """The peer uses another protocol version or does not know the secret."""


async def authenticate_peer(
    socket: Connection,
    side: Side,
    identity: NodeId,
    secrets: Sequence[str],
    version: int = PROTOCOL_VERSION,
) -> NodeId:
    """Return the identity of the peer, or raise HandshakeError."""
    nonce = os.urandom(_NONCE_BYTES)
    own = Hello(version, identity.node, identity.incarnation, nonce)
    await _send(socket, own)
    other = await _receive(socket, Hello)
    if other.version != version:
        raise HandshakeError(f"unsupported protocol version {other.version}")
    if len(other.nonce) != _NONCE_BYTES or not other.node or not other.incarnation:
        raise HandshakeError("incomplete hello message")
    await _send(socket, Proof(compute_mac(secrets[0], side, own, other)))
    proof = await _receive(socket, Proof)
    other_side = Side.SERVER if side is Side.CLIENT else Side.CLIENT
    expected = [compute_mac(secret, other_side, other, own) for secret in secrets]
    if not any(hmac.compare_digest(proof.mac, each) for each in expected):
        raise HandshakeError(f"found a wrong proof from {other.node[:64]!r}")
    return NodeId(NodeName(other.node), Incarnation(other.incarnation))


def compute_mac(secret: str, side: Side, sender: Hello, receiver: Hello) -> bytes:
    """Return the proof that the sender, in its role, knows the secret."""
    text = cbor2.dumps([side.value, *msgspec.structs.astuple(sender)])
    text += cbor2.dumps(msgspec.structs.astuple(receiver))
    return hmac.digest(secret.encode(), text, hashlib.sha256)


async def _send(socket: Connection, message: Hello | Proof) -> None:
    await socket.send(cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,))))


async def _receive(socket: Connection, kind: type[T]) -> T:
    data = await socket.recv()
    if isinstance(data, str) or len(data) > _MAX_HANDSHAKE_BYTES:
        raise HandshakeError("received a text frame or an oversized message")
    try:
        return msgspec.convert(load_cbor(data), kind, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError, RecursionError) as error:
        raise HandshakeError(str(error)[:200]) from error
