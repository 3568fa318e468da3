"""Encodes batches of wire messages as MessagePack.

A frame is an array of ``[type name, message]`` pairs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import get_args

import msgspec

from sardineferry.messages.wire import WireMessage

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["CodecError", "decode_frame", "encode_frame"]

_encoder = msgspec.msgpack.Encoder()
_envelope = msgspec.msgpack.Decoder(list[tuple[str, msgspec.Raw]])
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {
    kind.__name__: msgspec.msgpack.Decoder(kind) for kind in get_args(WireMessage)
}


class CodecError(Exception):
    """A frame is malformed or carries a message of an unknown type."""


def encode_frame(messages: Iterable[WireMessage]) -> bytes:
    """Encode messages, in order, as one frame."""
    return _encoder.encode([(type(item).__name__, item) for item in messages])


def decode_frame(frame: bytes) -> list[WireMessage]:
    """Decode a frame.

    Raises:
        CodecError: The frame is malformed or a type is unknown.

    """
    try:
        pairs = _envelope.decode(frame)
        return [_decoders[name].decode(body) for name, body in pairs]
    except (msgspec.DecodeError, KeyError) as error:
        raise CodecError(str(error)) from error
