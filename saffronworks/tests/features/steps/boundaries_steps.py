"""Properties of what callers, endpoints, peers and the store send: it is rejected, or can go on."""

from contextlib import nullcontext
from random import Random
from tempfile import TemporaryDirectory
from types import SimpleNamespace
from unittest.mock import AsyncMock

import anyio
import attrs
import httpcore
import msgspec
from behave import then, when
from hypothesis import given as forall
from hypothesis import strategies as st
from result import Err, Ok

from saffronworks.documents import Document
from saffronworks.engines import EngineClient
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.event_streams import EventSplitter
from saffronworks.forwarding.messages import AnswerHead, Executed, PromptSize
from saffronworks.forwarding.paths.messages import (
    RelayRequest,
    decode_reply,
    decode_request,
    encode,
)
from saffronworks.forwarding.planning import messages as planning_messages
from saffronworks.forwarding.planning.client import MemoryClient, RunSize
from saffronworks.forwarding.stream_relays import StreamRelay
from saffronworks.kernel import Kernel
from saffronworks.members import read_vms
from saffronworks.platform import calls, request_sends
from saffronworks.platform.configuration import read_configuration
from saffronworks.platform.ingress import read_request
from saffronworks.platform.request_lines import join_request
from saffronworks.platform.servers import read_server
from saffronworks.routes import RouteTable
from saffronworks.signoffs import read_record
from saffronworks.standins.addresses import free_address
from saffronworks.stores import StoreClient
from saffronworks.tests.caller_fakes import FakeCaller
from saffronworks.tests.platform_fakes import FakeServer
from saffronworks.tests.platform_place import CONFIG, make_node, on_platform, web_servers
from saffronworks.tests.service_nodes import MODULES
from saffronworks.wire import Codec

HUGE = 10**18 - 1
# One in so many fields of messages is odd.
ODD_PICK = 30
NUMBERS = st.sampled_from(
    [0, 1, -1, 2**53 + 1, HUGE, 2**63 - 1, 2**64 - 1, -(2**63), 1e308, -1e308]
)
BOUNDED = st.sampled_from([0, 1, 7, -1, 2**31, 2**53, -(2**53)])
TEXTS = st.sampled_from(["", "a", "é", "\u2603", "a\r\nEvil: 1", "a b", "\x00", "1", "9" * 400])
ODD = NUMBERS | TEXTS | st.sampled_from([None, True, [], {}, [1], float("nan"), float("inf")])
NESTED = b'{"x":' + b"[" * 100_000
BYTES = st.sampled_from([b"\xff", b'"\xff"', b'{"hold":"\xff"}', NESTED, b"", b"{"])


def make(kind):
    """The plain value of a message in which each field may be odd; most are sound."""
    return st.fixed_dictionaries(
        {field.name: make_value(field.type) for field in attrs.fields(kind)}
    )


def make_value(kind):
    sound = st.deferred(lambda: make_sound(kind))
    return st.integers(0, ODD_PICK).flatmap(lambda pick: ODD if pick == ODD_PICK else sound)


def make_sound(kind):
    args = [one for one in getattr(kind, "__args__", ()) if one is not Ellipsis]
    if attrs.has(kind):
        return make(kind)
    if hasattr(kind, "__metadata__") and kind.__origin__ not in (int, float):
        return make_sound(kind.__origin__)
    if hasattr(kind, "__metadata__"):
        return in_bounds(kind) if kind.__origin__ is int else in_bounds(kind).map(float)
    if getattr(kind, "__origin__", None) is tuple:
        if len(args) == 1:
            return st.lists(make_value(args[0]), max_size=2)
        return st.tuples(*map(make_value, args))
    if args:
        return st.one_of(*map(make_sound, args))
    names = {int: NUMBERS, float: NUMBERS.map(float), bool: st.booleans(), bytes: st.binary()}
    return names.get(kind, st.none() if kind is type(None) else TEXTS)


def in_bounds(kind):
    """The bounded numbers that a type allows."""
    return BOUNDED.filter(lambda number: is_allowed(number, kind))


def is_allowed(number, kind):
    try:
        msgspec.convert(number, kind, strict=False)
    except msgspec.ValidationError:
        return False
    return True


def message_kinds():
    found = [(name, getattr(module, name)) for module in MODULES for name in module.__all__]
    return [(name, kind) for name, kind in found if attrs.has(kind)]


