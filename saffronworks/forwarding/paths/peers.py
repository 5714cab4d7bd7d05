"""Choice of the nodes that relay requests, without I/O."""

import random
from collections.abc import Collection

import attrs

from saffronworks.forwarding.paths.tuning import CONFIRMED_MS, OTHER_ZONE_FACTOR, PEER_AVOID_MS
from saffronworks.forwarding.starts import StartId

__all__ = ["PeerChoice", "RelayPeer"]


@attrs.frozen
class RelayPeer:
    """Another node that relays requests, at `address` (`IP:port`)."""

    address: str
    cores: float
    zone: str


@attrs.define
class PeerChoice:
    """The other nodes, the requests that they relay for this one, and which endpoints they reach.

    Requests are spread by the nodes' cores. Nodes of this availability zone are preferred, but of
    two nodes that are asked at once one is in another zone, because a cut often affects a zone.
    """

    zone: str
    peers: dict[str, RelayPeer] = attrs.Factory(dict)
    _outstanding: dict[str, int] = attrs.Factory(dict)
    _avoided_until_ms: dict[str, int] = attrs.Factory(dict)
    # Time of the last confirmation that a node reaches an endpoint.
    _confirmed_ms: dict[StartId, dict[str, int]] = attrs.Factory(dict)
    _reached_any_ms: dict[str, int] = attrs.Factory(dict)

    def update(self, peers: dict[str, RelayPeer]) -> None:
        """Replace the other nodes."""
        self.peers = peers
        for known in (self._avoided_until_ms, self._reached_any_ms, *self._confirmed_ms.values()):
            for address in known.keys() - peers.keys():
                del known[address]

    def confirmed(
        self, instance: StartId, since_ms: int, now_ms: int, rng: random.Random
    ) -> RelayPeer | None:
        """Return a node that reached the endpoint since then, by room; None if there is none."""
        times_ms = self._confirmed_ms.get(instance, {})
        reaching = [name for name, at_ms in times_ms.items() if at_ms >= since_ms]
        return next(iter(self._by_room(reaching, now_ms, rng)), None)

    def candidates(
        self, tried: Collection[str], count: int, now_ms: int, rng: random.Random
    ) -> list[RelayPeer]:
        """Return up to `count` nodes to ask, in different availability zones if possible.

        Those that are avoided are asked if no other one is left.
        """
        untried = [name for name in self.peers if name not in tried]
        ranked = self._by_room(untried, now_ms, rng) or [self.peers[name] for name in untried]
        chosen = ranked[:1]
        others = [peer for peer in ranked[1:] if all(peer.zone != one.zone for one in chosen)]
        rest = [peer for peer in ranked[1:] if peer not in others]
        return (chosen + others + rest)[:count]

    def _by_room(
        self, addresses: Collection[str], now_ms: int, rng: random.Random
    ) -> list[RelayPeer]:
        """Return the nodes that are not avoided, the one with the most room first."""

        def cost(peer: RelayPeer) -> tuple[bool, float]:
            reached_ms = self._reached_any_ms.get(peer.address)
            reaches = reached_ms is not None and now_ms < reached_ms + CONFIRMED_MS
            load = (1 + self._outstanding.get(peer.address, 0)) / peer.cores
            factor = 1.0 if peer.zone == self.zone else OTHER_ZONE_FACTOR
            return not reaches, load * factor * rng.uniform(0.5, 1.5)

        usable = [
            self.peers[address]
            for address in addresses
            if address in self.peers and now_ms >= self._avoided_until_ms.get(address, 0)
        ]
        return sorted(usable, key=cost)

    def record_reaches(self, peer: str, instance: StartId, now_ms: int) -> None:
        """Record that a node reaches an endpoint."""
        self._confirmed_ms.setdefault(instance, {})[peer] = now_ms
        self._reached_any_ms[peer] = now_ms

    def record_unreached(self, peer: str, instance: StartId) -> None:
        """Record that a node doesn't reach an endpoint."""
        self._confirmed_ms.get(instance, {}).pop(peer, None)

    def avoid(self, peer: str, now_ms: int) -> None:
        """Skip a node that does not answer."""
        self._avoided_until_ms[peer] = now_ms + PEER_AVOID_MS
        self._reached_any_ms.pop(peer, None)
        for times_ms in self._confirmed_ms.values():
            times_ms.pop(peer, None)

    def begin(self, peer: str) -> None:
        """Count a request that a node relays for this one."""
        self._outstanding[peer] = self._outstanding.get(peer, 0) + 1

    def end(self, peer: str) -> None:
        """Count the end of a relayed request."""
        self._outstanding[peer] -= 1
        if not self._outstanding[peer]:
            del self._outstanding[peer]

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop the confirmations of endpoints that are not in `instances`."""
        for instance in self._confirmed_ms.keys() - set(instances):
            del self._confirmed_ms[instance]
