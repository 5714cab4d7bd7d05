"""Identity of one start of an endpoint.

A restarted endpoint keeps its name but loses its state. State about endpoints is therefore kept by
start, not by name.
"""

from typing import NewType

__all__ = ["StartId", "endpoint_name", "is_later", "start_id"]

# Name of an endpoint, and the time of its start if it reports one: `name` or `name@born_ms`. A
# string, so that nodes of older versions, which know only names, can decode it in messages.
StartId = NewType("StartId", str)


def start_id(name: str, born_ms: int | None = None) -> StartId:
    """Return the identity of the start of `name` at `born_ms` (Unix time, None if unknown)."""
    return StartId(name if born_ms is None else f"{name}@{born_ms}")


def endpoint_name(instance: StartId) -> str:
    """Return the name of the endpoint that a start belongs to."""
    return instance.rpartition("@")[0] or instance


def is_later(born_ms: int | None, than_ms: int | None) -> bool:
    """Return whether one start of an endpoint is later than another one of the same name.

    A start without a time is never later. One with a time is later than one without.
    """
    return born_ms is not None and (than_ms is None or born_ms > than_ms)
