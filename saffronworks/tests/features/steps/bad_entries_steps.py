"""Scenarios on invalid entries in the store."""

import json
import random
import time
from unittest.mock import AsyncMock, Mock

import anyio
import msgspec
from behave import then, when
from result import Ok

from saffronworks.forwarding.census import Census, NodeInfo
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.ports import Listing, StoredObject
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.platform import servers
from saffronworks.platform.servers import SERVER_KIND, ServerSink
from saffronworks.platform.store import PlatformStore
from saffronworks.tests.fake_store import FakeStore
from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.revisions import at

WALL_MS = 1_700_000_000_000


def valid_entry(index=0, **changes):
    entry = {
        "service": "s",
        "address": f"127.0.0.1:{index + 1}",
        "zone": "z",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 3,
    }
    return json.dumps(entry | changes).encode()


def entry_without(*names):
    entry = json.loads(valid_entry())
    return json.dumps({key: entry[key] for key in entry if key not in names}).encode()


INVALID_ENTRIES = {
    "no JSON": b"{service: s",
    "no UTF-8": b'{"service":"\xff\xfe"}',
    "a list": b"[1, 2]",
    "null": b"null",
    "empty": b"",
    "huge": valid_entry(zone="z" * 70_000),
    "without a service": entry_without("service"),
    "without most": b'{"service":"s"}',
    "of other types": json.dumps(dict.fromkeys(json.loads(valid_entry()), [])).encode(),
    "an odd state": valid_entry(state="warming"),
    "an odd stage": valid_entry(stage="embed"),
    "a named address": valid_entry(address="engine-1:80"),
    "a port too high": valid_entry(address="127.0.0.1:70000"),
    "no slots": valid_entry(slots=0),
    "a start as text": valid_entry(born="12"),
    "a start ahead": valid_entry(born=WALL_MS + 3_600_000),
}


class Sink:
    """A server sink with its directory and the counted invalid entries."""

    def __init__(self):
        self.directory, self.counted, self.revision = Directory(), [], 0
        self._sink = ServerSink(
            self.directory, lambda: 0, lambda: WALL_MS, lambda: None, self.counted.append
        )

    def list(self, contents):
        self.revision += 1
        objects = tuple(
            StoredObject(name, at(self.revision), raw) for name, raw in contents.items()
        )
        self._sink.replace_all(Listing(objects, at(self.revision)), lapse_until_ms=9999)

    def change(self, name, content):
        self.revision += 1
        item = StoredObject(name, at(self.revision), content)
        self._sink.apply(Listing((item,), at(self.revision)), lapse_until_ms=9999)
        return item

    def repeat(self, item):
        self._sink.apply(Listing((item,), at(self.revision)), lapse_until_ms=9999)

    def usable(self):
        return {endpoint.name for endpoint in self.directory.usable("s", 0)}


@when("the entry of one of three endpoints becomes {bad}")
def becomes_invalid(context, bad):
    context.sink = sink = Sink()
    sink.list({f"e{index}": valid_entry(index) for index in range(3)})
    assert sink.usable() == {"e0", "e1", "e2"}
    with LogLines(servers.__name__) as context.lines:
        item = sink.change("e0", INVALID_ENTRIES[bad])
        sink.repeat(item)
    context.bad_content = INVALID_ENTRIES[bad]


@then("it is out of use at once, logged once with {count} findings, and the others stay in use")
def out_of_use(context, count):
    assert context.sink.usable() == {"e1", "e2"}
    logged = [line for line in context.lines if "event=endpoint_unreadable" in line]
    assert len(logged) == 1 and f"findings={count} " in logged[0], logged
    assert context.sink.counted == [SERVER_KIND] * 2
    listing = {"e0": context.bad_content, "e1": valid_entry(1), "e2": valid_entry(2)}
    context.sink.list(listing)
    assert context.sink.usable() == {"e1", "e2"}, "an invalid entry gets no grace period"


