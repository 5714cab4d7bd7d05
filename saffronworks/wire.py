"""The codec between nodes: MessagePack pairs of a type name and a body, by msgspec."""

from types import ModuleType
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

__all__ = ["DECODE_ERRORS", "Codec", "Real", "Size", "Whole"]

# Numbers in messages. Products with a small factor and sums of many of them stay within 64 bits,
# so that a receiver can send on what it computes of them.
Whole = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
Real = Annotated[float, msgspec.Meta(ge=-(2.0**53), le=2.0**53)]
Size = Annotated[int, msgspec.Meta(ge=0, le=2**53)]

# msgspec raises its own errors, and these for text that is not UTF-8 and for values nested deeply.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class Codec:
    """Encodes and decodes the public types of the modules that it is given.

    A process names only the modules whose messages it exchanges, so that it starts fast.
    """

    def __init__(self, *modules: ModuleType):
        self._kinds = {name: kind for module in modules for name, kind in _find_kinds(module)}
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, message: object) -> bytes:
        """A message as bytes; raises what msgspec does for a value that has no encoding."""
        return self._encoder.encode((type(message).__name__, message))

    def decode(self, data: bytes) -> Result[Any, str]:
        """The message in `data`, or why there is none."""
        try:
            name, body = self._envelope.decode(data)
            if name not in self._kinds:
                return Err(f"unknown message {name!r}")
            if name not in self._decoders:
                self._decoders[name] = msgspec.msgpack.Decoder(self._kinds[name])
            return Ok(self._decoders[name].decode(body))
        except DECODE_ERRORS as error:
            return Err(f"bad message: {error}")


def _find_kinds(module: ModuleType) -> list[tuple[str, type]]:
    named = [(name, getattr(module, name)) for name in module.__all__]
    return [
        (name, kind)
        for name, kind in named
        if isinstance(kind, type) and kind.__module__ == module.__name__
    ]
