"""Nodes in virtual time with all services that talk to other nodes, a store and endpoints."""

import random
from types import SimpleNamespace

import anyio
import msgspec
from result import Ok

from saffronworks.endpoint_roles import Role
from saffronworks.forwarding import store_news
from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.endpoint_limits import messages as limit_messages
from saffronworks.forwarding.endpoint_limits.service import EndpointLimits
from saffronworks.forwarding.figures import MetricsRecorder
from saffronworks.forwarding.followers import Follower
from saffronworks.forwarding.messages import CallerRequest
from saffronworks.forwarding.node_order import NodeOrder
from saffronworks.forwarding.origins import messages as origin_messages
from saffronworks.forwarding.origins.service import StreamOrigins
from saffronworks.forwarding.planning import messages as planning_messages
from saffronworks.forwarding.planning.client import MemoryClient
from saffronworks.forwarding.planning.service import MemoryPlanner
from saffronworks.forwarding.ports import Listing, StoredObject
from saffronworks.forwarding.quarantine import messages as quarantine_messages
from saffronworks.forwarding.quarantine.messages import PartNews, SuspicionNews
from saffronworks.forwarding.quarantine.service import Quarantine
from saffronworks.forwarding.quotas import messages as quota_messages
from saffronworks.forwarding.quotas.service import Quotas
from saffronworks.forwarding.shares.limits import Tolerance
from saffronworks.forwarding.store_news import NewsFeed, NewsPace, StoreNews
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.peers import PeerReached
from saffronworks.platform.configuration import read_configuration
from saffronworks.tests.revisions import at
from saffronworks.tests.virtual_nodes import VirtualNode
from saffronworks.wire import Codec

__all__ = [
    "ADDRESSES",
    "KINDS",
    "MODULES",
    "TABLE",
    "Node",
    "Store",
    "make_endpoints",
    "make_request",
]

MODULES = (
    planning_messages,
    store_news,
    quarantine_messages,
    quota_messages,
    limit_messages,
    origin_messages,
)
ADDRESSES = tuple(f"10.0.0.{number}:7660" for number in (1, 2, 3))
CORES = dict.fromkeys(ADDRESSES, 1.0)
KINDS = ("config", "servers")
FOLLOW_WITHIN_MS = 2000
TABLE = {
    "version": 1,
    "routes": [
        {
            "name": "gen",
            "host": "h",
            "path_prefix": "/",
            "kind": "streaming",
            "timeout_ms": 3000,
            "service": "llm",
            "resumable": True,
        }
    ],
    "services": [
        {"name": "llm", "engine": {"slots": 16, "kv_capacity_tokens": 40_000, "stride": 64}}
    ],
    "tenants": [{"name": name, "api_keys": [name], "rate_per_s": 60} for name in ("a", "b")],
}


class Store:
    """A store in which one object of each kind changes; watches end at changes."""

    def __init__(self):
        self.revisions = dict.fromkeys(KINDS, 1)
        self._changed = anyio.Event()

    def change(self):
        for kind in KINDS:
            self.revisions[kind] += 1
        self._changed.set()
        self._changed = anyio.Event()

    async def list_objects(self, kind, stale=False):
        await anyio.sleep(0.004)
        return Ok(self._listing(kind, -1))

    async def watch(self, kind, revision, wait_ms):
        await anyio.sleep(0.002)
        if self.revisions.get(kind, 1) <= revision.number:
            with anyio.move_on_after(wait_ms / 1000):
                await self._changed.wait()
        await anyio.sleep(0.002)
        return Ok(self._listing(kind, revision.number))

    async def create(self, kind, name, content):
        return Ok(StoredObject(name, at(1), content))

    async def remove(self, kind, name):
        return Ok(None)

    def _listing(self, kind, after):
        number = self.revisions.get(kind, 1)
        fixed = StoredObject("fixed", at(1), b"fixed")
        main = StoredObject("main", at(number), b"%d" % number)
        return Listing(
            tuple(one for one in (fixed, main) if one.revision.number > after), at(number)
        )


