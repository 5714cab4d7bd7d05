"""State of the network paths from this node to endpoints, without I/O.

A failed connection alone doesn't tell whether the endpoint is down or this node's path to it is
cut. Other nodes are asked whether they reach the endpoint in the same moment.
"""

import enum
from collections.abc import Collection

import attrs

from saffronworks.forwarding.paths.tuning import (
    ANSWER_CHECK_INTERVAL_MAX_MS,
    ANSWER_CHECK_INTERVAL_MS,
    CHECK_INTERVAL_MAX_MS,
    CHECK_INTERVAL_MS,
    CHECK_TIMEOUT_MS,
    DOWN_MS,
    FLAP_WINDOW_MS,
    MAX_CHECKS_PER_ROUND,
    MAX_CHECKS_TO_HEAL,
    OPENED_ANY_MS,
    RECENT_MS,
    RELAY_AFTER_MS,
)
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import CONNECT_TIMEOUT_MS

__all__ = ["Dial", "PathChange", "PathState", "PathTable"]


class PathState(enum.StrEnum):
    """What is known of a path."""

    DIRECT = "direct"
    # Connections fail, and no other node has said whether it reaches the endpoint.
    SUSPECT = "suspect"
    # Connections fail, and another node reaches the endpoint.
    RELAYED = "relayed"
    # Neither this node nor the others that were asked reach the endpoint.
    DOWN = "down"


@attrs.frozen
class Dial:
    """How to connect to an endpoint: directly, through another node, or both.

    `timeout_ms` bounds a direct attempt. `relay_after_ms` is the time without a direct connection
    after which another node is used too, None for never. `reuse`: idle direct connections may be
    used.
    """

    direct: bool
    relay_after_ms: int | None
    reuse: bool
    timeout_ms: int = CHECK_TIMEOUT_MS


@attrs.frozen
class PathChange:
    """A change of a path's state, for the log; `after` is the event that caused it."""

    instance: StartId
    before: PathState
    state: PathState
    after: str
    reached_ms_ago: int | None
    peers: tuple[str, ...] = ()


@attrs.define
class _Path:
    state: PathState = PathState.DIRECT
    since_ms: int = 0
    opened_ms: int | None = None
    answered_ms: int | None = None
    failed_ms: int | None = None
    check_at_ms: int | None = None
    check_interval_ms: int = CHECK_INTERVAL_MS
    # Successful checks in a row while the path is not used, and the number that is needed.
    good_checks: int = 0
    needed_checks: int = 1
    cut_ms: int | None = None
    # Nodes that said that they don't reach the endpoint, since the last change.
    unreached_by: set[str] = attrs.Factory(set)
    answer_check_interval_ms: int = ANSWER_CHECK_INTERVAL_MS
    answer_checked_ms: int | None = None

    def reached_ms(self) -> int | None:
        times_ms = [at_ms for at_ms in (self.opened_ms, self.answered_ms) if at_ms is not None]
        return max(times_ms, default=None)


