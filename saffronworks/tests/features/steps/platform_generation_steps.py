"""Steps on a whole node of the platform: generations and their streams."""

import time

from behave import then, when

from saffronworks.tests.platform_place import engines, on_platform


@when("a caller asks for a generation")
def ask_for_generation(context):
    context.servers_used = engines()

    async def play(place):
        # Disable the planner, whether or not the census lists this node already.
        place.node._census._take = lambda nodes: None
        place.node._memory.choice.cores = {}
        context.raw = await place.generate("/gen/", "g1")
        for server in context.servers_used:
            server.full = True
        began_s = time.monotonic()
        context.refused = await place.generate("/gen/", "g2")
        context.refused_s = time.monotonic() - began_s

    on_platform(context.servers_used, play)


@then("memory was reserved, the prompt prefilled and the stream relayed")
def check_generation(context):
    decoder = next(server for server in context.servers_used if server.ran)
    asked = [body for _, target, _, body in decoder.seen if target.endswith("hold-take")]
    assert b'"tokens":8100' in asked[0] and b'"tokens":8000' in asked[1], asked
    headers = next(headers for _, _, headers, _ in decoder.seen if "kv-hold" in headers)
    reader = context.servers_used[2]
    assert headers["kv-hold"] == "h1-2"
    assert headers["kv-source"] == f"{reader.address}/k-g1", headers
    assert reader.seen[0][2]["stage"] == "prefill" and reader.seen[0][3] == b"prompt"
    assert context.raw.count(b"data: ") == 3 and context.raw.endswith(b"0\r\n\r\n"), context.raw


@then("without free memory the request is refused at once, with a Retry-After")
def check_refused_early(context):
    assert context.refused.startswith(b"HTTP/1.1 503"), context.refused
    assert b"retry-after" in context.refused.lower() and context.refused_s < 0.3


@when("a caller asks for a generation and there is no prefill endpoint")
def ask_without_prefill_endpoint(context):
    context.servers_used = engines()[:2]

    async def play(place):
        context.raw = await place.generate("/gen/", "g1")

    on_platform(context.servers_used, play)


@then("a decode endpoint prefills by itself and the stream is relayed")
def check_prefill_at_decoder(context):
    seen = [headers for server in context.servers_used for _, _, headers, _ in server.seen]
    stream = next(headers for headers in seen if "kv-hold" in headers)
    assert "kv-source" not in stream, stream
    assert context.raw.count(b"data: ") == 3 and context.raw.endswith(b"0\r\n\r\n"), context.raw


@when("the first decode server breaks off a resumable stream inside an event")
def break_off_inside_event(context):
    servers = engines()

    async def play(place):
        servers[0].script = servers[1].script = ["break-2"]
        context.whole = await place.generate("/res/", "g1")
        context.runs = [len(server.ran) for server in servers]
        servers[0].script = servers[1].script = ["break-2"]
        context.broken = await place.generate("/gen/", "g2")
        servers[0].script = servers[1].script = ["unframed-break"]
        context.unframed = await place.generate("/gen/", "g3")

    on_platform(servers, play)


@then("the caller gets each event once, in order, with a proper end")
def check_each_event_once(context):
    assert sum(context.runs) == 2, context.runs
    ids = [context.whole.find(b"\nid: %d" % number) for number in (1, 2, 3)]
    assert -1 not in ids and ids == sorted(ids), context.whole
    assert context.whole.count(b"data: ") == 3, context.whole
    assert context.whole.endswith(b"0\r\n\r\n")


@then("a stream that is not resumable does not look complete")
def check_not_complete(context):
    assert b"id: 1" in context.broken and not context.broken.endswith(b"0\r\n\r\n")


@then("a stream without a length that ends inside an event does not look complete")
def check_unframed_not_complete(context):
    assert b"id: 1" in context.unframed, context.unframed
    assert not context.unframed.endswith(b"0\r\n\r\n"), context.unframed
