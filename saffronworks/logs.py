"""Logging set-up: one line of key=value pairs for each event."""

import logging
import sys

__all__ = ["set_up_logs"]


def set_up_logs(level: str) -> None:
    """Log to standard error; events write their own pairs, time and module come first."""
    handler = logging.StreamHandler(sys.stderr)
    pattern = "time=%(asctime)s level=%(levelname)s module=%(module)s %(message)s"
    handler.setFormatter(logging.Formatter(pattern))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    for name in ("httpcore", "uvicorn", "uvicorn.error"):
        logging.getLogger(name).setLevel(logging.CRITICAL)
