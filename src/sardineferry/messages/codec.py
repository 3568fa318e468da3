"""Encodes batches of messages as MessagePack.

A frame is an array of ``[type name, message]`` pairs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

__all__ = ["Codec", "CodecError"]


class CodecError(Exception):
    """A frame is malformed or carries a message of an unknown type."""


class Codec:
    """The messages of one protocol.

    ``link_name`` returns the name that a link's first message gives it, or an
    empty text.
    """

    def __init__(
        self, kinds: Iterable[type], link_name: Callable[[object], str]
    ) -> None:
        """Name the types; each one's decoder is built when first needed."""
        self.kinds = {kind.__name__: kind for kind in kinds}
        self.link_name = link_name
        self.decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}
        self.encoder = msgspec.msgpack.Encoder()
        self.envelope = msgspec.msgpack.Decoder(list[tuple[str, msgspec.Raw]])

    def encode(self, messages: Iterable[object]) -> bytes:
        """Encode messages, in order, as one frame."""
        return self.encoder.encode([(type(item).__name__, item) for item in messages])

    def decode(self, frame: bytes) -> list[object]:
        """Decode a frame.

        Raises:
            CodecError: The frame is malformed or a type is unknown.

        """
        try:
            pairs = self.envelope.decode(frame)
            return [self.decoder(name).decode(body) for name, body in pairs]
        except (msgspec.DecodeError, KeyError) as error:
            raise CodecError(str(error)) from error

    def decoder(self, name: str) -> msgspec.msgpack.Decoder[Any]:
        """Return the decoder of a type.

        Raises:
            KeyError: The type is unknown.

        """
        decoder = self.decoders.get(name)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(self.kinds[name])
            self.decoders[name] = decoder
        return decoder