@then("with any ids of events, the report of the stream's node can be encoded")
def report_encoded(context):
    codec = Codec(planning_messages)

    @forall(st.integers(0, 10**20), st.sampled_from([1, 63, 2**31 - 1]), st.integers(0, 15))
    def check(event_id, stride, digits):
        mark = EventSplitter().feed(b"id: %d\ndata: x\n\n" % event_id)
        client = MemoryClient("n", 0)
        client._kernel = Kernel("n", lambda: 0)
        client.begin("r", "s", "e", RunSize(1, 1, 1))
        size = PromptSize(1, 10**digits - 1, None)
        request = SimpleNamespace(request_id="r", prompt=size, after_event=None)
        node, job = SimpleNamespace(memory=client), SimpleNamespace(request=request)
        StreamRelay(node, job, None, None, stride)._record_events(mark.ids)
        report = client._make_report("s", 0)
        codec.encode(report)
        # An id beyond the answer's most tokens must not distort what planners learn.
        assert report.runs[0].made_tokens <= size.most_answer_tokens + stride

    check()


@then("with any values in the fields of messages, a node's answers can be encoded")
def answers_encoded(context):
    codec = Codec(*MODULES)
    with TemporaryDirectory() as folder:
        store = type("Store", (), {"address": free_address()})
        node = make_node(folder, 1, store)
        kernel, sent, handled = node._kernel, [], set()
        kernel.post = lambda name, message: sent.append((name, message)) or True
        services = dict(kernel._services)
        for service in services.values():
            service._kernel = kernel
        node._forwarder.table = read_configuration(msgspec.json.encode(CONFIG)).ok_value

        def check(fields, name, kind):
            decoded = codec.decode(msgspec.msgpack.encode((name, fields)))
            if isinstance(decoded, Err):
                return
            handled.add(name)
            sent.clear()
            for one in kernel._subscribers.get(kind, ()):
                service = services[one]
                if one == "memory-planner":
                    service._handle(kernel, decoded.ok_value.service, decoded.ok_value)
                else:
                    service._handle(decoded.ok_value)
            for _, message in sent:
                codec.encode(getattr(message, "message", message))

        kinds = message_kinds()
        for name, kind in kinds:
            forall(make(kind), st.just(name), st.just(kind))(check)()
        assert handled == {name for name, _ in kinds}, handled


@then("with any values in their fields, what is read fits messages and header fields")
def store_values(context):
    entry = {
        "service": "s",
        "address": "10.0.0.1:1",
        "zone": "z",
        "version": "v",
        "slots": 1,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
    }
    engine = {"slots": 4, "kv_capacity_tokens": 9, "stride": 64, "hold_ms": 2000.0}
    route, limits = CONFIG["routes"][1], CONFIG["limits"]
    tenant = {"name": "o", "api_keys": ["k"], "rate_per_s": 1, "plain_tokens": 1, "burst": 1}

    def change(fields):
        keys = st.sampled_from([*fields, "born", "stage", "priority", "resumable", "unit"])
        return st.dictionaries(keys, ODD, max_size=1).map(lambda odd: fields | odd)

    @forall(change(entry), TEXTS, BYTES)
    def check_entry(fields, name, raw):
        for content in (as_json(fields), raw):
            read = read_server(name, content, 10**12)
            if isinstance(read, Ok):
                assert f"{name}".isascii() and name.isprintable() and " " not in name, name
                assert read.ok_value.instance.isascii()

    @forall(change(route), change(engine), change(limits), change(tenant), BYTES)
    def check_configuration(odd_route, odd_engine, odd_limits, odd_tenant, raw):
        services = [{"name": "web", "max_conns": 9}, {"name": "llm", "engine": odd_engine}]
        parts = {"routes": [odd_route], "services": services, "tenants": [odd_tenant]}
        assert isinstance(read_configuration(raw), Err)
        read = read_configuration(as_json({"version": 1, "limits": odd_limits} | parts))
        if isinstance(read, Ok):
            numbers = msgspec.to_builtins([read.ok_value.routes, read.ok_value.services])
            msgspec.msgpack.encode(numbers)
            assert all(abs(number) <= 2**53 for number in find_numbers(numbers)), numbers

    check_entry()
    check_configuration()


def as_json(fields):
    """Encode as JSON; NaN and infinity become null."""
    return msgspec.json.encode(fields)


def find_numbers(value):
    if isinstance(value, dict | list | tuple):
        for item in value.values() if isinstance(value, dict) else value:
            yield from find_numbers(item)
    elif isinstance(value, int | float):
        yield value


