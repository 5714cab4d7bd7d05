"""Steps on endpoints that send bytes without end."""

import tracemalloc

import anyio
from behave import then

from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.tuning import MAX_DISCARDED_BYTES, MAX_HEAD_BYTES
from saffronworks.tests.connection_fakes import WAIT_MS, connect

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What precedes the endless part, and the part that is repeated.
ENDLESS = {
    "reason phrase": (b"HTTP/1.1 200 ", b"x" * 4096),
    "field name": (HEAD, b"x" * 4096),
    "field value": (HEAD + b"a: ", b"x" * 4096),
    "fields": (HEAD, b"a:\r\n" * 65_536),
    "interim answers": (b"", b"HTTP/1.1 102 X\r\n\r\n" * 64),
    "chunk extension": (CHUNKED + b"1;", b"x" * 4096),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"a: b\r\n" * 512),
}
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\n"
# An endless part is sent up to this size, and may use this memory.
SENT_BYTES = 8_388_608
PEAK_BYTES = 3_000_000
# What the event loop reads at a time.
READ_BYTES = 262_144


async def feed_endless(start, repeated):
    """Feed an answer until its connection closes; return the bytes fed and the error."""
    connection, closed = connect(), []
    connection._transport.abort = lambda: closed.append(True)
    connection.send(b"", "r1")
    connection.data_received(start)
    fed_bytes = 0
    while not closed and fed_bytes < SENT_BYTES:
        connection.data_received(repeated)
        fed_bytes += len(repeated)
    try:
        await connection.head(WAIT_MS)
        await connection.body(WAIT_MS)
    except ExchangeError as error:
        return fed_bytes, bool(closed), error.cause
    return fed_bytes, bool(closed), None


def check_endless(start, repeated, bound_bytes, name):
    tracemalloc.start()
    fed_bytes, closed, cause = anyio.run(feed_endless, start, repeated)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    found = (name, fed_bytes, closed, cause, peak_bytes)
    assert closed and cause is ExchangeErrorCause.OVERSIZED, found
    assert fed_bytes <= bound_bytes + READ_BYTES and peak_bytes <= PEAK_BYTES, found


@then("each such answer closes its connection within the bound, and is reported as oversized")
def endless_heads(context):
    for name, (start, repeated) in ENDLESS.items():
        check_endless(start, repeated, MAX_HEAD_BYTES, name)


@then("its connection is closed within the bound, and is reported as oversized")
def endless_discarded(context):
    check_endless(OTHER, b"1000\r\n" + b"x" * 4096 + b"\r\n", MAX_DISCARDED_BYTES, "discarded")