class Sink:
    """The contents of a kind at one node."""

    def __init__(self):
        self.contents = {}

    def replace_all(self, listing, lapse_until_ms):
        self.contents = {}
        self.apply(listing, lapse_until_ms)

    def apply(self, changes, lapse_until_ms):
        for item in changes.objects:
            self.contents[item.name] = item.content


class SharedNews(NewsFeed):
    """Store news that nodes share in a zone of any size."""

    shared = True


def make_endpoints():
    roles = [("d0", Role.DECODE), ("d1", Role.DECODE), ("p0", Role.PREFILL)]
    llm = [
        ServiceEndpoint(name, "llm", f"10.1.0.{n}:80", "z", role=role, born_ms=1, version="v1")
        for n, (name, role) in enumerate(roles)
    ]
    web = [ServiceEndpoint(f"w{n}", "web", f"10.2.0.{n}:80", "z", born_ms=1) for n in range(6)]
    return [*llm, *web]


def make_request(name, **fields):
    plain = {"method": "POST", "target": "/", "host": "h", "headers": (), "body": name.encode()}
    return CallerRequest(request_id=name, arrived_ms=0, left_ms=3000, **(plain | fields))


class Node(VirtualNode):
    """All services of one node that talk to others."""

    def __init__(self, address, switch, now_ms, store, ended):
        super().__init__(address, Codec(*MODULES), switch, now_ms)
        rng, epoch, figures = random.Random(address), StoreEpoch(), MetricsRecorder(address)
        self.now_ms, self.table = now_ms, read_configuration(msgspec.json.encode(TABLE)).ok_value
        self.directory = Directory()
        for endpoint in make_endpoints():
            self.directory.put_listed(endpoint, at(1), 0)
        self.memory = MemoryClient(address, now_ms())
        self.memory.choice.cores = CORES
        self.planner = MemoryPlanner(
            self.directory, lambda: self.table, lambda: CORES, address, figures
        )
        self.quotas = Quotas(address, Tolerance(8000, 0.1, 12), 3, lambda: self.table, now_ms)
        self.limits = EndpointLimits(address, 3, rng, now_ms)
        self.origins = StreamOrigins(
            address, self.directory, figures, now_ms, lambda: True, now_ms, lambda _: None, True
        )
        calls = SimpleNamespace(listens=self._listens)
        self._ended = ended
        self.quarantine = Quarantine(address, self.directory, calls, store, rng, epoch, now_ms)
        pace = NewsPace.within(FOLLOW_WITHIN_MS)
        self.news = SharedNews(NodeOrder(address), pace, epoch, now_ms)
        self.sinks = {kind: Sink() for kind in KINDS}
        self.followers = [
            Follower(kind, store, sink, rng, now_ms, 3500, 5000, epoch, self.news)
            for kind, sink in self.sinks.items()
        ]
        self.news.update_zone(CORES)
        self.kernel.register(self.news, StoreNews)
        self.kernel.register(self.quarantine, SuspicionNews, PartNews)
        self.kernel.register(self.quotas, PeerReached, *quota_messages.PEER_MESSAGES)
        self.kernel.register(self.limits, PeerReached, *limit_messages.PEER_MESSAGES)
        self.kernel.register(self.origins, *origin_messages.PEER_MESSAGES)
        self.kernel.register(self.planner, *planning_messages.PLANNER_MESSAGES)
        self.kernel.register(self.memory, PeerReached, *planning_messages.ENTRY_MESSAGES)
        self.quotas.update_nodes(CORES)
        self.origins.update_nodes(CORES)
        self.quarantine.update_nodes(CORES)
        self.limits.update_nodes(CORES)
        self.origins.observe_endpoints()
        self.origins.observe_table(self.table)

    async def _listens(self, endpoint):
        return endpoint.instance not in self._ended
