"""Second copies of answers, which come late on the connection of the first one."""

import asyncio
import contextlib

__all__ = ["CopiedAnswers"]

# Share of answers that come a second time, and the delay of the second copy.
COPY_SHARE, COPY_DELAY_S = 0.6, 0.5


class CopiedAnswers:
    """The part of an endpoint that sends some of its answers again until `copies_until_ms`."""

    async def _head(self, writer, status, headers):
        writer.busy = True
        await super()._head(writer, status, headers)

    async def _reply(self, writer, status, headers, body):
        """Echo the id of the request, like the platform's servers; some answers come twice."""
        request_id = writer.request_id
        if status == 421:
            request_id = self.seen[-1][2].get("request-id", "")
        headers = ({"Request-Id": request_id} if request_id else {}) | headers
        await super()._reply(writer, status, headers, body)
        writer.busy = False
        drawn = self.site.now_ms() < self.copies_until_ms and not writer.copy_pending
        if drawn and self._copies.random() < COPY_SHARE:
            writer.copy_pending = True
            delay_s = COPY_DELAY_S * self._copies.random()
            self.site.start_soon(self._copy, writer, status, headers, body, delay_s)
        return True

    async def _copy(self, writer, status, headers, body, delay_s):
        """Send an answer again, unless another one is being sent on its connection."""
        await asyncio.sleep(delay_s)
        await self.awake.wait()
        writer.copy_pending = False
        if writer.busy or writer.is_closing():
            return
        self.records.copies += 1
        with contextlib.suppress(ConnectionError):
            await super()._reply(writer, status, headers, body)
        writer.busy = False
