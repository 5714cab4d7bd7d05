"""`saffrond`: one node as a process."""

import logging
import signal
import sys

import anyio
import fire

from saffronworks.clocks import held_up_ms, monotonic_ms, run
from saffronworks.logs import set_up_logs
from saffronworks.nodes import Node
from saffronworks.readers import load_or_exit
from saffronworks.settings import Settings, read_settings
from saffronworks.stop_signal import STOP_SIGNALS, StopSignal

__all__ = ["main"]

logger = logging.getLogger(__name__)


def main() -> None:
    """Entry point of `saffrond`."""
    fire.Fire(serve, name="saffrond")


def serve(settings: str, check: bool = False) -> None:
    """Run one node until SIGTERM, which lets the requests in flight run to their end.

    Args:
        settings: path of the YAML settings file.
        check: only check the settings, and exit.
    """
    checked = load_or_exit(settings, read_settings)
    if check:
        print(f"{settings}: ok")
        return
    set_up_logs(checked.log_level)
    try:
        run(_run, checked)
    except* OSError as group:
        for error in group.exceptions:
            logger.error("event=start_failed problem=%r", str(error))
        sys.exit(1)


async def _run(settings: Settings) -> None:
    node = Node(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, node)
        await node.run()
        tasks.cancel_scope.cancel()


async def _watch_signals(node: Node) -> None:
    # SIGHUP, which ends a process by default, changes nothing: settings need a restart.
    kinds = (*STOP_SIGNALS, signal.SIGHUP)
    stop_signal = StopSignal(held_up_ms, monotonic_ms, lambda _: None)
    with anyio.open_signal_receiver(*kinds) as signals:
        stop_signal.install()
        async for number in signals:
            logger.info("event=signal number=%d", number)
            if number != signal.SIGHUP:
                node.stop(stop_signal.sent_ms)


if __name__ == "__main__":
    main()
