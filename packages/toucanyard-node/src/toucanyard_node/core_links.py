"""Codec of the links between nodes that run `node_core`."""

from __future__ import annotations

from typing import Final

from toucanyard.cbor_messages import MAX_MESSAGE_BYTES
from toucanyard.core_events import LinksChanged, MessageRead
from toucanyard.wire import PeerMessage, decode_message, encode_message
from toucanyard_node.link_codec import LinkCodec

LinkEvent = LinksChanged | MessageRead
CORE_LINKS: Final[LinkCodec[PeerMessage, LinkEvent]] = LinkCodec(
    encode_message, decode_message, LinksChanged, MessageRead, MAX_MESSAGE_BYTES
)
