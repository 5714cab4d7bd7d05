"""Follows one kind of object in the store by a listing and then watches."""

import logging
import random
from collections.abc import Callable
from typing import Protocol

import anyio
from result import Err

from saffronworks.forwarding.ports import HistoryGone, Listing, ObjectStore, ObjectStoreFailure
from saffronworks.forwarding.shared_reads import SharedRead
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
    """Receives the objects of one kind.

    Objects that expired because of a store outage may be used until `lapse_until_ms`, which may be
    in the past.
    """

    def replace_all(self, listing: Listing, lapse_until_ms: int) -> None:
        """Replace all objects by a complete listing."""

    def apply(self, changes: Listing, lapse_until_ms: int) -> None:
        """Apply the changes since the last call."""


class Follower:
    """Keeps a sink up to date, with jittered exponential backoff after failures.

    An outage is assumed to begin with the last answer, or when an open connection was cut. It may
    end as early as the last failure: when the failed call was sent, or when its connection was cut.
    The node must be up to date `known_within_ms` after that, so the grace period of expired entries
    ends `LAPSE_MARGIN_MS` earlier at the latest.

    A store restored from a copy reissues revisions: changes since a revision of an earlier epoch
    are incomplete, so the kind is listed again.

    A watch waits for `watch_wait_ms`. While `needs_fresh` it waits as short as those of nodes that
    share updates, so that a silent store is noticed sooner.
    """

    def __init__(
        self,
        kind: str,
        source: ObjectStore,
        sink: ObjectSink,
        rng: random.Random,
        now_ms: Callable[[], int],
        watch_wait_ms: int,
        known_within_ms: int,
        epoch: StoreEpoch,
        news: NewsFeed | None = None,
        needs_fresh: Callable[[], bool] = lambda: False,
    ):
        self.kind = kind
        self._news = news
        self._needs_fresh = needs_fresh
        self._peers_fresh_until_ms = 0
        self._peers_stale = anyio.Event()
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
        self._needs_listing = True
        self._watching: anyio.CancelScope | None = None
        epoch.subscribe(self._end_watch)
        self._latest = SharedRead(self._read_changes)
        self._failures = 0
        self._histories_gone = 0
        self._last_answer_ms = now_ms()
        self._up_to_date_ms = self._last_answer_ms
        self._outage_began_ms = self._last_answer_ms
        self._sent_ms = self._last_answer_ms
        self._last_failure_ms = self._last_answer_ms
        self._lapse_until_ms = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._follows_peers():
                await self._wait_for_peers()
            elif self._needs_listing or self._revision is None:
                await self._list()
            else:
                await self._watch(self._revision)
            # After the first HistoryGone a listing follows without a delay; repeated ones back off.
            failures = max(self._failures, self._histories_gone - 1)
            if failures:
                await anyio.sleep(self._backoff_ms(failures) / 1000)

    def _follows_peers(self) -> bool:
        """Return whether other nodes of the zone watch the store and have published recently."""
        if self._news is None or not self._news.shared or self._news.is_publisher(self.kind):
            return False
        return not self._needs_listing and self._now_ms() < self._peers_fresh_until_ms

    async def _wait_for_peers(self) -> None:
        """Wait until publishers are silent for too long, or an update is incomplete."""
        self._peers_stale = anyio.Event()
        with anyio.move_on_after((self._peers_fresh_until_ms - self._now_ms()) / 1000):
            await self._peers_stale.wait()

    def age_ms(self) -> int:
        """Return the time since the last answer of the store or complete update from a peer."""
        return self._now_ms() - self._up_to_date_ms

    async def read_latest(self) -> bool:
        """Apply all changes made before this call; return whether the store returned them.

        `age_ms` is no substitute: a change may be seconds old before every node must have it.
        """
        return await self._latest.run()

    async def _read_changes(self) -> bool:
        revision, sent_ms = self._revision, self._now_ms()
        if revision is None or self._needs_listing:
            return False
        reply = await self._source.read_changes(self.kind, revision)
        if isinstance(reply, Err):
            logger.info("event=latest_not_read kind=%s reason=%s", self.kind, reply.err_value)
            return False
        # After a restore that was noticed meanwhile, the state may be of before this call.
        restored = self._revision is None or self._revision.epoch != revision.epoch
        if self._needs_listing or restored:
            return False
        answer = reply.ok_value
        if answer.revision.epoch != revision.epoch or answer.revision < revision:
            return False
        if not self._is_overtaken(answer):
            self._sink.apply(answer, self._lapse_until_ms)
            self._revision = answer.revision
            self._up_to_date_ms = self._now_ms()
            self._publish(answer, revision, sent_ms)
        return True

    def handle_news(self, news: StoreNews) -> None:
        """Apply an update from a peer; a node without a revision can start from a whole listing."""
        if self._revision is None and news.whole and news.objects is not None:
            self._revision, self.listed = StoreRevision(0, 0), True
        if self._revision is None or news.at < self._revision:
            return
        if news.at > self._revision and not self._apply_news(news, self._revision):
            self._peers_fresh_until_ms = 0
            self._peers_stale.set()
            return
        self._needs_listing = False
        self._up_to_date_ms = self._now_ms()
        self._extend_peers_fresh()

    def _apply_news(self, news: StoreNews, revision: StoreRevision) -> bool:
        """Apply an update if it has all changes since `revision`; returns whether it does."""
        if news.objects is None or (news.after > revision and not news.whole):
            return False
        until_ms = self._now_ms() + min(news.lapse_ms, LAPSED_GRACE_MS)
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

    def _extend_peers_fresh(self) -> None:
        if self._news is not None:
            self._peers_fresh_until_ms = self._now_ms() + self._news.pace.silent_ms

    def _publish(self, answer: Listing, since: StoreRevision | None, sent_ms: int) -> None:
        """Publish the answer to a call sent at `sent_ms`; `since` is None for a whole listing."""
        self._extend_peers_fresh()
        if self._news is None:
            return
        now_ms = self._now_ms()
        lapse_ms = max(0, self._lapse_until_ms - now_ms)
        self._news.publish(self.kind, answer, since, lapse_ms, now_ms - sent_ms)

    async def _list(self) -> None:
        self._sent_ms, revision_before = self._now_ms(), self._revision
        known_ms = self._up_to_date_ms
        reply = await self._source.list_objects(self.kind)
        if isinstance(reply, Err):
            self._fail(reply.err_value)
            return
        self._note_answer()
        self.listed = True
        self._needs_listing = False
        answer = reply.ok_value
        if self._revision != revision_before and self._is_overtaken(answer):
            return
        self._note_restore(answer, max(known_ms, self._last_failure_ms))
        self._sink.replace_all(answer, self._lapse_until_ms)
        self._revision = answer.revision
        self._publish(answer, None, self._sent_ms)

    def _note_restore(self, answer: Listing, after_ms: int) -> None:
        """Start the grace period for entries that the restored copy lacks.

        They are missing until their endpoints write them again. The restore took place at
        `after_ms` or later.
        """
        known = self._revision
        if known is None:
            return
        restored = answer.revision.epoch > known.epoch or answer.revision < known
        if not restored:
            return
        now_ms = self._now_ms()
        bound_ms = after_ms + self._known_within_ms - LAPSE_MARGIN_MS
        self._lapse_until_ms = min(now_ms + LAPSED_GRACE_MS, bound_ms)
        logger.warning(
            "event=store_restored kind=%s revision=%s known_revision=%s objects=%d lapse_ms=%d",
            self.kind,
            answer.revision,
            known,
            len(answer.objects),
            max(0, self._lapse_until_ms - now_ms),
        )

    async def _watch(self, revision: StoreRevision) -> None:
        self._sent_ms = self._now_ms()
        wait_ms = self._watch_wait_ms
        if self._news is not None and (self._news.shared or self._needs_fresh()):
            wait_ms = min(wait_ms, self._news.pace.watch_wait_ms)
        with anyio.CancelScope() as self._watching:
            reply = await self._source.watch(self.kind, revision, wait_ms)
        ended, self._watching = self._watching.cancelled_caught, None
        if ended:
            self._needs_listing = True
        elif isinstance(reply, Err):
            self._handle_failure(reply.err_value)
        else:
            await self._apply_changes(reply.ok_value, revision)

    async def _apply_changes(self, answer: Listing, revision: StoreRevision) -> None:
        if answer.revision.epoch != revision.epoch or answer.revision < revision:
            self._require_listing(answer.revision, revision)
            return
        self._note_answer()
        self._histories_gone = 0
        if self._is_overtaken(answer):
            return
        self._sink.apply(answer, self._lapse_until_ms)
        self._revision = answer.revision
        self._publish(answer, revision, self._sent_ms)
        if answer.objects:
            await anyio.sleep(WATCH_COALESCE_MS / 1000)

    def _require_listing(self, found: StoreRevision, known: StoreRevision) -> None:
        """Require a listing after a restore, or an update of a peer that the store doesn't have."""
        self._needs_listing = True
        if found < known:
            logger.warning(
                "event=store_behind kind=%s revision=%s known_revision=%s", self.kind, found, known
            )

    def _end_watch(self) -> None:
        """End the current watch after a restore of the store, because it may never return."""
        if self._watching is not None:
            self._watching.cancel()

    def _is_overtaken(self, answer: Listing) -> bool:
        """Return whether a newer update from a peer was applied while this answer was under way."""
        return self._revision is not None and answer.revision < self._revision

    def _handle_failure(self, failure: HistoryGone | ObjectStoreFailure) -> None:
        """Require a listing, because changes may be missing; a peer's update can replace it."""
        self._needs_listing = True
        match failure:
            case HistoryGone():
                logger.info("event=history_gone kind=%s revision=%s", self.kind, self._revision)
                self._histories_gone += 1
            case ObjectStoreFailure():
                self._fail(failure)

    def _fail(self, failure: ObjectStoreFailure) -> None:
        self._failures += 1
        self._last_failure_ms = self._now_ms() if failure.cut else self._sent_ms
        if self._failures == 1:
            age_ms = self._now_ms() - self._last_answer_ms
            self._outage_began_ms = self._now_ms() if failure.cut else self._last_answer_ms
            logger.warning(
                "event=store_lost kind=%s reason=%s heard_ms_ago=%d",
                self.kind,
                failure.reason,
                age_ms,
            )

    def _note_answer(self) -> None:
        now_ms = self._now_ms()
        if self._failures:
            outage_ms = now_ms - self._outage_began_ms
            logger.info("event=store_regained kind=%s away_ms=%d", self.kind, outage_ms)
            if outage_ms >= LAPSE_AFTER_MS:
                bound_ms = self._last_failure_ms + self._known_within_ms - LAPSE_MARGIN_MS
                self._lapse_until_ms = min(now_ms + LAPSED_GRACE_MS, bound_ms)
        self._failures = 0
        self._last_answer_ms = self._up_to_date_ms = now_ms

    def _backoff_ms(self, failures: int) -> int:
        doubled = FOLLOW_BACKOFF_MIN_MS * 2 ** min(failures - 1, 8)
        longest_ms = min(FOLLOW_BACKOFF_MAX_MS, doubled)
        return self._rng.randint(longest_ms // 2, longest_ms)
