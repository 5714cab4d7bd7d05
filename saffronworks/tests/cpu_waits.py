"""Measures for how long a thread was ready to run, but waited for a processor."""

from pathlib import Path

__all__ = ["cpu_wait_s"]

SCHEDSTAT = Path("/proc/thread-self/schedstat")


def cpu_wait_s():
    """Return this thread's waits for a processor since its start, in s; 0 if not measured.

    Time in which the thread runs, sleeps or waits for events is none of it, so a check that adds it
    to a time limit allows for other processes on the machine only.
    """
    if not SCHEDSTAT.exists():
        return 0.0
    _run_ns, wait_ns, _slices = SCHEDSTAT.read_text().split()
    return int(wait_ns) / 1e9