@then("with any reservation or handle from an endpoint, it is rejected or fits a header field")
def handles_fit(context):
    replies = st.dictionaries(st.sampled_from(["hold", "kv_handle", "tokens"]), ODD).map(as_json)

    @forall(replies | BYTES)
    def check(content):
        hold = calls.read_reply(content, calls._HoldReply).map(lambda reply: reply.hold)
        handle = calls.read_reply(content, calls._PrefillReply)
        if isinstance(handle, Ok):
            assert abs(handle.ok_value.tokens) <= 2**53
        for read in (hold, handle.map(lambda reply: reply.kv_handle)):
            if isinstance(read, Ok):
                text = read.ok_value
                assert text and text.isascii() and text.isprintable() and " " not in text, text

    check()
    assert calls.read_reply(b'{"hold":"h1"}', calls._HoldReply).ok_value.hold == "h1"


# What an endpoint answers, and the status that its caller gets.
ANSWERS = [
    (b"HTTP/1.1 299 X\r\nContent-Length: 2\r\n%s\r\nok", 299),
    (b"HTTP/1.1 599 X\r\nContent-Length: 2\r\n%s\r\nok", 599),
    (b"HTTP/1.1 600 X\r\nContent-Length: 2\r\n%s\r\nok", 502),
    (b"HTTP/1.1 999 X\r\nContent-Length: 2\r\n%s\r\nok", 502),
    (b"HTTP/1.1 204 X\r\nContent-Length: 5\r\n%s\r\n", 204),
    (b"HTTP/1.1 304 X\r\nContent-Length: 5\r\n%s\r\n", 304),
    (b"HTTP/1.1 304 X\r\n%s\r\n", 304),
    (b"HTTP/1.1 200 X\r\nX-A: \xff\xe9\r\nX-B:\r\nContent-Length: 2\r\n%s\r\nok", 200),
    (b"HTTP/1.1 200 X\r\nX-A: a\x0bb\r\nContent-Length: 2\r\n%s\r\nok", 502),
    (b"HTTP/1.1 200 X\r\nX A: 1\r\nContent-Length: 2\r\n%s\r\nok", 502),
    (b"HTTP/1.1 200 X\r\nContent-Length: +2\r\n%s\r\nok", 502),
    (b"HTTP/1.1 200 X\r\nContent-Length: 2\r\nContent-Length: 3\r\n%s\r\nok", 502),
    (b"HTTP/1.1 200 X\r\nContent-Length: 99999999999999999999999\r\n%s\r\nok", 502),
]


class RawServer(FakeServer):
    """Answers plain requests with the next bytes of a list."""

    answers = ()

    async def _plain(self, writer, own, body, fault):
        fields = "".join(f"{key}: {value}\r\n" for key, value in own.items())
        writer.write(self.answers.pop(0) % fields.encode())
        await writer.drain()
        return False


@when("endpoints answer with statuses that have no body or don't exist, and with odd fields")
def odd_answers(context):
    server = RawServer("w0", "web")
    server.answers = [answer for answer, _ in ANSWERS]

    async def play(place):
        context.raws = [await place.ask("/once/a", f"r{n}") for n in range(len(ANSWERS))]

    on_platform([server], play)


@then("each caller gets one whole answer, and no success that the endpoint didn't send")
def whole_answers(context):
    for raw, (answer, status) in zip(context.raws, ANSWERS, strict=True):
        assert raw.startswith(b"HTTP/1.1 %d " % status), (answer, raw)
        head, _, body = raw.lower().partition(b"\r\n\r\n")
        if status in (204, 304):
            assert not body and b"content-length" not in head, raw
        else:
            assert b"content-length: %d" % len(body) in head, raw


@when("the handling of a request raises before its answer, and of another one inside it")
def handling_raises(context):
    async def play(place):
        async def fail(request, reply):
            if request.path == "/once/late":
                head = AnswerHead(200, (("content-length", "9"),), Executed.YES, True)
                await (await reply.start(head)).write(b"part")
            raise OverflowError

        place.node._forwarder.handle = fail
        context.raws = [await place.ask(f"/once/{name}", f"r-{name}") for name in ("a", "late")]

    on_platform(web_servers(), play)


@then("the first caller gets status 500 with its request's id, and the second no proper end")
def answered_or_cut(context):
    first, second = context.raws
    assert first.startswith(b"HTTP/1.1 500 ") and b"request-id: r-a" in first.lower(), first
    assert b"internal-error" in first and b"retry-after" not in first.lower(), first
    assert second.endswith(b"\r\n\r\npart"), second


