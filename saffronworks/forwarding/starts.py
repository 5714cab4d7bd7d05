"""Identity of one start of an endpoint.

An endpoint may start again under the name that it had, and then holds and knows nothing of before.
Whatever is known of an endpoint is therefore kept by its start, not by its name.
"""

from typing import NewType

__all__ = ["StartId", "is_later", "start_id"]

# The name of an endpoint, and the time of its start where it tells that: `name` or `name@born_ms`.
# It is a text, so that nodes of a version that knows names alone read it in messages.
StartId = NewType("StartId", str)


def start_id(name: str, born_ms: int | None = None) -> StartId:
    """The identity of the start of `name` at `born_ms` (Unix time), None where it is not told."""
    return StartId(name if born_ms is None else f"{name}@{born_ms}")


def is_later(born_ms: int | None, than_ms: int | None) -> bool:
    """Whether one start of an endpoint is later than another one of the same name.

    A start without a time may be any: it is no later one. One that tells its time is later than
    what was heard before without one.
    """
    return born_ms is not None and (than_ms is None or born_ms > than_ms)
