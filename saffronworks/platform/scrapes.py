"""The metrics page of a node, whose libraries are loaded when somebody first asks for it."""

import importlib
import logging
from typing import Any

import anyio.to_thread

from saffronworks.forwarding.figures import MetricsRecorder

__all__ = ["MetricsPage"]

logger = logging.getLogger(__name__)


class MetricsPage:
    """Renders the figures; loading goes on in a thread, so that requests are served meanwhile."""

    def __init__(self, figures: MetricsRecorder):
        self._figures = figures
        self._loading = anyio.Lock()
        self._metrics: Any = None

    async def render(self) -> bytes:
        """The page in Prometheus' text format."""
        async with self._loading:
            if self._metrics is None:
                module = await anyio.to_thread.run_sync(
                    importlib.import_module, "saffronworks.metrics"
                )
                self._metrics = module.ForwardingMetrics(self._figures)
                logger.info("event=metrics_loaded")
        rendered: bytes = self._metrics.render()
        return rendered
