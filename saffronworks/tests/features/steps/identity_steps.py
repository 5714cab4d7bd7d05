"""Scenarios on API keys and organisations, with whole nodes over loopback."""

import asyncio
import logging
import re

import anyio
from behave import then, when

from saffronworks.standins.sites import wait_until
from saffronworks.tests.platform_place import CONFIG, engines, make_route, on_platform, web_servers

KEY, SECOND_KEY, OTHER_KEY = "banfqasnmgkcuyj8pjbv", "k9m68k7b2ex5wa5xwyhk", "q7vd2m0c4hs8xw1t5znr"
KEYS = (KEY, SECOND_KEY, OTHER_KEY)
UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz"
ORGANISATIONS = [
    {"name": "huka270", "api_keys": [KEY, SECOND_KEY], "priority": 1},
    {"name": "wimo11", "api_keys": [OTHER_KEY], "priority": 2},
]
OPEN_ROUTE = make_route("open", "/open/", "non_idempotent", "web", public=True)
KEYED = CONFIG | {"routes": [*CONFIG["routes"], OPEN_ROUTE], "tenants": ORGANISATIONS}
BAD_KEYS = {
    "no key": {},
    "an unknown key": {"Key": UNKNOWN_KEY},
    "two keys": {"Key": KEY, "KEY": KEY},
    "an empty key": {"Key": ""},
    "a key with a blank": {"Key": f"{KEY} x"},
    "a key of 8 KB": {"Key": "k" * 8192},
    "a key that is no ASCII": {"Key": "k\u00e9y"},
}
# Time within which a node that reaches the store applies a change.
APPLIED_WITHIN_S = 0.5


def without_first_key(version=9):
    first = ORGANISATIONS[0] | {"api_keys": [SECOND_KEY]}
    return KEYED | {"version": version, "tenants": [first, ORGANISATIONS[1]]}


def status(raw):
    return int(raw.split(b" ")[1])


@when("callers send keys, and header fields that only the router may set in several spellings")
def router_fields(context):
    context.servers_used = web_servers()

    async def play(place):
        router_fields = {"Tenant": "wimo11", "TENANT": "x", "Request-Priority": "0"}
        for number, key in enumerate(KEYS):
            fields = {"kEy": key, "Connection": "close, key"} | router_fields
            raw = await place.ask("/once/", f"r{number}", fields, b"hello")
            assert status(raw) == 200, raw

    on_platform(context.servers_used, play, config=KEYED)


@then("endpoints see the organisation that owns the key, and neither a key nor those fields")
def sees_organisation(context):
    seen = [headers for _, _, headers, _ in context.servers_used[0].seen]
    assert [headers["tenant"] for headers in seen] == ["huka270", "huka270", "wimo11"], seen
    for headers in seen:
        assert "key" not in headers and not set(headers.values()) & set(KEYS), headers


@when("a caller sends {what} on a route that needs a key")
def bad_key(context, what):
    context.servers_used = web_servers()

    async def play(place):
        context.raw = await place.ask("/once/", "r1", BAD_KEYS[what])

    on_platform(context.servers_used, play, config=KEYED)


@then("it gets status 401 without an organisation, and no endpoint sees the request")
def gets_401(context):
    assert status(context.raw) == 401, context.raw
    assert b"huka270" not in context.raw and b"retry-after" not in context.raw.lower()
    assert not context.servers_used[0].seen


@then("it is served without a key, and with an unknown one")
def public_route(context):
    servers = web_servers()

    async def play(place):
        for number, fields in enumerate([{}, {"Key": UNKNOWN_KEY}, {"Key": KEY}]):
            assert status(await place.ask("/open/", f"r{number}", fields)) == 200

    on_platform(servers, play, config=KEYED)
    assert [seen[2].get("tenant") for seen in servers[0].seen] == [None, None, "huka270"]
    assert all("key" not in seen[2] for seen in servers[0].seen)


