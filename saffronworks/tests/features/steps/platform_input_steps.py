"""Scenarios on what a node reads: settings, configuration, the store's answers."""

import anyio
import msgspec
from behave import then
from result import Err, Ok

from saffronworks.forwarding.ports import Conflict, HistoryGone, ObjectStoreFailure
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.platform.configuration import read_configuration
from saffronworks.platform.settings import read_platform_settings
from saffronworks.platform.store import PlatformStore
from saffronworks.tests.fake_store import FakeStore
from saffronworks.tests.platform_fakes import settings_text
from saffronworks.tests.platform_place import make_route, on_platform, web_servers
from saffronworks.tests.revisions import at


@then("a valid settings file is read, and an unknown field is ignored")
def good_settings(context):
    read = read_platform_settings(settings_text("127.0.0.1:1"), "node.yaml")
    assert isinstance(read, Ok), read
    assert read.ok_value.stop_grace_ms == 8000 and read.ok_value.retry_window_ms == 10_000


@then("all findings of an invalid one are listed with their lines")
def bad_settings(context):
    text = "node_name: 7\nip: 10.0.0.1\nzone: z\nlisten:\n  front: here\nbounds: []\n"
    read = read_platform_settings(text, "node.yaml")
    found = {finding.field: finding for finding in read.err_value}
    wanted = {"node_name", "listen.front", "listen.ready", "bounds", "platform.address"}
    assert wanted <= found.keys(), found.keys()
    assert found["listen.front"].line == 5, found["listen.front"]


@then("all findings of an invalid configuration are listed, and the last valid one stays")
def bad_config(context):
    bad = {"version": 9, "routes": [make_route("a", "/", "odd", "gone")], "services": []}
    read = read_configuration(b'{"version":')
    assert isinstance(read, Err) and len(read.err_value) == 1

    async def play(place):
        place.store.put("config", "main", bad)
        place.store.put("config", "other", {"version": 99})
        await anyio.sleep(0.3)
        assert place.node._forwarder.table.version == 3

    on_platform(web_servers(), play)
    assert len(read_configuration(msgspec.json.encode(bad)).err_value) == 2


def with_store(play):
    async def main():
        store = FakeStore()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(store.run)
            client = PlatformStore(store.address, StoreEpoch())
            await play(store, client)
            await client.close()
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("it lists page by page, and watches from a revision")
def lists_and_watches(context):
    async def play(store, client):
        for index in range(8):
            store.put("kind", f"n{index}", {"index": index})
        listing = (await client.list_objects("kind")).ok_value
        assert [item.name for item in listing.objects] == [f"n{index}" for index in range(8)]
        store.put("other", "x", {})
        store.remove("kind", "n3")
        changes = (await client.watch("kind", listing.revision, 500)).ok_value
        assert [(item.name, item.content) for item in changes.objects] == [("n3", None)]
        nothing = (await client.watch("kind", changes.revision, 50)).ok_value
        assert nothing.objects == () and nothing.revision == at(store.revision)

    with_store(play)


@then("it distinguishes a conflict, a lost answer, a rejection and a discarded history")
def tells_apart(context):
    async def play(store, client):
        written = (await client.create("kind", "a", b'{"n":1}')).ok_value
        taken = (await client.create("kind", "a", b'{"n":2}')).err_value
        assert isinstance(taken, Conflict) and taken.found.revision == written.revision
        stale = (
            await client.replace("kind", "a", b"{}", at(written.revision.number - 1))
        ).err_value
        assert isinstance(stale, Conflict), stale
        store.forget_history()
        assert (await client.watch("kind", at(1), 50)).err_value == HistoryGone()
        store.fault = "lost"
        lost = (await client.replace("kind", "a", b"{}", written.revision)).err_value
        assert isinstance(lost, ObjectStoreFailure) and lost.applied, lost
        for fault in ("busy", "limited"):
            store.fault = fault
            refused = (await client.create("kind", "b", b"{}")).err_value
            assert isinstance(refused, ObjectStoreFailure) and not refused.applied, refused

    with_store(play)