@then("it is usable again when its entry is valid")
def usable_again(context):
    context.sink.change("e0", valid_entry())
    assert context.sink.usable() == {"e0", "e1", "e2"}


@then("a listing with ten thousand invalid entries is read in half a second and logged briefly")
def thousands(context):
    sink = Sink()
    kinds = [content for content in INVALID_ENTRIES.values() if len(content) < 1000]
    invalid = {f"x{index}": kinds[index % len(kinds)] for index in range(10_000)}
    with LogLines(servers.__name__) as lines:
        began_s = time.process_time()
        sink.list(invalid | {"e0": valid_entry()})
        elapsed_s = time.process_time() - began_s
    assert sink.usable() == {"e0"} and len(sink.counted) == 10_000
    assert elapsed_s < 0.5, elapsed_s
    assert len(lines) <= servers.MAX_LOGGED_ENTRIES + 2, len(lines)
    assert any("event=endpoints_unreadable not_logged=9950" in line for line in lines), lines[-2:]


MALFORMED_OBJECTS = [b"null", b"5", b'{"metadata":5}', b'{"metadata":{"name":"x"},"spec":"\xff"}']


class GarblingStore(FakeStore):
    """A store whose answers hold malformed objects and a valid one."""

    async def _handle(self, call):
        valid = b'{"metadata":{"name":"e0","revision":1},"spec":{}}'
        if "watch" in call.query:
            items = b",".join(
                b'{"object":%s,"removed":false}' % item for item in (*MALFORMED_OBJECTS, valid)
            )
            return await call.reply_bytes(200, b'{"events":[%s],"current_rev":5}' % items, "x/y")
        body = b'{"items":[%s],"current_rev":5}' % b",".join((*MALFORMED_OBJECTS, valid))
        return await call.reply_bytes(200, body, "x/y")


@then("a malformed object in a listing or a watch hides no other one")
def garbled(context):
    async def main():
        fake = GarblingStore()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fake.run)
            store = PlatformStore(fake.address, StoreEpoch())
            listing = (await store.list_objects("servers")).unwrap()
            changes = (await store.watch("servers", at(1), 100)).unwrap()
            await store.close()
            tasks.cancel_scope.cancel()
        for received in (listing, changes):
            assert received.objects[-1].name == "e0" and received.revision.number == 5, received
            assert [item.name for item in received.objects] == ["x", "e0"], received

    anyio.run(main)


@then("the census ignores invalid entries, and logs each once")
def census(context):
    valid = {"address": "10.0.0.1:1", "cores": 2.0}
    contents = [
        msgspec.json.encode(valid),
        b"null",
        b'{"cores":1}',
        msgspec.json.encode(valid | {"address": "front-1:80"}),
        msgspec.json.encode(valid | {"address": "10.0.0.9:1", "cores": -1}),
        msgspec.json.encode(valid | {"address": "10.0.0.9:1", "cores": 1e9}),
        b'{"address":"\xff"}',
    ]
    objects = [StoredObject(f"n{index}", at(7), raw) for index, raw in enumerate(contents)]
    store = Mock()
    store.create = AsyncMock(return_value=Ok(objects[0]))
    store.list_objects = AsyncMock(return_value=Ok(Listing(tuple(objects), at(2))))
    counted = []

    async def main():
        census = Census(
            "n0",
            "10.0.0.1:1",
            2.0,
            "z",
            store,
            random.Random(1),
            StoreEpoch(),
            lambda: 0,
            counted.append,
        )
        await census._list_nodes()
        await census._list_nodes()

    with LogLines("saffronworks.forwarding.census") as lines:
        anyio.run(main)
    assert counted == [{"10.0.0.1:1": NodeInfo(2.0)}], counted
    logged = [line for line in lines if "census_entry_unreadable" in line]
    assert len(logged) == len(contents) - 1, logged