@attrs.define
class PathTable:
    """The paths of one node by endpoint start; one without an entry is used directly.

    If the paths to two endpoints fail, the others are in doubt until they are reached again: idle
    connections may be dead, and new ones are opened through another node at the same time.
    """

    _paths: dict[StartId, _Path] = attrs.Factory(dict)
    _changes: list[PathChange] = attrs.Factory(list)
    # Since when each path has been suspect or relayed.
    _cut_since_ms: dict[StartId, int] = attrs.Factory(dict)

    # Decisions.

    def state(self, instance: StartId, now_ms: int) -> PathState:
        """Return the state of a path; `DOWN` ends after `DOWN_MS`."""
        path = self._paths.get(instance)
        if path is None:
            return PathState.DIRECT
        if path.state is PathState.DOWN and now_ms >= path.since_ms + DOWN_MS:
            self._change(instance, path, PathState.SUSPECT, "expired", now_ms)
        return path.state

    def dial(self, instance: StartId, now_ms: int) -> Dial:
        """Return how to connect to an endpoint now."""
        match self.state(instance, now_ms):
            case PathState.RELAYED:
                return Dial(direct=False, relay_after_ms=0, reuse=False)
            case PathState.SUSPECT:
                return Dial(direct=True, relay_after_ms=0, reuse=False)
            case PathState.DOWN:
                return Dial(direct=True, relay_after_ms=None, reuse=False)
        if self._in_doubt(instance, now_ms):
            return Dial(direct=True, relay_after_ms=0, reuse=False)
        return Dial(True, RELAY_AFTER_MS, reuse=True, timeout_ms=CONNECT_TIMEOUT_MS)

    def _in_doubt(self, instance: StartId, now_ms: int) -> bool:
        """Return whether two other paths were cut since this endpoint was last reached."""
        if len(self._cut_since_ms) < 2:
            return False
        path = self._paths.get(instance)
        reached_ms = path.reached_ms() if path else None
        return reached_ms is None or reached_ms < min(self._cut_since_ms.values())

    def is_partitioned(self, now_ms: int) -> bool:
        """Return whether other nodes reach endpoints, and this one reached none recently."""
        if not any(path.state is PathState.RELAYED for path in self._paths.values()):
            return False
        return all(
            path.state is not PathState.DIRECT
            for path in self._paths.values()
            if (reached_ms := path.reached_ms()) is not None and reached_ms > now_ms - RECENT_MS
        )

    # Events.

    def record_opened(self, instance: StartId, now_ms: int, check: bool = False) -> None:
        """Record a direct connection; a path that was cut may need several checks to be used."""
        path = self._path(instance)
        path.opened_ms = now_ms
        if path.state is PathState.DIRECT:
            return
        path.good_checks += 1
        if check and path.good_checks < path.needed_checks:
            path.check_at_ms = now_ms + CHECK_INTERVAL_MS
            return
        self._change(instance, path, PathState.DIRECT, "connected", now_ms)
        path.check_at_ms = None
        # The other paths were probably cut by the same fault.
        for other in self._paths.values():
            if other.state is PathState.RELAYED:
                other.check_at_ms = now_ms

    def record_answered(self, instance: StartId, now_ms: int) -> None:
        """Record a complete answer on a direct connection, which may be an old one."""
        self._path(instance).answered_ms = now_ms

    def record_failed(self, instance: StartId, now_ms: int) -> None:
        """Record a direct connection that could not be opened."""
        path = self._path(instance)
        path.failed_ms = now_ms
        path.good_checks = 0
        if path.state is PathState.DIRECT:
            self._change(instance, path, PathState.SUSPECT, "connect-failed", now_ms)
        self._schedule_check(path, now_ms)

    def record_relayed(self, instance: StartId, peer: str, now_ms: int) -> None:
        """Record that another node reaches an endpoint to which direct connections fail."""
        path = self._path(instance)
        if path.state is PathState.RELAYED:
            return
        again = path.cut_ms is not None and now_ms < path.cut_ms + FLAP_WINDOW_MS
        path.needed_checks = min(MAX_CHECKS_TO_HEAL, path.needed_checks + 1) if again else 1
        path.cut_ms = now_ms
        self._change(instance, path, PathState.RELAYED, "relayed", now_ms, (peer,))
        self._schedule_check(path, now_ms)

    def record_unreached_by(
        self, instance: StartId, peer: str, now_ms: int, only_peer: bool = False
    ) -> None:
        """Record that another node doesn't reach the endpoint; two of them show that it is down.

        `only_peer`: there is no other node to ask.
        """
        path = self._path(instance)
        if path.state is PathState.DIRECT or path.state is PathState.DOWN:
            return
        path.unreached_by.add(peer)
        if len(path.unreached_by) >= 2 or only_peer:
            peers = tuple(sorted(path.unreached_by))
            self._change(instance, path, PathState.DOWN, "unreached-by-peers", now_ms, peers)
            path.check_at_ms = None

    def wants_answer_check(self, instance: StartId, acknowledged: bool, now_ms: int) -> bool:
        """Return whether to check an endpoint that doesn't answer, and record the check.

        Checks of an endpoint that acknowledges its requests become rarer while they succeed.
        """
        path = self._path(instance)
        if path.state is not PathState.DIRECT:
            return False
        since_ms = None if path.answer_checked_ms is None else now_ms - path.answer_checked_ms
        if acknowledged and since_ms is not None:
            if since_ms < path.answer_check_interval_ms:
                return False
            longer_ms = 2 * path.answer_check_interval_ms
            path.answer_check_interval_ms = min(longer_ms, ANSWER_CHECK_INTERVAL_MAX_MS)
        path.answer_checked_ms = now_ms
        return True

    def due_checks(self, now_ms: int) -> list[StartId]:
        """Return the endpoints to check now, a few at a time, and schedule their next check."""
        due = [
            (path.check_at_ms, instance)
            for instance, path in self._paths.items()
            if path.check_at_ms is not None and path.check_at_ms <= now_ms
        ]
        chosen = [instance for _, instance in sorted(due)[:MAX_CHECKS_PER_ROUND]]
        for instance in chosen:
            self._schedule_check(self._paths[instance], now_ms)
        return chosen

    @property
    def has_checks(self) -> bool:
        """Return whether any path is to be checked."""
        return any(path.check_at_ms is not None for path in self._paths.values())

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop the state of endpoints that are not in `instances`."""
        for instance in self._paths.keys() - set(instances):
            del self._paths[instance]
            self._cut_since_ms.pop(instance, None)

    # For logs and metrics.

    def reached_ms_ago(self, instance: StartId, now_ms: int) -> int | None:
        """Return the time since the endpoint was reached, or None if it never was."""
        path = self._paths.get(instance)
        reached_ms = path.reached_ms() if path else None
        return None if reached_ms is None else now_ms - reached_ms

    def was_reached(self, instance: StartId, within_ms: int, now_ms: int) -> bool:
        """Return whether the endpoint was reached directly within the last `within_ms`."""
        ago_ms = self.reached_ms_ago(instance, now_ms)
        return ago_ms is not None and ago_ms <= within_ms

    def opened_any(self, now_ms: int) -> bool:
        """Return whether a connection over a path in use was opened very recently.

        Answers on older connections don't count: these may live on while new ones are refused.
        """
        return any(
            path.state is PathState.DIRECT
            and path.opened_ms is not None
            and now_ms - path.opened_ms <= OPENED_ANY_MS
            for path in self._paths.values()
        )

    def count_states(self, now_ms: int) -> dict[str, int]:
        """Return the number of recently contacted endpoints by the state of their paths."""
        counts = dict.fromkeys([state.value for state in PathState], 0)
        for instance, path in self._paths.items():
            times_ms = [path.reached_ms() or 0, path.failed_ms or 0]
            if max(times_ms) > now_ms - RECENT_MS:
                counts[self.state(instance, now_ms).value] += 1
        return counts

    def pop_changes(self) -> list[PathChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _path(self, instance: StartId) -> _Path:
        return self._paths.setdefault(instance, _Path())

    def _schedule_check(self, path: _Path, now_ms: int) -> None:
        path.check_at_ms = now_ms + path.check_interval_ms
        path.check_interval_ms = min(2 * path.check_interval_ms, CHECK_INTERVAL_MAX_MS)

    def _change(
        self,
        instance: StartId,
        path: _Path,
        state: PathState,
        after: str,
        now_ms: int,
        peers: tuple[str, ...] = (),
    ) -> None:
        ago_ms = self.reached_ms_ago(instance, now_ms)
        self._changes.append(PathChange(instance, path.state, state, after, ago_ms, peers))
        path.state, path.since_ms = state, now_ms
        if state in _CUT:
            self._cut_since_ms.setdefault(instance, now_ms)
        else:
            self._cut_since_ms.pop(instance, None)
        path.check_interval_ms = CHECK_INTERVAL_MS
        path.answer_check_interval_ms = ANSWER_CHECK_INTERVAL_MS
        path.unreached_by.clear()
        path.good_checks = 0


_CUT = frozenset([PathState.SUSPECT, PathState.RELAYED])
