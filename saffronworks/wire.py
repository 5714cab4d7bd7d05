"""The codec between nodes: MessagePack pairs of a type name and a body, by msgspec."""

from types import ModuleType
from typing import Annotated, Any, TypeVar, get_args, get_type_hints

import attrs
import msgspec
from result import Err, Ok, Result

__all__ = [
    "DECODE_ERRORS",
    "Age",
    "Codec",
    "Decoded",
    "Encoded",
    "Independent",
    "Rate",
    "Real",
    "Size",
    "Wait",
    "Whole",
]

T = TypeVar("T")

# Numbers in messages. Products with a small factor and sums of many of them stay within 64 bits,
# so that a receiver can send on what it computes of them.
Whole = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
Real = Annotated[float, msgspec.Meta(ge=-(2.0**53), le=2.0**53)]
Size = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=2.0**53)]
# Time since an observation in ms. A negative one would lie in the future, and be the newest one
# known of its subject until then.
Age = Size
# Time until a retry in ms, a day at most.
Wait = Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]

# Of an item that is left out, this much is logged.
_SHOWN_CHARS = 120
_INDEPENDENT = "independent"
# A collection whose items don't depend on each other: one that can't be sent or read is left out.
Independent = Annotated[tuple[T, ...], _INDEPENDENT]

# msgspec raises its own errors, and these for text that is not UTF-8 and for values nested deeply.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
_ENCODE_ERRORS = (msgspec.MsgspecError, TypeError, ValueError, OverflowError, RecursionError)


@attrs.frozen
class Encoded:
    """A message as bytes, and the problems of the items that were left out."""

    data: bytes
    dropped: tuple[str, ...] = ()


@attrs.frozen
class Decoded:
    """A message, and the problems of the items that were left out."""

    message: Any
    dropped: tuple[str, ...] = ()


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
            return Ok(self._find_decoder(name).decode(body))
        except DECODE_ERRORS as error:
            return Err(f"bad message: {error}")

    def encode_valid_items(self, message: object) -> Encoded:
        """Encode a message without the independent items that have no encoding, else as `encode`.

        Such an item costs its own request or endpoint its place in the message, and no other.
        """
        try:
            return Encoded(self.encode(message))
        except _ENCODE_ERRORS:
            kept, dropped = self._drop_unsendable(message)
            return Encoded(self.encode(kept), dropped)

    def decode_valid_items(self, data: bytes) -> Result[Decoded, str]:
        """Decode a message without the independent items that can't be read, else as `decode`."""
        whole = self.decode(data)
        if isinstance(whole, Ok):
            return Ok(Decoded(whole.ok_value))
        try:
            name, body = self._envelope.decode(data)
            kept, dropped = self._drop_unreadable(self._kinds[name], body)
            return Ok(Decoded(self._find_decoder(name).decode(kept), dropped))
        except (KeyError, *DECODE_ERRORS):
            return whole

    def _find_decoder(self, name: str) -> msgspec.msgpack.Decoder[Any]:
        if name not in self._decoders:
            self._decoders[name] = msgspec.msgpack.Decoder(self._kinds[name])
        return self._decoders[name]

    def _drop_unsendable(self, message: object) -> tuple[object, tuple[str, ...]]:
        """Return a message without the independent items that have no encoding."""
        kept: dict[str, tuple[Any, ...]] = {}
        dropped: list[str] = []
        for field in _independent_fields(type(message)):
            items = [(item, self._find_problem(item)) for item in getattr(message, field)]
            kept[field] = tuple(item for item, problem in items if problem is None)
            dropped += [
                _describe(field, problem, item) for item, problem in items if problem is not None
            ]
        return (attrs.evolve(message, **kept) if dropped else message), tuple(dropped)  # type: ignore[misc]

    def _find_problem(self, item: object) -> str | None:
        try:
            self._encoder.encode(item)
        except _ENCODE_ERRORS as error:
            return str(error)
        return None

    def _drop_unreadable(self, kind: type, body: msgspec.Raw) -> tuple[bytes, tuple[str, ...]]:
        """Return the body of a message without the independent items that can't be read."""
        fields = msgspec.msgpack.decode(body, type=dict[str, msgspec.Raw])
        dropped: list[str] = []
        for name, item_kind in _independent_fields(kind).items():
            if name not in fields:
                continue
            kept = []
            for item in msgspec.msgpack.decode(fields[name], type=list[msgspec.Raw]):
                try:
                    msgspec.msgpack.decode(item, type=item_kind)
                    kept.append(item)
                except DECODE_ERRORS as error:
                    dropped.append(_describe(name, str(error), bytes(item)))
            fields[name] = msgspec.Raw(self._encoder.encode(kept))
        return self._encoder.encode(fields), tuple(dropped)


def _independent_fields(kind: type) -> dict[str, Any]:
    """Return the fields of a message with independent items, and the types of their items."""
    hints = get_type_hints(kind, include_extras=True) if attrs.has(kind) else {}
    return {
        name: get_args(get_args(hint)[0])[0]
        for name, hint in hints.items()
        if _INDEPENDENT in getattr(hint, "__metadata__", ())
    }


def _describe(field: str, problem: str, item: object) -> str:
    """Return the problem of an item and its start, which has the id of its request or endpoint."""
    return f"{field}: {problem} in {repr(item)[:_SHOWN_CHARS]}"


def _find_kinds(module: ModuleType) -> list[tuple[str, type]]:
    named = [(name, getattr(module, name)) for name in module.__all__]
    return [
        (name, kind)
        for name, kind in named
        if isinstance(kind, type) and kind.__module__ == module.__name__
    ]
