"""Reloads the settings file when it changes, with or without a signal."""

import logging
from collections.abc import Callable
from pathlib import Path

import anyio
from result import Err

from saffronworks.platform.settings import PlatformSettings, read_platform_settings

__all__ = ["SettingsWatch"]

logger = logging.getLogger(__name__)

# Interval of checks for a change of the file without a signal.
POLL_INTERVAL_MS = 2000


class SettingsWatch:
    """Applies each valid version of the settings file; an invalid one is logged and ignored."""

    def __init__(self, file: str, apply: Callable[[PlatformSettings], None]):
        self._file = file
        self._apply = apply
        # Read now, so that a change during the rest of the start is seen.
        self._last = self._read()

    async def run(self) -> None:
        """Check the file for changes until cancelled."""
        while True:
            await anyio.sleep(POLL_INTERVAL_MS / 1000)
            text = self._read()
            if text is not None and text != self._last:
                self._last = text
                self.reload()

    def reload(self) -> None:
        """Read the file and apply its settings; whatever it holds, the ones in force remain."""
        try:
            self._reload()
        except Exception:
            logger.exception("event=reload_failed file=%s", self._file)

    def _reload(self) -> None:
        text = self._read()
        if text is None:
            return
        read = read_platform_settings(text, self._file)
        if isinstance(read, Err):
            for finding in read.err_value:
                logger.error("event=reload_refused finding=%r", str(finding))
            return
        self._apply(read.ok_value)

    def _read(self) -> str | None:
        try:
            return Path(self._file).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            logger.error("event=settings_unreadable file=%s problem=%r", self._file, str(error))
            return None
