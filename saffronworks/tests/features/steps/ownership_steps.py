"""Owners of cells, and the split of pools into cells."""

import random
from collections import Counter

from behave import given, then
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks import signoffs
from saffronworks.bundles import Bundle, Endpoint, Pool, Role
from saffronworks.documents import Document
from saffronworks.hashing import hash64
from saffronworks.ownership import choose_owner, split_pool
from saffronworks.routes import RouteTable
from saffronworks.signoffs import SignOffRecord


@given("{members:d} members and {cells:d} cells")
def members_and_cells(context, members, cells):
    context.members = [f"n{index}" for index in range(members)]
    context.cells = [f"b/p/{index}" for index in range(cells)]


@then("each member that leaves moves only its own cells")
def moves_little(context):
    before = {cell: choose_owner(context.members, cell) for cell in context.cells}
    for gone in context.members[:10]:
        left = [member for member in context.members if member != gone]
        for cell, owner in before.items():
            assert (choose_owner(left, cell) == owner) == (owner != gone)


@then("the choice agrees with a naive search")
def naive_owner(context):
    for cell in context.cells:
        weights = [(hash64(f"{member}|{cell}"), member) for member in context.members]
        shuffled = random.Random(cell).sample(context.members, len(context.members))
        assert choose_owner(shuffled, cell) == max(weights)[1]


@given("any pool of endpoints")
def any_pool(context):
    context.pools = st.lists(st.sampled_from(Role), min_size=2, max_size=90).filter(
        lambda roles: len(set(roles)) == 2
    )


@then("its cells hold each endpoint once and both roles each")
def cells_cover(context):
    @forall(context.pools)
    def run(roles):
        endpoints = tuple(
            Endpoint(f"e{i}", "127.0.0.1:1", f"z{i % 3}", role) for i, role in enumerate(roles)
        )
        pool = Pool("p", endpoints)
        found = split_pool(Bundle("b", pools=(pool,)), pool)
        names = [endpoint.name for cell in found for endpoint in cell.endpoints]
        assert sorted(names) == sorted(endpoint.name for endpoint in endpoints)
        for cell in found:
            assert {endpoint.role for endpoint in cell.endpoints} == set(Role)

    run()


@given("a pool of {endpoints:d} endpoints before {nodes:d} nodes")
def large_pool(context, endpoints, nodes):
    lines = ["name: b", "models:", "  - {name: m, pool: p}", "pools:", "  - name: p"]
    lines.append("    endpoints:")
    for index in range(endpoints):
        role = "prefill" if index % 3 == 0 else "decode"
        fields = f'name: e{index}, address: "10.0.0.1:{index + 1}", zone: z, role: {role}'
        lines.append(f"      - {{{fields}}}")
    record = signoffs.write_record(SignOffRecord("\n".join(lines), "id", "ada"))
    document = Document("config/bundles/b", 1, record)
    context.used = []
    for index in range(nodes):
        routes = RouteTable(f"entry-{index}")
        if index:
            routes.bundles = context.bundles
            routes._index()
        else:
            assert routes.take(document)
            context.bundles = routes.bundles
        context.used.append([cell.name for cell in routes.models["m"][1]])


@then("each node uses 8 cells")
def eight_cells(context):
    assert {len(cells) for cells in context.used} == {8}


@then("no cell is used by more than twice as many nodes as the mean, or by none")
def evenly(context):
    counts = Counter(name for cells in context.used for name in cells)
    bundle = context.bundles["config/bundles/b"]
    total = len(split_pool(bundle, bundle.pools[0]))
    assert len(counts) == total, (len(counts), total)
    assert max(counts.values()) <= 2 * len(context.used) * 8 / total, counts
