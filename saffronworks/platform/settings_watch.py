"""Takes the settings file anew when it has changed, with a signal or without one."""

import logging
from collections.abc import Callable
from pathlib import Path

import anyio
from result import Err

from saffronworks.platform.settings import PlatformSettings, read_platform_settings

__all__ = ["SettingsWatch"]

logger = logging.getLogger(__name__)

# The settings file may change without a signal.
LOOK_MS = 2000


class SettingsWatch:
    """Hands on each new content that has no findings; one that has some changes nothing."""

    def __init__(self, file: str, take: Callable[[PlatformSettings], None]):
        self._file = file
        self._take = take

    async def run(self) -> None:
        """Look again and again until cancelled."""
        last = self._read()
        while True:
            await anyio.sleep(LOOK_MS / 1000)
            text = self._read()
            if text is not None and text != last:
                last = text
                self.reload()

    def reload(self) -> None:
        """Take what the file holds now."""
        text = self._read()
        if text is None:
            return
        read = read_platform_settings(text, self._file)
        if isinstance(read, Err):
            for finding in read.err_value:
                logger.error("event=reload_refused finding=%r", str(finding))
            return
        self._take(read.ok_value)

    def _read(self) -> str | None:
        try:
            return Path(self._file).read_text(encoding="utf-8")
        except OSError as error:
            logger.error("event=settings_unreadable file=%s problem=%r", self._file, str(error))
            return None
