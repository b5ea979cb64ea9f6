"""Encode and decode what nodes send one another: CBOR of tagged messages.

One closed union names every message. A message that doesn't decode is the sender's
fault and is answered by closing the link, never by guessing.
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


# Digests and notes are arrays, since they are sent all the time; the codec can't tell
# arrays and maps apart in one union, so a frame says which family a message is of.
_Frame = (
    _KeyFrame | _RecordingFrame | _DigestFrame | _ConfigurationFrame | _SnapshotFrame
)


def encode_message(message: PeerMessage) -> bytes:
    """Return the bytes of one message."""
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
    """Return the message in some bytes, or raise MessageInvalidError."""
    frame: _Frame = decode_cbor(data, _Frame)
    return frame.message
