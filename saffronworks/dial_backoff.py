"""When peers that could not be reached are dialled again, without I/O."""

import random

import attrs

__all__ = ["DialBackoff"]

FIRST_PAUSE_MS = 250
MAX_PAUSE_MS = 1000
# Bound on the dials to all unreachable peers together; each costs a packet, and about a
# millisecond of processor time.
MAX_DIALS_PER_S = 20
# An unreachable peer to which nothing was sent for this long is no longer dialled.
FORGET_MS = 60_000


@attrs.define
class _Unreached:
    since_ms: int
    pause_ms: int
    next_ms: int
    wanted_ms: int


@attrs.define
class DialBackoff:
    """Exponential backoff for each peer, longer while many peers are unreachable."""

    rng: random.Random
    _peers: dict[str, _Unreached] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self._peers)

    def is_unreached(self, address: str) -> bool:
        """Return whether the last dial of a peer was without success."""
        return address in self._peers

    def may_dial(self, address: str, now_ms: int) -> bool:
        """Return whether a peer, to which a message is to be sent, may be dialled now."""
        known = self._peers.get(address)
        if known is None:
            return True
        known.wanted_ms = now_ms
        return now_ms >= known.next_ms

    def due(self, now_ms: int) -> list[str]:
        """Return the peers to dial now, and forget those to which nothing is sent any more."""
        unused = [a for a, one in self._peers.items() if now_ms >= one.wanted_ms + FORGET_MS]
        for address in unused:
            del self._peers[address]
        return [address for address, one in self._peers.items() if now_ms >= one.next_ms]

    def record_unreached(self, address: str, now_ms: int) -> bool:
        """Record a dial without success; returns whether it is the first one."""
        known = self._peers.get(address)
        doubled_ms = 2 * known.pause_ms if known else FIRST_PAUSE_MS
        pause_ms = min(MAX_PAUSE_MS, doubled_ms)
        since_ms = known.since_ms if known else now_ms
        wanted_ms = known.wanted_ms if known else now_ms
        shared_ms = len(self._peers) * 1000 // MAX_DIALS_PER_S
        wait_ms = max(pause_ms, shared_ms) * self.rng.uniform(0.75, 1.25)
        self._peers[address] = _Unreached(since_ms, pause_ms, now_ms + round(wait_ms), wanted_ms)
        return known is None

    def record_reached(self, address: str, now_ms: int) -> int | None:
        """Record a connection; returns for how long the peer was unreachable, None if it wasn't."""
        known = self._peers.pop(address, None)
        return now_ms - known.since_ms if known else None

    def end_pauses(self, ip: str) -> None:
        """Allow a dial to the peers on a machine that has connected to this node."""
        for address, known in self._peers.items():
            if address.rpartition(":")[0] == ip:
                known.next_ms = known.pause_ms = 0
