"""Scenarios on invalid entries in the store."""

import functools
import json
import random
import time
from tempfile import TemporaryDirectory
from unittest.mock import AsyncMock, Mock

import anyio
import msgspec
from behave import then, when
from hypothesis import given as forall
from hypothesis import strategies as st
from result import Ok

from saffronworks.forwarding.census import Census, NodeInfo
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.ports import Listing, StoredObject
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.json_depth import drop_deep_values
from saffronworks.platform import servers
from saffronworks.platform.servers import SERVER_KIND, ServerSink
from saffronworks.platform.store import PlatformStore
from saffronworks.standins.sites import wait_until
from saffronworks.tests.fake_store import FakeStore
from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.platform_place import make_node, on_platform, web_servers
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


# Nested more deeply than decoders recurse, also where they only skip a value.
DEEP_VALUES = [b"[" * 5000 + b"]" * 5000, b'{"a":' * 5000 + b"1" + b"}" * 5000]


def on_store(fake, play):
    """Run `play(store)` with a client of a stand-in store."""

    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fake.run)
            store = PlatformStore(fake.address, StoreEpoch())
            await play(store)
            await store.close()
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("it hides no other one in any answer of the store")
def nested_deeply(_):
    fake = FakeStore()
    for index, deep in enumerate(DEEP_VALUES):
        fake.put("servers", f"deep{index}", msgspec.Raw(b'{"x":%s}' % deep))
    fake.put("servers", "e0", {"service": "s"})

    async def play(store):
        listing = (await store.list_objects("servers")).unwrap()
        changes = (await store.watch("servers", at(1), 100)).unwrap()
        for received in (listing, changes):
            contents = {item.name: item.content for item in received.objects}
            assert contents.keys() == {"deep0", "deep1", "e0"}, contents
            assert contents["e0"] == b'{"service":"s"}', contents
        conflict = (await store.create("servers", "deep0", b"{}")).unwrap_err()
        assert conflict.found.name == "deep0", conflict

    on_store(fake, play)


@then("the listing goes on after it")
def unreadable_page(_):
    class UnreadableFirst(FakeStore):
        """A store whose first page has names that can be read, and no readable object."""

        def _show(self, kind, name):
            shown = super()._show(kind, name)
            if name.startswith("a"):
                shown["metadata"]["revision"] = "none"
            return shown

    fake = UnreadableFirst()
    for name in ("a0", "a1", "a2", "a3", "b0", "b1", "b2", "b3"):
        fake.put("servers", name, {})

    async def play(store):
        listing = (await store.list_objects("servers")).unwrap()
        assert [item.name for item in listing.objects] == ["b0", "b1", "b2", "b3"], listing
        assert len(fake.calls) == 3, fake.calls

    on_store(fake, play)


@forall(
    st.recursive(
        st.integers() | st.text(), lambda kind: st.lists(kind) | st.dictionaries(st.text(), kind)
    ),
    st.integers(1, 4),
)
def bounds_depth(value, max_depth):
    def bound(part, depth):
        if isinstance(part, list):
            return [bound(each, depth + 1) for each in part] if depth < max_depth else None
        if isinstance(part, dict):
            bounded = {key: bound(each, depth + 1) for key, each in part.items()}
            return bounded if depth < max_depth else None
        return part

    content = json.dumps(value).encode()
    assert json.loads(drop_deep_values(content, max_depth)) == bound(value, 0)


@then("deeply nested values are left out of any document, and any other bytes take no longer")
def drops_deep_values(_):
    bounds_depth()
    for start in (b'"', b"[", b"[[]", b"]", b'["'):
        for repeated in (b'\\"', b"[", b"]", b'{"":', b"\\", b'"'):
            content = start + repeated * (200_000 // len(repeated))
            began_s = time.process_time()
            assert len(drop_deep_values(content)) <= len(content) + len(b"null")
            assert time.process_time() - began_s < 2, (start, repeated)


@when("such an entry stands beside endpoints that come and go, at a running node and at a new one")
def deep_entry_at_nodes(context):
    first, second = web_servers(2)
    context.raws = []

    async def play(place):
        for index, deep in enumerate(DEEP_VALUES):
            place.store.put("servers", f"deep{index}", msgspec.Raw(b'{"x":%s}' % deep))
        place.tasks.start_soon(second.run)
        place.store.put("servers", second.instance, second.entry())
        place.store.remove("servers", first.instance)
        with TemporaryDirectory() as folder:
            later = make_node(folder, 2, place.store)
            place.tasks.start_soon(later.run)
            assert await wait_until(later.ready, limit_s=5), "a new node is not ready"
            for node in (place.node, later):
                known = functools.partial(node._directory.named, second.instance)
                assert await wait_until(known, limit_s=5), "an update is missing"
                context.raws.append(await place.ask("/again/", "r", node=node))

    on_platform([first], play)


@then("both nodes serve by the endpoint that came")
def served_by_second(context):
    assert len(context.raws) == 2
    for raw in context.raws:
        assert raw.startswith(b"HTTP/1.1 200") and b"stamp-w1" in raw, raw


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