class KeptConnection:
    """A caller's connection that is kept alive between requests."""

    async def open(self, address):
        host, port = address.split(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        return self

    async def ask(self, request_id, key):
        head = f"POST /once/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
        self._writer.write(f"{head}Key: {key}\r\nContent-Length: 0\r\n\r\n".encode())
        async with asyncio.timeout(3):
            answer = await self._reader.readuntil(b"\r\n\r\n")
            length = int(re.search(rb"content-length: (\d+)", answer.lower())[1])
            await self._reader.readexactly(length)
        return status(answer)

    def close(self):
        self._writer.close()


@when("a key is revoked while its caller keeps a connection open")
def revoke_while_connected(context):
    async def play(place):
        connection = await KeptConnection().open(place.callers)
        context.before = await connection.ask("r1", KEY)
        place.store.put("config", "main", without_first_key())
        await anyio.sleep(APPLIED_WITHIN_S)
        context.after = [await connection.ask("r2", KEY), await connection.ask("r3", SECOND_KEY)]
        connection.close()

    on_platform(web_servers(), play, config=KEYED)


@then("the next request on it gets status 401, and the organisation's other key is served")
def next_is_rejected(context):
    assert (context.before, context.after) == (200, [401, 200])


def revoke_during_generation(servers, may_revoke, path="/gen/"):
    """Revoke the key of a generation once `may_revoke(place)` is true; return its answer."""
    got = []

    async def play(place):
        async def ask():
            counts = {"Token-Counts": "5000,9000", "Length-Hint": "300", "Key": KEY}
            got.append(await place.ask(path, "g1", counts, b"prompt"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            assert await wait_until(lambda: may_revoke(place), limit_s=3)
            place.store.put("config", "main", without_first_key())
            await anyio.sleep(APPLIED_WITHIN_S)
            for server in servers:
                server.full = False

    on_platform(servers, play, config=KEYED)
    return got[0]


def calls_to(server, name):
    return [target for _, target, _, _ in server.seen if target.endswith(name)]


@then("one that waits for memory is rejected, and reaches no endpoint")
def waits_for_memory(context):
    servers = engines()
    for server in servers:
        server.full = True
    slow = make_route("gen", "/gen/", "streaming", "llm", target_latency_ms=9000, timeout_ms=9000)
    KEYED["routes"].append(slow | {"path_prefix": "/gen/slow/"})
    try:
        raw = revoke_during_generation(
            servers, lambda _: calls_to(servers[0], "hold-take"), path="/gen/slow/"
        )
    finally:
        KEYED["routes"].pop()
    assert status(raw) == 401, raw
    assert not any(server.ran for server in servers)


@then("one in its prefill gets no stream")
def in_prefill(context):
    servers = engines()
    servers[2].read_s = 1.0
    raw = revoke_during_generation(
        servers, lambda _: any(seen[2].get("stage") == "prefill" for seen in servers[2].seen)
    )
    assert status(raw) == 401, raw
    assert not any(server.ran for server in servers)


@then("a stream that has begun is completed")
def has_started(context):
    servers = engines()
    for server in servers[:2]:
        server.work_s = 1.0
    raw = revoke_during_generation(servers, lambda _: any(server.ran for server in servers[:2]))
    assert status(raw) == 200 and raw.endswith(b"0\r\n\r\n"), raw


@when("a key is revoked and the store then returns an older configuration")
def older_version(context):
    async def play(place):
        place.store.put("config", "main", without_first_key())
        await anyio.sleep(APPLIED_WITHIN_S)
        context.statuses = [status(await place.ask("/once/", "r1", {"Key": KEY}))]
        place.store.put("config", "main", KEYED | {"version": 8})
        await anyio.sleep(APPLIED_WITHIN_S)
        context.statuses.append(status(await place.ask("/once/", "r2", {"Key": KEY})))

    on_platform(web_servers(), play, config=KEYED)


@then("the key stays rejected")
def stays_rejected(context):
    assert context.statuses == [401, 401]


class RecordedLines(logging.Handler):
    def __init__(self):
        super().__init__(logging.DEBUG)
        self.lines = []

    def emit(self, record):
        self.lines.append(self.format(record))


@when("callers are served and rejected, with all log levels enabled")
def serve_with_all_logs(context):
    recorded = context.recorded = RecordedLines()
    context.outputs = []
    root = logging.getLogger()
    level = root.level
    root.addHandler(recorded)
    root.setLevel(logging.DEBUG)
    logging.disable(logging.NOTSET)

    async def play(place):
        for number, key in enumerate([KEY, OTHER_KEY, UNKNOWN_KEY, f"{KEY} x"]):
            for path in ("/once/", "/gen/", "/none/"):
                counts = {"Token-Counts": "5000,9000" if number else "odd", "Key": key}
                context.outputs.append(await place.ask(path, f"r{number}{path}", counts, b"x"))
        bad = ORGANISATIONS[1] | {"name": "x", "api_keys": [KEY, "a b", OTHER_KEY]}
        place.store.put("config", "main", KEYED | {"version": 9, "tenants": [*ORGANISATIONS, bad]})
        await anyio.sleep(APPLIED_WITHIN_S)
        context.outputs += [str(node._state.figures.counts).encode() for node in place.nodes]

    try:
        on_platform([*web_servers(), *engines()], play, config=KEYED, count=2)
    finally:
        logging.disable(logging.CRITICAL)
        root.setLevel(level)
        root.removeHandler(recorded)


@then("no log line, answer, metric or message between nodes contains a key")
def contains_no_key(context):
    lines = [line for line in context.recorded.lines if "event=" in line]
    assert len(lines) > 20, len(lines)
    for text in [*lines, *(raw.decode("latin-1") for raw in context.outputs)]:
        assert not any(key in text for key in (*KEYS, UNKNOWN_KEY)), text
