"""The service that knows the limits that endpoints name in their answers."""

import logging
from collections.abc import Callable, Collection

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.endpoint_limits.table import LimitTable, LimitWord
from saffronworks.forwarding.starts import StartId

__all__ = ["EndpointLimits"]

logger = logging.getLogger(__name__)


class EndpointLimits:
    """Hears what endpoints say of the requests that they take."""

    def __init__(self, now_ms: Callable[[], int]):
        self._table = LimitTable()
        self._now_ms = now_ms
        self._unreadable: dict[StartId, str] = {}

    def find(self, instance: StartId) -> float | None:
        """Requests a second that an endpoint takes; None where it names no limit."""
        return self._table.find(instance)

    def hear(self, endpoint: ServiceEndpoint, word: LimitWord) -> None:
        """An endpoint answered. A limit that can't be read leaves in force what was known."""
        instance = endpoint.instance
        if word.unreadable is not None:
            self._log_unreadable(instance, word.unreadable)
            return
        before = self._table.find(instance)
        if self._table.take_word(instance, word, self._now_ms()):
            logger.info(
                "event=endpoint_limit endpoint=%s per_s=%s before=%s heard=answer",
                instance,
                word.per_s,
                before,
            )

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop what belongs to endpoints that are gone."""
        self._table.forget_all_but(instances, self._now_ms())
        for instance in self._unreadable.keys() - set(instances):
            del self._unreadable[instance]

    def _log_unreadable(self, instance: StartId, text: str) -> None:
        """Once for each text that an endpoint sends again and again."""
        if self._unreadable.get(instance) == text:
            return
        self._unreadable[instance] = text
        logger.warning(
            "event=endpoint_limit_unreadable endpoint=%s found=%r per_s=%s",
            instance,
            text,
            self._table.find(instance),
        )
