"""Scenarios on the endpoints of a soak: suspended ones, and answers that come twice."""

import asyncio
import time

import anyio
from behave import then, when

from saffronworks.tests.soak import answer_copies
from saffronworks.tests.soak.endpoints import Endpoint
from saffronworks.tests.soak.faults import Shape
from saffronworks.tests.soak.records import Asked, Records

SUSPENDED_S = 0.5
REQUESTS = 40


class Site:
    """What an endpoint needs of a site."""

    seed, shape, by_address = 1, Shape(), {}

    def __init__(self, tasks):
        self.start_soon = tasks.start_soon

    def now_ms(self):
        return time.monotonic() * 1000


def ask(endpoint, request_id):
    endpoint.records.asked[request_id] = Asked(request_id, "again", 0, 0.0, 3000)
    fields = f"Expect-Instance: {endpoint.instance}\r\nRequest-Id: {request_id}\r\n"
    return f"GET /again/ HTTP/1.1\r\n{fields}\r\n".encode()


async def connect(endpoint):
    host, port = endpoint.own_address.split(":")
    return await asyncio.open_connection(host, int(port))


async def play(scenario):
    async with anyio.create_task_group() as tasks:
        endpoint = Endpoint("web-1", "web", None, Records(), Site(tasks), 1)
        tasks.start_soon(endpoint.run)
        await anyio.sleep(0.1)
        result = await scenario(endpoint)
        tasks.cancel_scope.cancel()
    return result


async def suspend(endpoint):
    endpoint.awake.clear()
    reader, writer = await connect(endpoint)
    writer.write(ask(endpoint, "a"))
    leaver = (await connect(endpoint))[1]
    leaver.write(ask(endpoint, "b"))
    await anyio.sleep(SUSPENDED_S / 2)
    leaver.close()
    await anyio.sleep(SUSPENDED_S / 2)
    before, began_s = list(endpoint.records.ran), time.monotonic()
    endpoint.awake.set()
    head = await reader.readuntil(b"\r\n\r\n")
    took_s = time.monotonic() - began_s
    await anyio.sleep(0.2)
    writer.close()
    return before, head, took_s, endpoint.records


@when("an endpoint is suspended while it is asked")
def suspend_endpoint(context):
    context.seen = anyio.run(play, suspend)


@then("it accepts the connection, answers only after it is resumed, and then sees a close")
def acts_suspended(context):
    before, head, took_s, records = context.seen
    assert before == [] and head.startswith(b"HTTP/1.1 200"), (before, head)
    assert took_s < SUSPENDED_S, took_s
    assert [run.whole for run in records.ran if run.request_id == "b"] == [False], records.ran
    waited = [run for run in records.ran if run.at_ms - run.arrived_ms > 900 * SUSPENDED_S]
    assert len(waited) == len(records.ran) == 2, records.ran


async def ask_ended(endpoint):
    endpoint.crash()
    reader, writer = await connect(endpoint)
    writer.write(ask(endpoint, "a"))
    try:
        before = await reader.read(100)
    except ConnectionResetError:
        before = b""
    endpoint.restart()
    reader, writer = await connect(endpoint)
    writer.write(ask(endpoint, "b"))
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return before, head, [run.request_id for run in endpoint.records.ran]


@when("an endpoint is asked after its end and after its restart")
def ask_ended_endpoint(context):
    context.seen = anyio.run(play, ask_ended)


@then("only the later request runs")
def runs_after_restart(context):
    before, head, ran = context.seen
    assert before == b"" and head.startswith(b"HTTP/1.1 200"), (before, head)
    assert ran == ["b"], ran


async def send_again(endpoint):
    answer_copies.COPY_SHARE, share = 1.0, answer_copies.COPY_SHARE
    endpoint.copies_until_ms = float("inf")
    reader, writer = await connect(endpoint)
    raw = b""
    try:
        for number in range(REQUESTS):
            writer.write(ask(endpoint, f"r{number}"))
            raw += await reader.readuntil(b"\r\n\r\n")
        await anyio.sleep(answer_copies.COPY_DELAY_S + 0.2)
        endpoint.copies_until_ms = 0.0
        writer.write(ask(endpoint, "last"))
        while b"Request-Id: last" not in raw:
            raw += await reader.read(65_536)
    finally:
        answer_copies.COPY_SHARE = share
    writer.close()
    return raw


@when("an endpoint sends each answer again on its connection")
def copy_answers(context):
    context.raw = anyio.run(play, send_again)


@then("the second copy comes late, with the id of the first, and never into another answer")
def copies_come_late(context):
    ids = [part.split(b"\r\n")[0].decode() for part in context.raw.split(b"Request-Id: ")[1:]]
    first = {name: ids.index(name) for name in ids}
    again = {name for name in ids if ids.count(name) == 2}
    assert again and max(map(ids.count, ids)) == 2, ids
    between = [name for name in again if ids.index(name, first[name] + 1) > first[name] + 1]
    assert between, ids
    answers = context.raw.count(b"HTTP/1.1 200 X\r\n")
    assert answers == len(ids), (answers, len(ids))
