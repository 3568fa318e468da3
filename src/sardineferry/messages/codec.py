"""Encodes and decodes batches of messages as MessagePack.

A batch is one frame: an array of ``[type name, message]`` pairs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

__all__ = ["Codec", "CodecError", "SplitBatch"]


# What the encoder raises for numbers beyond 64 bits, text with lone surrogates, and
# values of types that it does not support.
ENCODER_ERRORS = (OverflowError, ValueError, TypeError, msgspec.MsgspecError)


class CodecError(Exception):
    """A frame is malformed, or a message can't be encoded or is of an unknown type."""


class SplitBatch(NamedTuple):
    """The messages of a batch that can be encoded, in order, and the others."""

    encodable: list[object]
    rejected: list[object]


class Codec:
    """Encodes and decodes the messages of one protocol.

    ``link_name`` returns the name of a link from its first message, or an
    empty string.
    """

    def __init__(
        self, message_types: Iterable[type], link_name: Callable[[object], str]
    ) -> None:
        """Set the message types; decoders are built on first use."""
        self.types_by_name = {
            message_type.__name__: message_type for message_type in message_types
        }
        self.link_name = link_name
        self.decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}
        self.encoder = msgspec.msgpack.Encoder()
        self.frame_decoder = msgspec.msgpack.Decoder(list[tuple[str, msgspec.Raw]])

    def encode(self, messages: Iterable[object]) -> bytes:
        """Encode messages, in order, as one frame.

        Raises:
            CodecError: A message can't be encoded.

        """
        pairs = [(type(item).__name__, item) for item in messages]
        try:
            return self.encoder.encode(pairs)
        except ENCODER_ERRORS as error:
            raise CodecError(f"cannot encode: {error}") from error

    def split(self, messages: Iterable[object]) -> SplitBatch:
        """Separate the messages that can be encoded from those that can't."""
        batch = SplitBatch([], [])
        for message in messages:
            try:
                self.encode([message])
            except CodecError:
                batch.rejected.append(message)
            else:
                batch.encodable.append(message)
        return batch

    def decode(self, frame: bytes) -> list[object]:
        """Decode a frame.

        Raises:
            CodecError: The frame is malformed or a type is unknown.

        """
        try:
            pairs = self.frame_decoder.decode(frame)
            return [self.decoder_for(name).decode(body) for name, body in pairs]
        except (msgspec.DecodeError, KeyError) as error:
            raise CodecError(str(error)) from error

    def decoder_for(self, name: str) -> msgspec.msgpack.Decoder[Any]:
        """Return the decoder of a message type.

        Raises:
            KeyError: The type is unknown.

        """
        decoder = self.decoders.get(name)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(self.types_by_name[name])
            self.decoders[name] = decoder
        return decoder
