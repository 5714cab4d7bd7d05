"""When peers that could not be reached are dialled again, without I/O."""

import random

import attrs

__all__ = ["DialBackoff"]

FIRST_PAUSE_MS = 250
MAX_PAUSE_MS = 1000
# Time for a connect, longer after each dial without success: packets may wait at a full link.
CONNECT_MS = 500
MAX_CONNECT_MS = 1500
# Bound on the dials to all unreachable peers together; each costs a packet, and about a
# millisecond of processor time.
MAX_DIALS_PER_S = 20
# An unreachable peer to which nothing was sent for this long is no longer dialled.
FORGET_MS = 60_000


@attrs.define
class _Unreached:
    since_ms: int
    failed_ms: int
    pause_ms: int
    # Time that the last dial had, and that the next one may take.
    spent_ms: int
    connect_ms: int
    # Factor of the pause.
    jitter: float
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
        return now_ms >= self._next_ms(known)

    def connect_ms(self, address: str) -> int:
        """Return how long the next dial of a peer may take."""
        known = self._peers.get(address)
        return known.connect_ms if known else CONNECT_MS

    def _next_ms(self, peer: _Unreached) -> float:
        """Return when a peer may be dialled again.

        What its last dial took beyond the first one's time is part of the pause.
        """
        shared_ms = len(self._peers) * 1000 / MAX_DIALS_PER_S
        wait_ms = max(peer.pause_ms, shared_ms) * peer.jitter
        return peer.failed_ms + max(0.0, wait_ms - (peer.spent_ms - CONNECT_MS))

    def due(self, now_ms: int) -> list[str]:
        """Return the peers to dial now, and forget those to which nothing is sent any more."""
        unused = [a for a, one in self._peers.items() if now_ms >= one.wanted_ms + FORGET_MS]
        for address in unused:
            del self._peers[address]
        return [address for address, one in self._peers.items() if now_ms >= self._next_ms(one)]

    def record_unreached(self, address: str, now_ms: int) -> bool:
        """Record a dial without success; returns whether it is the first one."""
        known = self._peers.get(address)
        jitter = self.rng.uniform(0.75, 1.25)
        if known is None:
            self._peers[address] = _Unreached(
                now_ms, now_ms, FIRST_PAUSE_MS, CONNECT_MS, 2 * CONNECT_MS, jitter, now_ms
            )
            return True
        known.failed_ms, known.jitter = now_ms, jitter
        known.pause_ms = min(MAX_PAUSE_MS, max(FIRST_PAUSE_MS, 2 * known.pause_ms))
        known.spent_ms = known.connect_ms
        known.connect_ms = min(MAX_CONNECT_MS, known.connect_ms + CONNECT_MS)
        return False

    def record_reached(self, address: str, now_ms: int) -> int | None:
        """Record a connection; returns for how long the peer was unreachable, None if it wasn't."""
        known = self._peers.pop(address, None)
        return now_ms - known.since_ms if known else None

    def end_pauses(self, ip: str) -> None:
        """Allow a dial to the peers on a machine that has connected to this node."""
        for address, known in self._peers.items():
            if address.rpartition(":")[0] == ip:
                known.failed_ms, known.pause_ms, known.jitter = 0, 0, 0.0
                known.spent_ms = known.connect_ms = CONNECT_MS
