"""A node's program whose requests take a given processor time, so that few of them overload it.

Its first argument is that time in ms. It is spent in slices between which other tasks run.
"""

import asyncio
import sys
import time

from saffronworks.forwarding.forwarder import Forwarder
from saffronworks.platform.__main__ import main

SLICES = 6


def add_work(work_ms):
    """Make each request use this much more processor time before it is sent on."""
    run = Forwarder._run

    async def run_with_work(forwarder, job, table):
        for _ in range(SLICES):
            until_s = time.thread_time() + work_ms / 1000 / SLICES
            while time.thread_time() < until_s:
                pass
            await asyncio.sleep(0)
        await run(forwarder, job, table)

    Forwarder._run = run_with_work


if __name__ == "__main__":
    add_work(float(sys.argv.pop(1)))
    main()
