"""Messages that an earlier build encoded, against today's codecs."""

import base64
import json
from pathlib import Path

import anyio
import attrs
import msgspec
from behave import given, then, when
from result import Ok

from saffronworks.forwarding import store_news
from saffronworks.forwarding.endpoint_limits import messages as limit_messages
from saffronworks.forwarding.planning import messages as planning_messages
from saffronworks.forwarding.quarantine import messages as quarantine_messages
from saffronworks.forwarding.quotas import messages as quota_messages
from saffronworks.kernel import Kernel
from saffronworks.nodes import NODE_CODEC
from saffronworks.peers import Outgoing, PeerService
from saffronworks.standins.addresses import free_address
from saffronworks.tests.log_lines import LogLines
from saffronworks.wire import Codec, _independent_fields

# One line for each message: the path that carries it, its type, its fields and its bytes. Of each
# type there is one with all fields set and one with as few as possible.
MESSAGES = Path(__file__).parent.parent.parent / "earlier_messages.jsonl"
CODECS = {
    "deployment": NODE_CODEC,
    "platform": Codec(
        planning_messages, store_news, quarantine_messages, quota_messages, limit_messages
    ),
}
# Public types of the modules of messages that no node sends.
NOT_SENT = {"Membership", "Send", "SendTo", "NewsFeed"}


@attrs.frozen
class EarlierMessage:
    path: str
    kind: str
    fields: object
    encoded: bytes

    def decode(self):
        return CODECS[self.path].decode(self.encoded)


@given("messages that an earlier build encoded, two of each type")
def read_messages(context):
    rows = [json.loads(line) for line in MESSAGES.read_text().splitlines()]
    context.messages = [
        EarlierMessage(r["path"], r["kind"], r["fields"], base64.b64decode(r["encoded"]))
        for r in rows
    ]
    assert len(context.messages) == 128, len(context.messages)


@then("each is decoded field for field")
def decoded(context):
    for message in context.messages:
        found = message.decode()
        assert found.is_ok(), (message, found)
        assert type(found.ok_value).__name__ == message.kind, (message, found)
        fields = json.loads(msgspec.json.encode(found.ok_value))
        assert fields == message.fields, (message, found)


@then("each is encoded under the same names with the same values")
def encoded(context):
    for message in context.messages:
        codec = CODECS[message.path]
        again = codec.encode(message.decode().ok_value)
        assert msgspec.msgpack.decode(again) == msgspec.msgpack.decode(message.encoded), message


@then("each type that nodes exchange is among them")
def all_types(context):
    for path, codec in CODECS.items():
        found = {message.kind for message in context.messages if message.path == path}
        assert found == set(codec._kinds) - NOT_SENT, (path, found ^ set(codec._kinds))


# Out of bounds for numbers, and not of the type of any field.
SPOILED = (2**64 - 1, -(2**63), 1e308, None, [], {"a": 1}, b"\xff")


@given("a message of each type that carries independent items")
def with_items(context):
    read_messages(context)
    context.carriers = [
        (message, field)
        for message in context.messages
        for field in _independent_fields(CODECS[message.path]._kinds[message.kind])
        if message.fields[field]
    ]
    kinds = {message.kind for message, _ in context.carriers}
    assert {"MemoryReport", "SuspicionNews", "PartNews", "LimitNews", "Heartbeat"} <= kinds, kinds


@when("any item of it is spoiled on its way")
def spoil_items(context):
    context.found = []
    for message, field in context.carriers:
        kind, body = msgspec.msgpack.decode(message.encoded)
        item = body[field][0]
        for spoiled in (*SPOILED, *_spoil_fields(item)):
            sent = msgspec.msgpack.encode((kind, body | {field: [item, spoiled, item]}))
            context.found.append((message, field, CODECS[message.path].decode_valid_items(sent)))


def _spoil_fields(item):
    """The item with a number in one of its fields that no field may hold."""
    return [item | {key: 2**64 - 1} for key in item] if isinstance(item, dict) else []


@then("the receiver gets all others, and names the spoiled one")
def got_others(context):
    assert context.found
    for message, field, found in context.found:
        assert isinstance(found, Ok), (message.kind, found)
        decoded = found.ok_value
        assert len(getattr(decoded.message, field)) == 2, (message.kind, decoded)
        assert len(decoded.dropped) == 1 and decoded.dropped[0].startswith(f"{field}: "), decoded


class Reports:
    """Records the reports of other nodes."""

    name = "reports"

    def __init__(self):
        self.reports = []

    async def run(self, kernel, mailbox):
        await kernel.dispatch(self.name, mailbox, self.reports.append)


@given("a node whose report has one run with more tokens than an integer of a message holds")
def spoiled_report(context):
    runs = [
        planning_messages.LiveRun(f"r{number}", "d0@1", 1, 1, 1, 0, made_tokens=made)
        for number, made in enumerate((1, 2**64, 3))
    ]
    context.report = planning_messages.MemoryReport("10.0.0.1:1", "llm", tuple(runs))


@when("the node sends the report to a planner")
def send_report(context):
    async def main():
        kernels, reports = [], Reports()
        for _ in range(2):
            peers = PeerService(free_address(), Codec(planning_messages))
            peers.listen()
            kernels.append(Kernel("n", lambda: 0))
            kernels[-1].register(peers)
        kernels[1].register(reports, planning_messages.MemoryReport)
        async with anyio.create_task_group() as tasks:
            for kernel in kernels:
                kernel.start(tasks)
            kernels[0].post("peers", Outgoing(kernels[1].find("peers").address, context.report))
            with anyio.fail_after(3):
                while not reports.reports:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        context.runs = [run.request_id for run in reports.reports[0].runs]
        context.unusable = kernels[0].find("peers").unusable

    with LogLines("saffronworks.peers") as context.lines:
        anyio.run(main)


@then("the planner gets the other runs, and one item is counted and logged with its request")
def got_other_runs(context):
    assert context.runs == ["r0", "r2"], context.runs
    assert context.unusable == {"items": 1}
    assert any("message_items_dropped" in line and "r1" in line for line in context.lines)
