"""Following one kind of object in the store: a listing, then its changes, for ever."""

import logging
import random
from collections.abc import Callable
from typing import Protocol

import anyio
from result import Err

from saffronworks.forwarding.ports import HistoryGone, Listing, ObjectSource, SourceFailure
from saffronworks.forwarding.tuning import (
    FOLLOW_FIRST_BACKOFF_MS,
    FOLLOW_LONGEST_BACKOFF_MS,
    LAPSE_AFTER_MS,
    LAPSE_MARGIN_MS,
    LAPSED_GRACE_MS,
    WATCH_PAUSE_MS,
)

__all__ = ["Follower", "ObjectSink"]

logger = logging.getLogger(__name__)


class ObjectSink(Protocol):
    """Takes what a follower hears.

    An outage may have removed objects that still hold: until `lapse_until_ms`, a time that may be
    past already, what they stand for may be used.
    """

    def replace_all(self, listing: Listing, lapse_until_ms: int) -> None:
        """A whole listing."""

    def apply(self, changes: Listing, lapse_until_ms: int) -> None:
        """Changes since the last listing."""


class Follower:
    """Keeps a sink up to date. After failures it waits a little longer each time, with jitter.

    An outage is taken to have begun when the store was last heard, as it may have been away while
    a watch waited; where an open connection was cut, it began then. It may also have been over
    since the last call that failed was sent, and only that call's connection silent. From then on
    `known_within_ms` count, within which a node has to go by what the store says: a grace for
    entries that may have lapsed ends with them. Without that end, a node whose watch was lost kept
    sending to an endpoint that had left, for up to two seconds longer than it may.
    """

    def __init__(
        self,
        kind: str,
        source: ObjectSource,
        sink: ObjectSink,
        rng: random.Random,
        now_ms: Callable[[], int],
        watch_wait_ms: int,
        known_within_ms: int,
    ):
        self.kind = kind
        self._watch_wait_ms = watch_wait_ms
        self._known_within_ms = known_within_ms
        self.listed = False
        self._source = source
        self._sink = sink
        self._rng = rng
        self._now_ms = now_ms
        self._revision: int | None = None
        self._failures = 0
        self._heard_ms = now_ms()
        self._lost_ms = self._heard_ms
        self._asked_ms = self._heard_ms
        self._trouble_ms = self._heard_ms
        self._lapse_until_ms = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._revision is None:
                await self._list()
            else:
                await self._watch(self._revision)
            if self._failures:
                await anyio.sleep(self._backoff_ms() / 1000)

    async def _list(self) -> None:
        self._asked_ms = self._now_ms()
        reply = await self._source.list_objects(self.kind)
        if isinstance(reply, Err):
            self._fail(reply.err_value)
            return
        self._hear()
        self._sink.replace_all(reply.ok_value, self._lapse_until_ms)
        self._revision = reply.ok_value.revision
        self.listed = True

    async def _watch(self, revision: int) -> None:
        self._asked_ms = self._now_ms()
        reply = await self._source.watch(self.kind, revision, self._watch_wait_ms)
        if isinstance(reply, Err):
            self._lose_watch(reply.err_value)
            return
        self._hear()
        self._sink.apply(reply.ok_value, self._lapse_until_ms)
        self._revision = reply.ok_value.revision
        if reply.ok_value.objects:
            await anyio.sleep(WATCH_PAUSE_MS / 1000)

    def _lose_watch(self, failure: HistoryGone | SourceFailure) -> None:
        """Changes may have been missed: a listing settles what holds."""
        self._revision = None
        match failure:
            case HistoryGone():
                logger.info("event=history_gone kind=%s", self.kind)
            case SourceFailure():
                self._fail(failure)

    def _fail(self, failure: SourceFailure) -> None:
        self._failures += 1
        self._trouble_ms = self._now_ms() if failure.cut else self._asked_ms
        if self._failures == 1:
            age_ms = self._now_ms() - self._heard_ms
            self._lost_ms = self._now_ms() if failure.cut else self._heard_ms
            logger.warning(
                "event=store_lost kind=%s reason=%s heard_ms_ago=%d",
                self.kind,
                failure.reason,
                age_ms,
            )

    def _hear(self) -> None:
        now_ms = self._now_ms()
        if self._failures:
            away_ms = now_ms - self._lost_ms
            logger.info("event=store_regained kind=%s away_ms=%d", self.kind, away_ms)
            if away_ms >= LAPSE_AFTER_MS:
                bound_ms = self._trouble_ms + self._known_within_ms - LAPSE_MARGIN_MS
                self._lapse_until_ms = min(now_ms + LAPSED_GRACE_MS, bound_ms)
        self._failures = 0
        self._heard_ms = now_ms

    def _backoff_ms(self) -> int:
        doubled = FOLLOW_FIRST_BACKOFF_MS * 2 ** min(self._failures - 1, 8)
        longest_ms = min(FOLLOW_LONGEST_BACKOFF_MS, doubled)
        return self._rng.randint(longest_ms // 2, longest_ms)
