"""Time of a quota's decisions, at an entry node and at a holder."""

import time

from saffronworks.forwarding.node_choice import NodeChoice
from saffronworks.forwarding.node_count import NodeCount
from saffronworks.forwarding.shares import entry, holder
from saffronworks.forwarding.shares.allowances import Allowances
from saffronworks.forwarding.shares.entry import Answered, EntryState, HolderQuery, QueryStarted
from saffronworks.forwarding.shares.events import Answer, Ask
from saffronworks.forwarding.shares.holder import HolderState
from saffronworks.forwarding.shares.limits import Limit, Tolerance
from saffronworks.forwarding.shares.ring import HolderRing

__all__ = ["print_quotas"]

ROUNDS = 20_000
LIMIT = Limit(100_000.0, 100_000.0)
BOUNDS = Tolerance(8000, 0.1, 120_000)
# Nodes and organisations of the largest site in use, and of the largest that is planned.
SIZES = ((60, 16), (1600, 29_000))


def print_quotas() -> None:
    """One row a size: microseconds of the entry node's two steps and of the holder's one."""
    print("quotas: nodes, organisations, entry us, holder us")
    for nodes, organisations in SIZES:
        entry_us, holder_us = _measure(nodes, organisations)
        print(f"{nodes:6} {organisations:6} {entry_us:6.1f} {holder_us:6.1f}")


def _measure(nodes: int, organisations: int) -> tuple[float, float]:
    ring = HolderRing()
    ring.update((f"10.0.{n // 250}.{n % 250}:1" for n in range(nodes)), 0)
    at_entry = EntryState(NodeChoice(), ring, Allowances(BOUNDS, NodeCount(nodes)))
    held = HolderState(BOUNDS, -BOUNDS.window_ms)
    # A node meets the large ones most: half of all requests are those of one in ten.
    few = max(1, organisations // 10)
    names = [f"o{n % few if n % 2 else n % organisations}" for n in range(ROUNDS)]
    asks = [Ask(f"{n:x}", name, 200, LIMIT, 3) for n, name in enumerate(names)]
    began_s = time.perf_counter()
    for number, ask in enumerate(asks):
        query = HolderQuery(ask)
        command = entry.step(at_entry, query, QueryStarted(), number)
        assert isinstance(command, entry.AskHolder)
        answer = Answered(command.holder, Answer(ask.ask_id, admitted=True))
        entry.step(at_entry, query, answer, number)
    entry_s = time.perf_counter() - began_s
    began_s = time.perf_counter()
    for number, ask in enumerate(asks):
        holder.step(held, ask, LIMIT, number)
    holder_s = time.perf_counter() - began_s
    return 1e6 * entry_s / ROUNDS, 1e6 * holder_s / ROUNDS
