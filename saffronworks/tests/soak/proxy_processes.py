"""Proxies in processes of their own, as one event loop can't carry the links of a large site."""

import asyncio
import inspect
import itertools
import multiprocessing

import anyio
import attrs

from saffronworks.tests.soak.lags import watch_lags

__all__ = ["ProxyProcess", "RemoteProxy"]

_SPAWN = multiprocessing.get_context("spawn")
END_LIMIT_S = 1.0


@attrs.frozen
class _Add:
    """Start the proxy `make(*arguments)`."""

    proxy: int
    make: type
    arguments: tuple


@attrs.frozen
class _Call:
    """Call a method of a proxy; its result is not returned."""

    proxy: int
    method: str
    arguments: tuple = ()


@attrs.frozen
class _Sync:
    """Sent back once all earlier messages have taken effect."""

    number: int


@attrs.frozen
class _Lag:
    """The process of the proxies woke late."""

    due_s: float
    woke_s: float


class RemoteProxy:
    """A proxy of another process; its methods return before they take effect there."""

    def __init__(self, number, process):
        self._number = number
        self._process = process

    def _call(self, method, *arguments):
        self._process.send(_Call(self._number, method, arguments))

    def begin(self, kind):
        self._call("begin", kind)

    def end(self):
        self._call("end")

    def refuse(self):
        self._call("refuse")
        self._call("stop_listening")

    def listen(self):
        self._call("listen")

    def cut(self, how):
        self._call("cut", how)

    def heal(self):
        self._call("heal")


class ProxyProcess:
    """Runs proxies until `end`, or until the process that made it has ended.

    `note_lag` is called like that of `watch_lags`, once `start` has been called.
    """

    def __init__(self, note_lag):
        self._connection, theirs = _SPAWN.Pipe()
        self._process = _SPAWN.Process(target=_run_process, args=(theirs,), daemon=True)
        self._process.start()
        theirs.close()
        self._note_lag = note_lag
        self._numbers = itertools.count()
        self._syncs = {}
        self._ended = False

    @property
    def pid(self):
        return self._process.pid

    def start(self):
        """Read what the process sends, in the running event loop."""
        _read(self._connection, self._handle)

    def add(self, make, *arguments):
        """Start the proxy `make(*arguments)`, which listens after the next `sync`."""
        number = next(self._numbers)
        self.send(_Add(number, make, arguments))
        return RemoteProxy(number, self)

    def send(self, message):
        self._connection.send(message)

    async def sync(self):
        """Return when all that was sent has taken effect; raises EOFError if the process ends."""
        if self._ended:
            raise EOFError
        number = next(self._numbers)
        synced = self._syncs[number] = asyncio.get_running_loop().create_future()
        self.send(_Sync(number))
        try:
            await synced
        finally:
            del self._syncs[number]

    def _handle(self, message):
        match message:
            case _Sync(number):
                self._end_sync(number)
            case _Lag(due_s, woke_s):
                self._note_lag(due_s, woke_s)
            case None:
                self._ended = True
                for number in self._syncs:
                    self._end_sync(number, EOFError())

    def _end_sync(self, number, problem=None):
        synced = self._syncs.get(number)
        # Its task may have been cancelled.
        if synced is None or synced.done():
            return
        if problem is None:
            synced.set_result(None)
        else:
            synced.set_exception(problem)

    def end(self):
        """End the process."""
        self._process.terminate()
        self._process.join(END_LIMIT_S)


def _read(connection, handle):
    """Call `handle` with each message of a connection, and with None at its end."""
    loop = asyncio.get_running_loop()

    def receive():
        try:
            while connection.poll():
                handle(connection.recv())
        except (EOFError, ConnectionResetError):
            loop.remove_reader(connection.fileno())
            handle(None)

    loop.add_reader(connection.fileno(), receive)


def _run_process(connection):
    anyio.run(_run_proxies, connection)


async def _run_proxies(connection):
    received: asyncio.Queue = asyncio.Queue()
    _read(connection, received.put_nowait)
    proxies = {}
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_lags, lambda *times_s: connection.send(_Lag(*times_s)))
        while (message := await received.get()) is not None:
            match message:
                case _Add(number, make, arguments):
                    proxy = proxies[number] = make(*arguments)
                    tasks.start_soon(proxy.run)
                    await proxy.started.wait()
                case _Call(number, method, arguments):
                    result = getattr(proxies[number], method)(*arguments)
                    if inspect.isawaitable(result):
                        await result
                case _Sync():
                    connection.send(message)
        tasks.cancel_scope.cancel()
