"""Time, bytes and memory of the records of streams' origins."""

import time
import tracemalloc

from saffronworks.forwarding.messages import CallerRequest
from saffronworks.forwarding.origins import messages
from saffronworks.forwarding.origins.messages import (
    OriginAnswer,
    OriginLookup,
    OriginNotice,
    OriginStored,
)
from saffronworks.forwarding.origins.records import Origin, OriginTable, stream_key
from saffronworks.forwarding.origins.tuning import MIN_RESUME_WINDOW_MS
from saffronworks.wire import Codec

__all__ = ["print_origins"]

ROUNDS = 20_000
ADDRESS = "10.131.202.113:7660"
CODEC = Codec(messages)


def print_origins() -> None:
    """Bytes of each message, and per record its time at the sender, at a holder, and its memory."""
    origin = Origin("language-model-service", "v1.12.3")
    key = stream_key(_request(0), "9c41d07be2a35f68")
    sent = {
        "notice": OriginNotice(key, origin, MIN_RESUME_WINDOW_MS, ADDRESS),
        "stored": OriginStored(key, ADDRESS),
        "lookup": OriginLookup("0a1b2c3d-1f", ADDRESS, key, "r-vu6se4m", MIN_RESUME_WINDOW_MS),
        "answer": OriginAnswer("0a1b2c3d-1f", ADDRESS, (origin,), 1500),
    }
    print("origins: message, bytes")
    for name, message in sent.items():
        print(f"{name:8} {len(CODEC.encode(message)):4}")
    requests = [_request(number) for number in range(ROUNDS)]
    began_s = time.perf_counter()
    notices = [
        CODEC.encode(
            OriginNotice(
                stream_key(request, request.request_id), origin, MIN_RESUME_WINDOW_MS, ADDRESS
            )
        )
        for request in requests
    ]
    sent_s = time.perf_counter()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = OriginTable()
    for data in notices:
        _store(table, data)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    again_s, table = time.perf_counter(), OriginTable()
    for data in notices:
        _store(table, data)
    stored_s = time.perf_counter()
    print(f"sender {1e6 * (sent_s - began_s) / ROUNDS:.1f} us, one notice")
    print(f"holder {1e6 * (stored_s - again_s) / ROUNDS:.1f} us, {held / ROUNDS:.0f} bytes")


def _request(number: int) -> CallerRequest:
    return CallerRequest(f"{number:016x}", "POST", "/", "h", (), b"", 0, 0, caller="credentials")


def _store(table: OriginTable, data: bytes) -> None:
    notice = CODEC.decode(data).unwrap()
    table.store(notice.key, notice.origin, notice.ttl_ms, 0)
