"""Network paths from each node to each server, which can be cut for single nodes."""

import enum
import socket

import attrs

from saffronworks.standins.addresses import free_address
from saffronworks.tests.soak.proxies import Proxy
from saffronworks.web import parse_address

__all__ = ["PROXY_FAULTS", "Cut", "CutPaths", "Unresponsive"]


class Cut(enum.Enum):
    """What happens to connections over a path that is cut."""

    # Open connections fall silent, and new ones get no reply.
    HANG = "hang"
    # Open connections are reset, and new ones are refused.
    RESET = "reset"
    # Open connections live on, and new ones are refused.
    REFUSE_NEW = "refuse new"
    # Requests on open connections arrive and their answers don't; new ones get no reply.
    ONE_WAY = "one way"


PROXY_FAULTS = {Cut.HANG: "silent", Cut.RESET: "reset", Cut.ONE_WAY: "cut-down"}


class Unresponsive:
    """An address that replies to no connection attempt: its queue of new connections is full."""

    def __init__(self, address=None):
        self.address = address or free_address()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(parse_address(self.address))
        self._listener.listen(0)
        self._queued = [socket.socket() for _ in range(2)]
        for queued in self._queued:
            queued.setblocking(False)
            queued.connect_ex(parse_address(self.address))

    def close(self):
        for one in (*self._queued, self._listener):
            one.close()


class CutPaths:
    """The paths of the nodes of a place; all of a node's paths are cut at once."""

    def __init__(self, place):
        self._place = place
        self._cuts = {}
        self._ended = set()
        self._proxies = {}
        self._unresponsive = Unresponsive()
        self._refusing = free_address()
        for number, node in enumerate(place.nodes):
            for server in place.servers.values():
                proxy = self._proxies[number, server.address] = Proxy(server.address)
                place.tasks.start_soon(proxy.run)
            self._redirect(number, node)

    def _redirect(self, number, node):
        """Make the node's new connections to servers take its own paths."""
        pool = node._calls.pool
        connect = pool._connect

        async def connect_by_path(endpoint, *arguments):
            address = self._dialled(number, endpoint.address)
            return await connect(attrs.evolve(endpoint, address=address), *arguments)

        pool._connect = connect_by_path

    def _dialled(self, number, address):
        if address in self._ended:
            return self._refusing
        proxy = self._proxies.get((number, address))
        if proxy is None:
            return address
        match self._cuts.get(number):
            case Cut.HANG | Cut.ONE_WAY:
                return self._unresponsive.address
            case Cut.RESET | Cut.REFUSE_NEW:
                return self._refusing
        return proxy.address

    def cut(self, number, how):
        """Cut a node off from all servers."""
        self._cuts[number] = how
        if how in PROXY_FAULTS:
            for proxy in self._of(number):
                proxy.begin(PROXY_FAULTS[how])

    def end_server(self, number, server):
        """Make a server refuse a node, as one whose process has ended does."""
        self._proxies.pop((number, server.address)).begin("reset")
        self._ended.add(server.address)

    def heal(self, number):
        """Restore the paths of a node; connections that fell silent stay silent."""
        del self._cuts[number]
        for proxy in self._of(number):
            proxy.end()

    def _of(self, number):
        return [proxy for (node, _), proxy in self._proxies.items() if node == number]
