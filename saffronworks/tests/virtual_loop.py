"""An event loop in virtual time: while all tasks wait, its clock jumps to the next timer."""

import asyncio
import selectors

import anyio

__all__ = ["run_virtual"]


class _JumpingSelector(selectors.SelectSelector):
    now_s = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "all tasks wait forever"
        self.now_s += max(0.0, timeout)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.now_s


def run_virtual(main):
    """Run `main(now_ms)`; `now_ms` returns the loop's virtual time in milliseconds."""

    async def start():
        loop = asyncio.get_running_loop()
        return await main(lambda: round(loop.time() * 1000))

    return anyio.run(start, backend_options={"loop_factory": _VirtualLoop})
