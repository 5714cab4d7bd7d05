"""Reads whole bodies of httpcore's responses within a limit."""

import anyio
import httpcore

__all__ = ["OversizedBody", "read_body_at_rate", "read_whole_body"]


class OversizedBody(httpcore.RemoteProtocolError):
    """A body is longer than its limit."""


async def read_whole_body(response: httpcore.Response, max_bytes: int) -> bytes:
    """Return the body; raises OversizedBody, or httpcore's errors if it breaks off.

    Time-outs of httpcore are for each read: callers bound the time of the whole.
    """
    body = bytearray()
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > max_bytes:
            raise OversizedBody(f"more than {max_bytes} bytes")
    return bytes(body)


async def read_body_at_rate(
    response: httpcore.Response, max_bytes: int, first_s: float, min_bytes_per_s: float
) -> bytes:
    """Return the body; raises TimeoutError if it arrives more slowly than `min_bytes_per_s`.

    `first_s` is the time in which nothing has to arrive. Other errors are as above.
    """
    body = bytearray()
    began_s = anyio.current_time()
    with anyio.fail_after(first_s) as scope:
        async for chunk in response.aiter_stream():
            body += chunk
            if len(body) > max_bytes:
                raise OversizedBody(f"more than {max_bytes} bytes")
            scope.deadline = began_s + first_s + len(body) / min_bytes_per_s
    return bytes(body)
