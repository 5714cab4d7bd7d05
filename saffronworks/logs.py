"""Logging set-up: one line of key=value pairs for each event, written without blocking."""

import contextlib
import logging
import queue
import signal
import sys
import threading
import time
from typing import TextIO

from saffronworks.clocks import monotonic_ms

__all__ = ["BoundedHandler", "flush_logs", "set_up_logs"]

# Lines a second that one process writes at most; a request takes about six lines, and a node on
# a tenth of a slow core serves some 60 requests a second at its peak.
MOST_LINES_PER_S = 400
# Lines that wait for a slow reader of the pipe; further ones are counted and dropped.
MOST_WAITING_LINES = 2000
# Longer lines lose their middle. Paths and ids in them may be as long as a head.
MOST_LINE_CHARS = 8192
CUT_MARK = " ... "
# A process that ends waits so long for its last lines at most.
FLUSH_MS = 500
# Lines of so long are written together. A process that is killed loses them.
BATCH_MS = 50


class BoundedHandler(logging.Handler):
    """Hands lines to a writer thread; what exceeds the bounds is counted and told."""

    def __init__(self, stream: TextIO, most_per_s: int = MOST_LINES_PER_S):
        super().__init__()
        self.dropped = 0
        self._most_per_s = most_per_s
        self._second = 0
        self._lines_in_second = 0
        self._waiting: queue.Queue[str] = queue.Queue(MOST_WAITING_LINES)
        self._stream = stream
        self._flushing = threading.Event()
        self._writer = threading.Thread(target=self._write, name="log-writer", daemon=True)
        self._writer.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line; warnings and errors are not bound by the rate."""
        if not self._within_rate(int(record.created)) and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        try:
            if self.dropped:
                self._waiting.put_nowait(f"event=log_lines_dropped count={self.dropped}")
                self.dropped = 0
            self._waiting.put_nowait(shorten_line(self.format(record)))
        except queue.Full:
            self.dropped += 1

    def flush(self, within_ms: int = FLUSH_MS) -> None:
        """Wait until all lines are written, at most `within_ms`; lines are no longer batched."""
        self._flushing.set()
        until_ms = monotonic_ms() + within_ms
        while self._waiting.unfinished_tasks and monotonic_ms() < until_ms:
            time.sleep(0.002)

    def _within_rate(self, second: int) -> bool:
        if second != self._second:
            self._second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        return self._lines_in_second <= self._most_per_s

    def _write(self) -> None:
        # Signals are for the main thread, which must not run on while this one handles them late.
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        while True:
            lines = [self._waiting.get()]
            # A wake-up and a write for each line cost more than the line.
            self._flushing.wait(BATCH_MS / 1000)
            with contextlib.suppress(queue.Empty):
                while True:
                    lines.append(self._waiting.get_nowait())
            try:
                self._stream.write("\n".join(lines) + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                return
            for _ in lines:
                self._waiting.task_done()


def shorten_line(line: str) -> str:
    """Return a line of bounded length, with its begin and end."""
    if len(line) <= MOST_LINE_CHARS:
        return line
    half = (MOST_LINE_CHARS - len(CUT_MARK)) // 2
    return f"{line[:half]}{CUT_MARK}{line[-half:]}"


def flush_logs(within_ms: int) -> None:
    """Write the lines that wait, before the process may be killed; blocks up to `within_ms`."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler, BoundedHandler):
            handler.flush(within_ms)


def set_up_logs(level: str, stream: TextIO = sys.stderr) -> None:
    """Log to a stream; events write their own pairs, time and module come first."""
    handler = BoundedHandler(stream)
    pattern = "time=%(asctime)s level=%(levelname)s module=%(module)s %(message)s"
    handler.setFormatter(logging.Formatter(pattern))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    for name in ("httpcore", "uvicorn", "uvicorn.error"):
        logging.getLogger(name).setLevel(logging.CRITICAL)
