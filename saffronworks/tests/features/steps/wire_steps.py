"""Messages that an earlier build encoded, against today's codecs."""

import base64
import json
from pathlib import Path

import attrs
import msgspec
from behave import given, then

from saffronworks.forwarding import store_news
from saffronworks.forwarding.endpoint_limits import messages as limit_messages
from saffronworks.forwarding.planning import messages as planning_messages
from saffronworks.forwarding.quarantine import messages as quarantine_messages
from saffronworks.forwarding.quotas import messages as quota_messages
from saffronworks.nodes import NODE_CODEC
from saffronworks.wire import Codec

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