REPLIES = st.one_of(
    BYTES,
    st.dictionaries(
        st.sampled_from(
            [
                "kv_id",
                "prefill_ms",
                "cached_tokens",
                "expires_in_ms",
                "running",
                "age_ms",
                "position",
                "version",
                "key",
                "value",
                "revision",
                "objects",
                "text",
                "sign_off_id",
                "signed_by",
            ]
        ),
        ODD,
    ).map(as_json),
    ODD.map(as_json),
)
SOUND = {"kv_id": "k", "prefill_ms": 1, "cached_tokens": 1, "expires_in_ms": 1}
SOUND |= {"running": 1, "age_ms": 1, "position": 1, "version": 1, "revision": 1, "objects": []}
SOUND |= {"key": "k", "value": "v"}


def pool_that_answers(content):
    return SimpleNamespace(
        stream=lambda *_, **__: nullcontext(httpcore.Response(200, content=content))
    )


@then("with any replies of an engine, its calls return a failure or what can be sent on")
def engine_replies(context):
    @forall(REPLIES | st.dictionaries(st.sampled_from(list(SOUND)), ODD, max_size=1).map(odd_reply))
    def check(content):
        async def main():
            client = EngineClient()
            client._find_pool = lambda address: pool_that_answers(content)
            calls = [client.prefill("a", None, 1), client.report("a"), client.streams("a")]
            calls += [client.cache_events("a", 0)]
            # What is in the reply to an order is not used.
            assert isinstance(await client.order("a", None), Ok | Err)
            for call in calls:
                found = await call
                if isinstance(found, Ok):
                    numbers = find_numbers(msgspec.to_builtins(found.ok_value))
                    assert all(abs(number) <= 2**53 for number in numbers)

        anyio.run(main)

    check()


def odd_reply(odd):
    return as_json(SOUND | odd)


@then("with any replies of the store and any values in it, reading them returns a result")
def store_replies(context):
    @forall(REPLIES, st.sampled_from([200, 404, 409]))
    def check(content, status):
        async def main():
            client = StoreClient("127.0.0.1:1", Random(1), 100)
            client._call = AsyncMock(return_value=Ok((status, content)))
            for call in (client.get("k"), client.put("k", "v", 1), client.list()):
                assert isinstance(await call, Ok | Err)

        anyio.run(main)
        text = content.decode("latin-1")
        assert isinstance(read_record(text), Ok | Err) and isinstance(read_vms(text), tuple)
        assert not RouteTable("n").take(Document("config/bundles/b", 1, text))

    check()


@then("with any text in a caller's target and fields, a request to an endpoint can be made of them")
def caller_fields(context):
    # What the parser of the callers' server lets through.
    texts = st.text(st.characters(min_codepoint=32, max_codepoint=255, exclude_characters="\x7f"))
    names = ["request-id", "host", "resumes", "model", "prompt-prefix", "authorization", "key"]
    names += ["token-counts", "length-hint", "deadline-ms", "last-event-id", "x-own", "te"]
    endpoint = ServiceEndpoint("w0", "web", "10.0.0.1:1", "z")

    @forall(st.dictionaries(st.sampled_from(names), texts), texts)
    def check(fields, query):
        call = FakeCaller("POST", "/a").call
        call.query, call.fields, call.headers = query, list(fields.items()), dict(fields)
        read = read_request(call, b"", 0)
        if isinstance(read, Ok):
            request = read.ok_value
            head = join_request(
                request_sends._request_lines(endpoint, request, request.left_ms, [])
            )
            assert head.count(b"\r\n\r\n") == 1 and head.endswith(b"\r\n\r\n")
            relay = RelayRequest(endpoint.instance, request_id=request.request_id)
            assert decode_request(encode(relay)) == Ok(relay)

    check()


@then("with any relay field of another node, it is read or rejected")
def relay_fields(context):
    fields = {"endpoint": TEXTS | ODD, "left_ms": ODD, "request_id": ODD}

    @forall(st.fixed_dictionaries({}, optional=fields).map(as_json) | BYTES | REPLIES)
    def check(content):
        text = content.decode("latin-1")
        assert isinstance(decode_reply(text), Ok | Err)
        read = decode_request(text)
        if isinstance(read, Ok):
            assert abs(read.ok_value.left_ms) <= 2**53

    check()
