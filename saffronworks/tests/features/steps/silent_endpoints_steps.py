"""Steps on endpoints that fall silent for a while and go on, over loopback."""

from behave import then, when

from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.platform_fakes import FakeServer
from saffronworks.tests.platform_place import CONFIG, make_route, on_platform, web_servers

SILENT_S = 1.3
ROUTES = [
    make_route("once", "/once/", "non_idempotent", "web", timeout_ms=6000, max_attempts=1),
    make_route("again", "/again/", "idempotent", "web", timeout_ms=6000),
    make_route("gen", "/gen/", "streaming", "llm", sticky=True, timeout_ms=6000),
    make_route("res", "/res/", "streaming", "llm", sticky=True, resumable=True, timeout_ms=6000),
]
PATHS = {
    "stream": "/gen/",
    "resumable stream": "/res/",
    "page": "/once/",
    "repeatable page": "/again/",
}
GENERATION = {"Token-Counts": "5000,9000", "Length-Hint": "3000"}


@when("the only endpoint is silent before its {step} of a {kind}")
def silent_in_a_step(context, step, kind):
    servers = [
        *web_servers(),
        FakeServer("d0", "llm", "decode"),
        FakeServer("p0", "llm", "prefill"),
    ]
    fields = GENERATION if "stream" in kind else {}

    async def play(place):
        await place.ask(PATHS[kind], "before", fields)
        for server in servers:
            server.silences = {step: SILENT_S}
            server.ran.clear()
        context.raw = await place.ask(PATHS[kind], "r1", fields | {"Deadline-Ms": "6000"})
        context.next = await place.ask(PATHS[kind], "r2", fields)
        context.ran = [request_id for server in servers for request_id in server.ran]

    with LogLines("saffronworks") as context.lines:
        on_platform(servers, play, CONFIG | {"routes": ROUTES})


@then("the caller gets one whole answer, and the next caller too")
def whole_answers(context):
    lines = [line for line in context.lines if "r1" in line or "r2" in line]
    for raw, request_id in ((context.raw, b"r1"), (context.next, b"r2")):
        whole = raw.endswith((b"0\r\n\r\n", b"\r\n\r\n" + request_id))
        assert raw.startswith(b"HTTP/1.1 200") and whole, (raw, lines)
    assert set(context.ran) == {"r1", "r2"}, context.ran


@then("it ran once")
def ran_once(context):
    assert context.ran == ["r1", "r2"], context.ran
