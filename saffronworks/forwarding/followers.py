"""Follows one kind of object in the store: a listing, then watches."""

import logging
import random
from collections.abc import Callable
from typing import Protocol

import anyio
from result import Err

from saffronworks.forwarding.ports import HistoryGone, Listing, ObjectSource, SourceFailure
from saffronworks.forwarding.store_news import NewsFeed, StoreNews
from saffronworks.forwarding.store_revisions import StoreEpoch, StoreRevision
from saffronworks.forwarding.tuning import (
    FOLLOW_BACKOFF_MAX_MS,
    FOLLOW_BACKOFF_MIN_MS,
    LAPSE_AFTER_MS,
    LAPSE_MARGIN_MS,
    LAPSED_GRACE_MS,
    WATCH_COALESCE_MS,
)

__all__ = ["Follower", "ObjectSink"]

logger = logging.getLogger(__name__)


class ObjectSink(Protocol):
    """Receives the objects of a kind.

    An outage may have removed objects that are still valid: they may be used until
    `lapse_until_ms`, which may be in the past.
    """

    def replace_all(self, listing: Listing, lapse_until_ms: int) -> None:
        """A whole listing."""

    def apply(self, changes: Listing, lapse_until_ms: int) -> None:
        """Changes since the last listing."""


class Follower:
    """Keeps a sink up to date, with jittered exponential backoff after failures.

    An outage is assumed to begin with the last answer, or when an open connection was cut. It may
    be over as soon as the last failed call was sent: `known_within_ms` after that the node has to
    follow the store, so the grace for lapsed entries never lasts longer.

    A store restored from a copy reissues revisions: changes since a revision of an earlier epoch
    are incomplete, so the kind is listed again.
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
        epoch: StoreEpoch,
        news: NewsFeed | None = None,
    ):
        self.kind = kind
        self._news = news
        self._fresh_until_ms = 0
        self._stale = anyio.Event()
        if news is not None:
            news.subscribe(kind, self.handle_news)
        self._watch_wait_ms = watch_wait_ms
        self._known_within_ms = known_within_ms
        self.listed = False
        self._source = source
        self._sink = sink
        self._rng = rng
        self._now_ms = now_ms
        self._revision: StoreRevision | None = None
        self._lists_next = True
        self._watching: anyio.CancelScope | None = None
        epoch.subscribe(self._end_watch)
        self._failures = 0
        self._histories_gone = 0
        self._answered_ms = now_ms()
        self._known_ms = self._answered_ms
        self._lost_ms = self._answered_ms
        self._asked_ms = self._answered_ms
        self._trouble_ms = self._answered_ms
        self._lapse_until_ms = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._follows_peers():
                await self._wait_for_peers()
            elif self._lists_next or self._revision is None:
                await self._list()
            else:
                await self._watch(self._revision)
            # A single lost history is settled by a listing, without a pause.
            troubles = max(self._failures, self._histories_gone - 1)
            if troubles:
                await anyio.sleep(self._backoff_ms(troubles) / 1000)

    def _follows_peers(self) -> bool:
        """Whether publishers of the zone watch the store, and one has published recently."""
        if self._news is None or not self._news.shared or self._news.is_publisher(self.kind):
            return False
        return not self._lists_next and self._now_ms() < self._fresh_until_ms

    async def _wait_for_peers(self) -> None:
        """Wait until publishers time out, or an update is incomplete."""
        self._stale = anyio.Event()
        with anyio.move_on_after((self._fresh_until_ms - self._now_ms()) / 1000):
            await self._stale.wait()

    def age_ms(self) -> int:
        """Time since the known state was current, by an answer of the store or a peer's update."""
        return self._now_ms() - self._known_ms

    def handle_news(self, news: StoreNews) -> None:
        """Apply a peer's update; complete ones also serve a node that is cut off from the store."""
        if self._revision is None and news.whole and news.objects is not None:
            self._revision, self.listed = StoreRevision(0, 0), True
        if self._revision is None or news.at < self._revision:
            return
        if news.at > self._revision and not self._apply_news(news, self._revision):
            self._fresh_until_ms = 0
            self._stale.set()
            return
        self._lists_next = False
        self._known_ms = self._now_ms()
        self._note_fresh()

    def _apply_news(self, news: StoreNews, revision: StoreRevision) -> bool:
        """Whether the update is complete from the known revision on, and was applied."""
        if news.objects is None or (news.after > revision and not news.whole):
            return False
        until_ms = self._now_ms() + news.lapse_ms
        take = self._sink.replace_all if news.whole else self._sink.apply
        take(news.listing, until_ms)
        self._revision = news.at
        logger.info(
            "event=store_update_applied kind=%s revision=%s before=%s by=%s",
            self.kind,
            news.at,
            revision,
            news.sender,
        )
        return True

    def _note_fresh(self) -> None:
        if self._news is not None:
            self._fresh_until_ms = self._now_ms() + self._news.pace.silent_ms

    def _publish(self, heard: Listing, since: StoreRevision | None) -> None:
        """Publish an answer of the store; `since` is None for a whole listing."""
        self._note_fresh()
        if self._news is None:
            return
        now_ms = self._now_ms()
        lapse_ms = max(0, self._lapse_until_ms - now_ms)
        self._news.publish(self.kind, heard, since, lapse_ms, now_ms - self._asked_ms)

    async def _list(self) -> None:
        self._asked_ms, asked_at = self._now_ms(), self._revision
        known_ms = self._known_ms
        reply = await self._source.list_objects(self.kind)
        if isinstance(reply, Err):
            self._fail(reply.err_value)
            return
        self._note_answer()
        self.listed = True
        self._lists_next = False
        heard = reply.ok_value
        if self._revision != asked_at and self._is_overtaken(heard):
            return
        self._note_restore(heard, max(known_ms, self._trouble_ms))
        self._sink.replace_all(heard, self._lapse_until_ms)
        self._revision = heard.revision
        self._publish(heard, since=None)

    def _note_restore(self, heard: Listing, after_ms: int) -> None:
        """Entries written after the copy are missing until their endpoints have written again.

        The restore came at `after_ms` or later.
        """
        known = self._revision
        if known is None:
            return
        restored = heard.revision.epoch > known.epoch or heard.revision < known
        if not restored:
            return
        now_ms = self._now_ms()
        bound_ms = after_ms + self._known_within_ms - LAPSE_MARGIN_MS
        self._lapse_until_ms = min(now_ms + LAPSED_GRACE_MS, bound_ms)
        logger.warning(
            "event=store_restored kind=%s revision=%s known_revision=%s objects=%d lapse_ms=%d",
            self.kind,
            heard.revision,
            known,
            len(heard.objects),
            max(0, self._lapse_until_ms - now_ms),
        )

    async def _watch(self, revision: StoreRevision) -> None:
        self._asked_ms = self._now_ms()
        wait_ms = self._watch_wait_ms
        if self._news is not None and self._news.shared:
            wait_ms = min(wait_ms, self._news.pace.watch_wait_ms)
        with anyio.CancelScope() as self._watching:
            reply = await self._source.watch(self.kind, revision, wait_ms)
        ended, self._watching = self._watching.cancelled_caught, None
        if ended:
            self._lists_next = True
        elif isinstance(reply, Err):
            self._handle_failure(reply.err_value)
        else:
            await self._apply_changes(reply.ok_value, revision)

    async def _apply_changes(self, heard: Listing, revision: StoreRevision) -> None:
        if heard.revision.epoch != revision.epoch:
            self._lists_next = True
            return
        self._note_answer()
        self._histories_gone = 0
        if self._is_overtaken(heard):
            return
        self._sink.apply(heard, self._lapse_until_ms)
        self._revision = heard.revision
        self._publish(heard, since=revision)
        if heard.objects:
            await anyio.sleep(WATCH_COALESCE_MS / 1000)

    def _end_watch(self) -> None:
        """The store was restored: a watch that waits there may never end."""
        if self._watching is not None:
            self._watching.cancel()

    def _is_overtaken(self, heard: Listing) -> bool:
        """Whether a peer's update was newer than an answer on its way."""
        return self._revision is not None and heard.revision < self._revision

    def _handle_failure(self, failure: HistoryGone | SourceFailure) -> None:
        """Changes may be missing: list again, unless a peer's update comes first."""
        self._lists_next = True
        match failure:
            case HistoryGone():
                logger.info("event=history_gone kind=%s revision=%s", self.kind, self._revision)
                self._histories_gone += 1
            case SourceFailure():
                self._fail(failure)

    def _fail(self, failure: SourceFailure) -> None:
        self._failures += 1
        self._trouble_ms = self._now_ms() if failure.cut else self._asked_ms
        if self._failures == 1:
            age_ms = self._now_ms() - self._answered_ms
            self._lost_ms = self._now_ms() if failure.cut else self._answered_ms
            logger.warning(
                "event=store_lost kind=%s reason=%s heard_ms_ago=%d",
                self.kind,
                failure.reason,
                age_ms,
            )

    def _note_answer(self) -> None:
        now_ms = self._now_ms()
        if self._failures:
            away_ms = now_ms - self._lost_ms
            logger.info("event=store_regained kind=%s away_ms=%d", self.kind, away_ms)
            if away_ms >= LAPSE_AFTER_MS:
                bound_ms = self._trouble_ms + self._known_within_ms - LAPSE_MARGIN_MS
                self._lapse_until_ms = min(now_ms + LAPSED_GRACE_MS, bound_ms)
        self._failures = 0
        self._answered_ms = self._known_ms = now_ms

    def _backoff_ms(self, troubles: int) -> int:
        doubled = FOLLOW_BACKOFF_MIN_MS * 2 ** min(troubles - 1, 8)
        longest_ms = min(FOLLOW_BACKOFF_MAX_MS, doubled)
        return self._rng.randint(longest_ms // 2, longest_ms)
