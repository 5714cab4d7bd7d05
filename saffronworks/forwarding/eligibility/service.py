"""Keeps what endpoints advertise about themselves, and logs each change of it."""

import logging
from collections.abc import Callable, Collection

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.advertisements import Advertisement
from saffronworks.forwarding.eligibility.table import AdvertisedTable
from saffronworks.forwarding.endpoint_limits.service import EndpointLimits
from saffronworks.forwarding.starts import StartId

__all__ = ["EndpointEligibility"]

logger = logging.getLogger(__name__)


class EndpointEligibility:
    """What this node knows from endpoints themselves."""

    def __init__(self, limits: EndpointLimits, now_ms: Callable[[], int]):
        self._limits = limits
        self._now_ms = now_ms
        self._advertised = AdvertisedTable()
        self._malformed: dict[StartId, tuple[str, ...]] = {}

    def observe(self, endpoint: ServiceEndpoint, advertisement: Advertisement) -> None:
        """Update what is known of an endpoint from one of its answers."""
        instance, now_ms = endpoint.instance, self._now_ms()
        self._limits.hear(endpoint, advertisement.limit)
        if advertisement.draining and self._advertised.record_drain(instance, now_ms):
            logger.info("event=drain_advertised endpoint=%s", instance)
        pause_ms = advertisement.pause_ms
        if pause_ms and self._advertised.record_pause(instance, pause_ms, now_ms):
            logger.info("event=pause_advertised endpoint=%s pause_ms=%d", instance, pause_ms)
        if advertisement.malformed:
            self._log_malformed(instance, advertisement.malformed)

    def _log_malformed(self, instance: StartId, malformed: tuple[str, ...]) -> None:
        """Once, however often an endpoint repeats it."""
        if self._malformed.get(instance) == malformed:
            return
        self._malformed[instance] = malformed
        logger.warning(
            "event=answer_field_malformed endpoint=%s found=%r", instance, "; ".join(malformed)
        )

    def describe(self, instance: StartId) -> str:
        """The state of an endpoint for a log line."""
        if self._advertised.draining_since_ms(instance) is not None:
            return "draining"
        return "paused" if self._advertised.pause(instance, self._now_ms()) else "ready"

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop what belongs to endpoints that are gone."""
        self._limits.forget_all_but(instances)
        self._advertised.forget_all_but(instances, self._now_ms())
        for instance in self._malformed.keys() - set(instances):
            del self._malformed[instance]
