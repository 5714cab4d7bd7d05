"""Slopes of the cores: bytes of messages, processor time and memory, by size."""

import gc
import time
import tracemalloc
from collections.abc import Callable

from saffronworks.bundles import Endpoint, Role
from saffronworks.burn import BurnRecorder
from saffronworks.claims import claim_key
from saffronworks.documents import Document, DocumentStore, Fetched
from saffronworks.documents import step as step_documents
from saffronworks.membership import MemberUpdate, Status
from saffronworks.messages import (
    Ask,
    Assign,
    ClaimAsk,
    ClaimReply,
    Grant,
    HeldKey,
    HeldList,
    LeaseRenewal,
    Prefilled,
    Release,
    RequestKey,
)
from saffronworks.nodes import NODE_CODEC
from saffronworks.owner.ledgers import EndpointLedger, Held, Stage
from saffronworks.owner.predictors import PrefixView
from saffronworks.requests import Request
from saffronworks.routes import RouteTable
from saffronworks.signoffs import SignOffRecord, write_record
from tools.decision_bench import measure_decisions
from tools.fleet_bench import Fleet, measure_fleet

__all__ = ["MEASURES", "measure_idle_fleet"]

KEY = RequestKey("entry-0001-0123456789abcdef", 1)
CELL = "bundle-0001/pool-01/17"
FLEET_SIZES = (8, 30, 100, 320)
IDLE_MS = 10_000
# News of all joins must have died out: each is told a few times, some in each heartbeat.
SETTLE_MS_PER_MEMBER = 100


def measure_message_bytes() -> dict[str, float]:
    """Bytes of the messages that one request costs, and of one lease renewal."""
    node = "entry-0001"
    messages: dict[str, object] = {
        "ask": Ask(KEY, node, CELL, "model-07", "org-12345", 3000, "0" * 16, 400, 1, 5),
        "grant": Grant(KEY, "endpoint-00017"),
        "prefilled": Prefilled(KEY, node, CELL, 250, 800, 750),
        "assign": Assign(KEY, "endpoint-00018", 1100),
        "release": Release(KEY, node, CELL, "org-12345", 255, 15_000, 40, True),
    }
    sizes = {name: float(len(NODE_CODEC.encode(message))) for name, message in messages.items()}
    renewal = len(NODE_CODEC.encode(LeaseRenewal(node, CELL, 1_796_216_769_678, 12, 2**31)))
    held = HeldKey(KEY, "endpoint-00018", Stage.DECODE, "org-12345", 100)
    listed = [len(NODE_CODEC.encode(HeldList(node, CELL, (held,) * count))) for count in (10, 110)]
    return {
        "request_message_bytes": sum(sizes.values()),
        "request_messages": float(len(sizes)),
        "lease_bytes_per_cell_heartbeat": float(renewal),
        "claim_message_bytes": float(_claim_bytes(node)),
        "held_list_bytes_per_request": (listed[1] - listed[0]) / 100,
    }


def _claim_bytes(node: str) -> int:
    """Bytes of the two messages of one claim."""
    key = claim_key("org-12345", "bill-000017")
    ask = ClaimAsk(key, KEY.request_id, node)
    reply = ClaimReply(key, KEY.request_id, recorded=True)
    return len(NODE_CODEC.encode(ask)) + len(NODE_CODEC.encode(reply))


def measure_codec() -> dict[str, float]:
    """Microseconds to encode and decode one Ask."""
    ask = Ask(KEY, "entry-0001", CELL, "model-07", "org-12345", 3000, "0" * 16, 400, 1, 5)
    rounds = 20_000
    began = time.process_time_ns()
    for _ in range(rounds):
        NODE_CODEC.decode(NODE_CODEC.encode(ask))
    return {"codec_us_per_message": (time.process_time_ns() - began) / 1000 / rounds}


def measure_owner() -> dict[str, float]:
    """Owner's and entry's decision time per request by endpoints."""
    found = {}
    for size in (5, 50, 500, 10_000):
        times = measure_decisions(size)
        found[f"owner_p50_us_at_{size}_endpoints"] = times.owner_p50_us
        found[f"owner_p99_us_at_{size}_endpoints"] = times.owner_p99_us
        found[f"entry_choice_p50_us_at_{size}_endpoints"] = times.entry_p50_us
    return found


def measure_idle_fleet() -> dict[str, float]:
    """Idle bytes and processor time of membership per node and second, by members."""
    found = {}
    for size in FLEET_SIZES:
        fleet = Fleet(size)
        fleet.run(SETTLE_MS_PER_MEMBER * size + 6000)
        before = sum(node.sent_bytes for node in fleet.nodes.values())
        began = time.process_time_ns()
        fleet.run(IDLE_MS)
        used_us = (time.process_time_ns() - began) / 1000
        sent = sum(node.sent_bytes for node in fleet.nodes.values()) - before
        per = size * IDLE_MS / 1000
        found[f"idle_sent_bytes_per_s_at_{size}_members"] = sent / per
        found[f"idle_core_us_per_s_at_{size}_members"] = used_us / per
    return found


