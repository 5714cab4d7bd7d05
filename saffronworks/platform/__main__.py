"""Entry point of a node on the platform: `python3 -m saffronworks.platform`."""

import os
import sys
from pathlib import Path

import anyio
import fire
from result import Err

from saffronworks.logs import set_up_logs
from saffronworks.platform.node import PlatformNode
from saffronworks.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    read_platform_settings,
)

EXIT_BAD_INPUT = 2
METRICS_PORT = 9464


def serve(
    settings: str = "",
    check: bool = False,
    metrics_port: int = METRICS_PORT,
    log_level: str = "INFO",
) -> None:
    """Run one node until SIGTERM, which lets the requests in flight run to their end.

    Args:
        settings: path of the settings file; else the one that the environment names.
        check: only check the settings, and exit.
        metrics_port: where counters and histograms are served.
        log_level: DEBUG, INFO, WARNING or ERROR.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE, "")
    checked = _read(path)
    if check:
        print(f"{path}: ok")
        return
    set_up_logs(log_level, sys.stdout)
    anyio.run(PlatformNode(checked, path, metrics_port).run)


def _read(path: str) -> PlatformSettings:
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        print(f"{path or SETTINGS_VARIABLE}: {error.strerror}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    read = read_platform_settings(text, path)
    if isinstance(read, Err):
        for finding in read.err_value:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    return read.ok_value


if __name__ == "__main__":
    fire.Fire(serve, name="saffronworks.platform")
