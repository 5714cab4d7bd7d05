"""Scenarios on node discovery, against a store that answers at once."""

import random
from unittest.mock import AsyncMock, Mock

import anyio
import msgspec
from behave import then, when
from result import Ok

from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.census import CONSISTENT_LISTING_S, Census, NodeInfo
from saffronworks.forwarding.ports import Listing, StoredObject
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.tests.revisions import at

# How long the scenario runs the census.
CENSUS_S = 0.2


@when("a node enters itself in a store where others have entered before")
def registers(context):
    entries = {
        "a": {"address": "10.0.0.1:1", "cores": 2.0},
        "b": {"address": "10.0.0.2:1", "cores": 1.0},
    }
    objects = [StoredObject(name, at(1), msgspec.json.encode(e)) for name, e in entries.items()]
    store = Mock()
    store.create = AsyncMock(return_value=Ok(objects[1]))
    store.list_objects = AsyncMock(return_value=Ok(Listing(tuple(objects), at(2))))
    context.listed = []

    async def main():
        census = Census(
            "b",
            "10.0.0.2:1",
            1.0,
            "z",
            store,
            random.Random(1),
            StoreEpoch(),
            monotonic_ms,
            context.listed.append,
        )
        with anyio.move_on_after(CENSUS_S):
            await census.run()

    anyio.run(main)


@then("it knows all of them at once, not only at the second count")
def lists_at_once(context):
    assert CONSISTENT_LISTING_S > CENSUS_S
    assert context.listed == [{"10.0.0.1:1": NodeInfo(2.0), "10.0.0.2:1": NodeInfo(1.0)}], (
        context.listed
    )
