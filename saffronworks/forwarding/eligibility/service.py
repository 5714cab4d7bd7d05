"""Decides, for every path that sends requests, whether an endpoint may be sent one now."""

import logging
from collections.abc import Callable, Collection, Set

from saffronworks.endpoint_roles import Role
from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.eligibility.advertisements import Advertisement
from saffronworks.forwarding.eligibility.blocks import Block, BlockReason, Eligibility
from saffronworks.forwarding.eligibility.table import Pause
from saffronworks.forwarding.endpoint_limits.service import EndpointLimits
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.starts import StartId

__all__ = ["EndpointEligibility"]

logger = logging.getLogger(__name__)

# Requests with a reservation may still be sent for this long after a pause began. Endpoints accept
# requests in flight for half a second, part of which the rejection's own transit uses up.
PAUSE_GRACE_MS = 250


class EndpointEligibility:
    """Combines what the store lists with what endpoints advertise about themselves.

    A draining endpoint gets no new request as long as another endpoint is available. Otherwise
    requests may still be sent there until `drain_ms` after the drain began, however long ago they
    arrived: one may wait longer than the endpoint lives. A paused endpoint gets no request of this
    node until the pause ends, but doesn't count as failed, as other nodes may still send to it.
    """

    def __init__(
        self,
        directory: Directory,
        limits: EndpointLimits,
        drain_ms: int,
        now_ms: Callable[[], int],
    ):
        self._directory = directory
        self._limits = limits
        self._drain_ms = drain_ms
        self._now_ms = now_ms
        self._malformed: dict[StartId, tuple[str, ...]] = {}

    # Called for answers.

    def observe(self, endpoint: ServiceEndpoint, advertisement: Advertisement) -> None:
        """Update the state of an endpoint from one of its answers."""
        instance, now_ms, advertised = endpoint.instance, self._now_ms(), self._directory.advertised
        self._limits.observe(endpoint, advertisement.limit)
        if advertisement.draining and advertised.record_drain(instance, now_ms):
            logger.info("event=drain_advertised endpoint=%s", instance)
        pause_ms = advertisement.pause_ms
        if pause_ms and advertised.record_pause(instance, pause_ms, now_ms):
            logger.info("event=pause_advertised endpoint=%s pause_ms=%d", instance, pause_ms)
        if advertisement.malformed:
            self._log_malformed(instance, advertisement.malformed)

    def _log_malformed(self, instance: StartId, malformed: tuple[str, ...]) -> None:
        """Log malformed fields once, however often the endpoint repeats them."""
        if self._malformed.get(instance) == malformed:
            return
        self._malformed[instance] = malformed
        logger.warning(
            "event=answer_field_malformed endpoint=%s found=%r", instance, "; ".join(malformed)
        )

    def handle_restart(
        self, before: StartId, later: StartId, connected_since_ms: int | None
    ) -> None:
        """Keep a drain that a later start of an endpoint advertised before the store listed it.

        It was the later one if a connection is still open that is older than the drain:
        `connected_since_ms` is when the oldest open one was opened, None without any.
        """
        began_ms = self._directory.advertised.draining_since_ms(before)
        if began_ms is None or connected_since_ms is None or connected_since_ms > began_ms:
            return
        self._directory.advertised.record_drain(later, began_ms)
        logger.info("event=drain_kept endpoint=%s before=%s", later, before)

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop the state of endpoints that are not in `instances`."""
        self._limits.forget_all_but(instances)
        self._directory.advertised.forget_all_but(instances, self._now_ms())
        for instance in self._malformed.keys() - set(instances):
            del self._malformed[instance]

    # Called for requests.

    def usable(
        self,
        service: str,
        role: Role | None = None,
        version: str | None = None,
    ) -> list[ServiceEndpoint]:
        """Return the endpoints that a request may choose from.

        With a `version`, only those with that version of their software. If there are none, those
        are returned that have advertised a drain a short time ago.
        """
        now_ms = self._now_ms()
        usable = _of_version(self._directory.usable(service, now_ms, role), version)
        if usable:
            return usable
        since_ms = now_ms - self._drain_ms
        draining = self._directory.draining_since(service, now_ms, role, since_ms)
        return _of_version(draining, version)

    def eligibility_of(self, endpoints: Collection[ServiceEndpoint]) -> Eligibility:
        """Return the blocks and limits of the endpoints that a request may choose from.

        Draining endpoints that are not in `endpoints` are blocked as well.
        """
        limited = self._limits.limits_of(endpoints)
        blocks = {
            instance: Block(BlockReason.RATE_LIMITED, backoff_ms)
            for instance, backoff_ms in limited.backoff_ms.items()
        }
        if len(self._directory.advertised):
            blocks |= self._advertised_blocks({endpoint.instance for endpoint in endpoints})
        return Eligibility(blocks, limited.limited)

    def _advertised_blocks(self, candidates: Set[StartId]) -> dict[StartId, Block]:
        now_ms, advertised = self._now_ms(), self._directory.advertised
        draining = advertised.draining() - candidates
        blocks = {instance: Block(BlockReason.DRAINING) for instance in draining}
        for instance, pause in advertised.pauses(now_ms).items():
            if instance in candidates:
                blocks[instance] = _block_for(pause, now_ms)
        return blocks

    def find_block(self, endpoint: ServiceEndpoint, reserved: bool = False) -> Block | None:
        """Return why a request may not be sent to an endpoint now, or None if it may.

        A request with a reservation was admitted by the endpoint before a pause began, so it may
        be sent until PAUSE_GRACE_MS after the pause began.
        """
        listed = self._directory.endpoints.get(endpoint.instance)
        if listed is None:
            return Block(BlockReason.GONE)
        now_ms = self._now_ms()
        began_ms = self._directory.advertised.draining_since_ms(endpoint.instance)
        drained = began_ms is not None and now_ms > began_ms + self._drain_ms
        if listed.draining or drained:
            return Block(BlockReason.DRAINING)
        pause = self._directory.advertised.pause(endpoint.instance, now_ms)
        if pause is None or (reserved and now_ms < pause.since_ms + PAUSE_GRACE_MS):
            return None
        return _block_for(pause, now_ms)

    def check_send(
        self,
        endpoint: ServiceEndpoint,
        request_id: str,
        reserved: bool = False,
    ) -> None:
        """Raise ExchangeError right before a send if the endpoint was blocked after it was chosen.

        Opening a connection, acquiring a permit or a prefill takes time in between.
        """
        block = self.find_block(endpoint, reserved)
        if block is None:
            return
        logger.info(
            "event=send_withheld request=%s endpoint=%s reason=%s for_ms=%s endpoints_rev=%s",
            request_id,
            endpoint.instance,
            block.reason,
            block.for_ms,
            self._directory.revision,
        )
        raise ExchangeError(ExchangeErrorCause.WITHHELD, sent=False)

    def describe(self, instance: StartId) -> str:
        """Return the advertised state of an endpoint for a log line."""
        advertised = self._directory.advertised
        if advertised.draining_since_ms(instance) is not None:
            return "draining"
        return "paused" if advertised.pause(instance, self._now_ms()) else "ready"


def _of_version(endpoints: list[ServiceEndpoint], version: str | None) -> list[ServiceEndpoint]:
    if version is None:
        return endpoints
    return [endpoint for endpoint in endpoints if endpoint.version == version]


def _block_for(pause: Pause, now_ms: int) -> Block:
    return Block(BlockReason.PAUSED, pause.until_ms - now_ms)
