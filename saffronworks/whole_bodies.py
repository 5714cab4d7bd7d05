"""Reads whole bodies of httpcore's responses within a limit."""

import httpcore

__all__ = ["OversizedBody", "read_whole_body"]


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
