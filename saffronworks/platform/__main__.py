"""Entry point of a node on the platform: `python3 -m saffronworks.platform`."""

import gc
import os
import signal
import sys

# A reload that is asked for during the imports would end the process; the node reads its settings
# after them.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Imported objects are never freed, and collecting garbage among them takes 15 of a start's 420 ms.
gc.disable()

# ruff: noqa: E402
import fire

from saffronworks.clocks import run
from saffronworks.logs import set_up_logs
from saffronworks.platform.node import PlatformNode
from saffronworks.platform.settings import SETTINGS_VARIABLE, read_platform_settings
from saffronworks.readers import load_or_exit
from saffronworks.stop_signal import exit_now

METRICS_PORT = 9464


def serve(
    settings: str = "",
    check: bool = False,
    metrics_port: int = METRICS_PORT,
    log_level: str = "INFO",
) -> None:
    """Run one node until SIGTERM, which lets the requests in flight complete.

    Args:
        settings: path of the settings file; default: the one that the environment names.
        check: check the settings and exit.
        metrics_port: port of the metrics page.
        log_level: DEBUG, INFO, WARNING or ERROR.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE, SETTINGS_VARIABLE)
    checked = load_or_exit(path, read_platform_settings)
    if check:
        print(f"{path}: ok")
        return
    set_up_logs(log_level, sys.stdout)
    gc.freeze()
    gc.enable()
    run(PlatformNode(checked, path, metrics_port).run)
    exit_now()


def main() -> None:
    """Run a node with the arguments of the command line."""
    fire.Fire(serve, name="saffronworks.platform")


if __name__ == "__main__":
    main()
