"""Scenarios on numbers in header fields."""

import anyio
from behave import then
from hypothesis import given as forall
from hypothesis import strategies as st
from result import Err, Ok

from saffronworks.field_numbers import read_decimal, read_whole
from saffronworks.platform.ingress import read_request
from saffronworks.tests.caller_fakes import FakeCaller
from saffronworks.tests.connection_fakes import connect, receive

FIELDS = ("deadline-ms", "last-event-id", "length-hint", "token-counts")
MALFORMED = [
    "²",
    "²,1",
    "1,²",
    "9" * 5000,
    "9" * 400 + ",1",
    "-1",
    "1e400",
    "nan",
    "inf",
    "",
    ",",
    "1,2,3",
]
VALUES = st.one_of(
    st.sampled_from([*MALFORMED, "7", "14000.5", "1460,80", " 12 "]),
    st.text(st.characters(max_codepoint=255), max_size=12),
)


def read_fields(fields):
    """Decode a caller's request with these header fields."""
    call = FakeCaller("POST", "/").call
    call.headers |= {"request-id": "r1", **fields}
    return read_request(call, b"", 0)


@then("with any text in numeric fields, a caller gets status 400 with each finding, or is served")
def rejected_or_served(context):
    @forall(st.dictionaries(st.sampled_from(FIELDS), VALUES))
    def check(fields):
        read = read_fields(fields)
        if isinstance(read, Ok):
            return
        found = {finding.partition(":")[0].lower() for finding in read.err_value}
        assert found <= fields.keys() and len(read.err_value) == len(found)

    check()
    all_bad = read_fields(dict.fromkeys(FIELDS, "²"))
    assert len(all_bad.err_value) == len(FIELDS), all_bad.err_value
    for text in MALFORMED:
        assert isinstance(read_fields({"token-counts": text}), Err), text


@then("findings show only a few characters of what a caller sent")
def shortened(context):
    for finding in read_fields(dict.fromkeys(FIELDS, "9" * 5000)).err_value:
        assert len(finding) < 120, finding


@then("with any text as the timeout of an endpoint's Keep-Alive, its answer is complete")
def keeps_connections(context):
    async def keep_alive(value):
        connection = connect()
        fields = f"Request-Id: r1\r\nKeep-Alive: timeout={value}\r\nContent-Length: 3"
        answer = f"HTTP/1.1 200 OK\r\n{fields}\r\n\r\nown".encode("latin-1")
        _, body = await receive(connection, answer, "r1")
        return body, connection.keep_alive_ms

    for value in ("²", "9" * 400, "-1", "nan", "", "1e9", "5"):
        body, keep_alive_ms = anyio.run(keep_alive, value)
        assert body == b"own" and 0 < keep_alive_ms < 10_000, (value, keep_alive_ms)


@then("whole numbers and fractions are read exactly, with blanks around them")
def read_exactly(context):
    @forall(st.integers(0, 10**18 - 1))
    def check(number):
        assert read_whole(f" {number}\t") == Ok(number)

    check()
    for text, number in (("0", 0.0), ("2.4", 2.4), ("7.", 7.0), (" 14000.25 ", 14_000.25)):
        assert read_decimal(text) == Ok(number)
    assert read_decimal("9" * 16) == Err("9" * 16) and isinstance(read_whole("1.0"), Err)
