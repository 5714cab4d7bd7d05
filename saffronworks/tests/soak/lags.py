"""Notices when an event loop of the soak wakes late or stands still, as on a busy machine."""

import time

import anyio

__all__ = ["LOOK_S", "STALLED_S", "watch_lags"]

LOOK_S = 0.05
# Shorter lags are not noted.
SHORTEST_LAG_S = 0.02
# A loop that wakes this much later than it should has stood still.
STALLED_S = 0.25


async def watch_lags(note_lag):
    """Call `note_lag` with when the loop was due to wake and when it did, if it was late.

    Both are seconds of the steady clock, which is the same in all processes.
    """
    while True:
        due_s = time.monotonic() + LOOK_S
        await anyio.sleep(LOOK_S)
        woke_s = time.monotonic()
        if woke_s - due_s >= SHORTEST_LAG_S:
            note_lag(due_s, woke_s)
