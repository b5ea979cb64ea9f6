"""Encode and decode the messages between nodes: tagged messages in CBOR.

One closed union lists every message. A message that fails to decode is an error of the
sender; the link is closed and no partial result is used.
"""

from __future__ import annotations

import cbor2
import msgspec

from toucanyard.cbor_messages import decode_cbor
from toucanyard.configuration_records import ConfigurationDelta
from toucanyard.digests import (
    ConfigurationOffer,
    ConfigurationRequest,
    Digest,
    DigestMessage,
)
from toucanyard.key_messages import (
    KeyControlMessage,
    KeyMessage,
    KeysRecorded,
    RecordingMessage,
    RecordKeys,
)
from toucanyard.snapshots import (
    SnapshotBusy,
    SnapshotMessage,
    SnapshotPart,
    SnapshotRequest,
)

PeerMessage = KeyMessage | DigestMessage | SnapshotMessage


ConfigurationMessage = ConfigurationRequest | ConfigurationDelta | ConfigurationOffer


class _KeyFrame(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    message: KeyControlMessage


class _RecordingFrame(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    message: RecordingMessage


class _DigestFrame(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    message: Digest


class _ConfigurationFrame(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    message: ConfigurationMessage


class _SnapshotFrame(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    message: SnapshotMessage


# Digests and recording messages are encoded as arrays, since they are sent constantly.
# The codec can't distinguish arrays from maps in one union, so the tag of a frame names
# the family of its message.
_Frame = (
    _KeyFrame | _RecordingFrame | _DigestFrame | _ConfigurationFrame | _SnapshotFrame
)


def encode_message(message: PeerMessage) -> bytes:
    """Encode one message."""
    frame: _Frame
    match message:
        case Digest():
            frame = _DigestFrame(message)
        case ConfigurationRequest() | ConfigurationDelta() | ConfigurationOffer():
            frame = _ConfigurationFrame(message)
        case SnapshotRequest() | SnapshotPart() | SnapshotBusy():
            frame = _SnapshotFrame(message)
        case RecordKeys() | KeysRecorded():
            frame = _RecordingFrame(message)
        case _:
            frame = _KeyFrame(message)
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))


def decode_message(data: bytes) -> PeerMessage:
    """Decode one message, or raise MessageInvalidError."""
    frame: _Frame = decode_cbor(data, _Frame)
    return frame.message
