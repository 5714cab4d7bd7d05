"""`saffrond`: one node as a process."""

import logging
import signal
import sys
from pathlib import Path

import anyio
import fire
from result import Err

from saffronworks.logs import set_up_logs
from saffronworks.nodes import Node
from saffronworks.settings import Settings, read_settings

__all__ = ["main"]

logger = logging.getLogger(__name__)

EXIT_BAD_INPUT = 2


def main() -> None:
    """Entry point of `saffrond`."""
    fire.Fire(serve, name="saffrond")


def serve(settings: str, check: bool = False) -> None:
    """Run one node until SIGTERM, which lets the requests in flight run to their end.

    Args:
        settings: path of the YAML settings file.
        check: only check the settings, and exit.
    """
    checked = _read(settings)
    if check:
        print(f"{settings}: ok")
        return
    set_up_logs(checked.log_level)
    try:
        anyio.run(_run, checked)
    except* OSError as group:
        for error in group.exceptions:
            logger.error("event=start_failed problem=%r", str(error))
        sys.exit(1)


def _read(path: str) -> Settings:
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        print(f"{path}: {error.strerror}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    read = read_settings(text, path)
    if isinstance(read, Err):
        for finding in read.err_value:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    return read.ok_value


async def _run(settings: Settings) -> None:
    node = Node(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, node)
        await node.run()
        tasks.cancel_scope.cancel()


async def _watch_signals(node: Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.stop()


if __name__ == "__main__":
    main()
