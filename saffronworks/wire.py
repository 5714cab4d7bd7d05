"""The codec between nodes: MessagePack pairs of a type name and a body, by msgspec."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from saffronworks import documents, membership, messages
from saffronworks.forwarding import memory_messages

__all__ = ["decode", "encode"]


def _find_kinds() -> dict[str, type]:
    kinds: dict[str, type] = {}
    for module in (messages, membership, documents, memory_messages):
        for name in module.__all__:
            kind = getattr(module, name)
            if isinstance(kind, type) and kind.__module__ == module.__name__:
                kinds[name] = kind
    return kinds


_KINDS = _find_kinds()
_encoder = msgspec.msgpack.Encoder()
_envelope = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}


def encode(message: object) -> bytes:
    """A message as bytes."""
    return _encoder.encode((type(message).__name__, message))


def decode(data: bytes) -> Result[Any, str]:
    """The message in `data`, or why there is none."""
    try:
        name, body = _envelope.decode(data)
        if name not in _KINDS:
            return Err(f"unknown message {name!r}")
        if name not in _decoders:
            _decoders[name] = msgspec.msgpack.Decoder(_KINDS[name])
        return Ok(_decoders[name].decode(body))
    except msgspec.MsgspecError as error:
        return Err(f"bad message: {error}")