def measure_spread() -> dict[str, float]:
    """Times of rollout and of a death by members."""
    found = {}
    for size in (30, 100):
        figures = measure_fleet(size)
        found[f"rollout_ms_at_{size}_members"] = figures.calm_ms
        found[f"rollout_one_reader_ms_at_{size}_members"] = figures.outage_ms
        found[f"rollout_zone_back_ms_at_{size}_members"] = figures.cut_ms
        found[f"death_known_ms_at_{size}_members"] = figures.dead_known_ms
    return found


def measure_zone_loss() -> dict[str, float]:
    """A zone of 30 of 90 nodes dies at once: when all know, and bytes per live node."""
    fleet = Fleet(90)
    fleet.run(6000)
    dead = [node for node in fleet.nodes.values() if node.member.me.zone == "z2"]
    for node in dead:
        node.alive = False
    fleet.watched = dead[-1].name
    live = [node for node in fleet.nodes.values() if node.alive]
    before = sum(node.sent_bytes for node in live)
    lost_ms = fleet.clock.now_ms
    fleet.run(20_000)
    known = [node.knows_dead_ms for node in live]
    sent = sum(node.sent_bytes for node in live) - before
    return {
        "zone_loss_known_ms": max(known) - lost_ms if min(known) >= 0 else -1.0,
        "zone_loss_bytes_per_node_per_s": sent / len(live) / 20,
    }


def _bytes_each(make: Callable[[int], object], small: int = 500, large: int = 2500) -> float:
    """Bytes for each item, from two sizes."""
    sizes = []
    for count in (small, large):
        gc.collect()
        tracemalloc.start()
        kept = [make(index) for index in range(count)]
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    return (sizes[1] - sizes[0]) / (large - small)


def _make_bundle_text(index: int) -> str:
    return (
        f"name: org-{index}\nmodels:\n  - {{name: m{index}, pool: p}}\npools:\n  - name: p\n"
        "    endpoints:\n"
        f'      - {{name: e{index}-1, address: "127.0.0.1:1", zone: z, role: prefill}}\n'
        f'      - {{name: e{index}-2, address: "127.0.0.1:2", zone: z, role: decode}}\n'
    )


def measure_memory() -> dict[str, float]:
    """Bytes of state for each item that a node may hold many of."""
    prefixes = PrefixView()
    recorder = BurnRecorder("n")
    routes = RouteTable()
    store = DocumentStore("n")

    def add_document(index: int) -> object:
        record = SignOffRecord(_make_bundle_text(index), f"id-{index}", "ada")
        document = Document(f"bundles/org-{index}", 1, write_record(record))
        return step_documents(store, Fetched((document,), False), ())

    def add_route(index: int) -> object:
        record = SignOffRecord(_make_bundle_text(index), f"id-{index}", "ada")
        return routes.take(Document(f"bundles/org-{index}", 1, write_record(record)))

    def make_held(index: int) -> Held:
        key = RequestKey(f"r{index}", 1)
        return Held(key, "n", "m", f"o{index}", "decode", f"p{index}", index)

    def make_endpoint(index: int) -> EndpointLedger:
        return EndpointLedger(Endpoint(f"e{index}", f"10.0.0.1:{index}", "z", Role.DECODE))

    def make_member(index: int) -> MemberUpdate:
        return MemberUpdate(f"n{index}", f"10.0.0.1:{index}", "z", "r", index, Status.ALIVE)

    def make_request(index: int) -> Request:
        return Request(f"entry-{index}", 3000, 400, index, index + 5000, 400)

    return {
        "memory_bytes_per_member": _bytes_each(make_member),
        "memory_bytes_per_endpoint": _bytes_each(make_endpoint),
        "memory_bytes_per_held_at_owner": _bytes_each(make_held),
        "memory_bytes_per_request_core": _bytes_each(make_request),
        "memory_bytes_per_prefix": _bytes_each(
            lambda index: prefixes.note(f"{index:016x}", 800), small=20, large=120
        ),
        "memory_bytes_per_burn_series": _bytes_each(
            lambda index: recorder.record(f"o{index}", "m", False, False, False, index),
            small=100,
            large=500,
        ),
        "memory_bytes_per_document": _bytes_each(add_document, small=100, large=500),
        "memory_bytes_per_bundle_parsed": _bytes_each(add_route, small=10, large=60),
    }


MEASURES = (
    measure_message_bytes,
    measure_codec,
    measure_owner,
    measure_idle_fleet,
    measure_spread,
    measure_zone_loss,
    measure_memory,
)
