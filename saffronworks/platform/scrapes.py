"""The metrics page of a node. Its libraries are loaded at the first request for the page."""

import importlib
import logging
from typing import Any

import anyio.to_thread

from saffronworks.forwarding.figures import MetricsRecorder

__all__ = ["MetricsPage"]

logger = logging.getLogger(__name__)


class MetricsPage:
    """Renders the metrics; loads the libraries in a thread, to keep the event loop responsive."""

    def __init__(self, figures: MetricsRecorder):
        self._figures = figures
        self._load_lock = anyio.Lock()
        self._metrics: Any = None

    async def render(self) -> bytes:
        """Return the page in the text format of Prometheus."""
        async with self._load_lock:
            if self._metrics is None:
                module = await anyio.to_thread.run_sync(
                    importlib.import_module, "saffronworks.metrics"
                )
                self._metrics = module.ForwardingMetrics(self._figures)
                logger.info("event=metrics_loaded")
        rendered: bytes = self._metrics.render()
        return rendered
