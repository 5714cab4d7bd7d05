"""Proxies on the paths from single nodes to endpoints."""

from saffronworks.tests.cut_paths import PROXY_FAULTS, Cut, Unresponsive
from saffronworks.tests.soak.proxies import Proxy
from saffronworks.web import parse_address

__all__ = ["PathProxy", "path_host"]


def path_host(node):
    """The loopback host over which a node reaches endpoints."""
    return f"127.1.0.{node + 1}"


class PathProxy(Proxy):
    """The path from one node to one endpoint, on the endpoint's port of the node's own host."""

    def __init__(self, node, endpoint_address):
        _, port = parse_address(endpoint_address)
        super().__init__(endpoint_address, f"{path_host(node)}:{port}")
        self._unresponsive = None
        self._is_cut = self._refuses_all = False

    def refuse(self):
        self._refuses_all = True
        super().refuse()

    def listen(self):
        self._refuses_all = False
        if not self._is_cut:
            super().listen()

    async def cut(self, how):
        """Cut the path; `Cut` tells what happens to connections."""
        self._is_cut = True
        await self.stop_listening()
        if how in (Cut.HANG, Cut.ONE_WAY):
            self._unresponsive = Unresponsive(self.address)
        if how in PROXY_FAULTS:
            self.begin(PROXY_FAULTS[how])

    def heal(self):
        """Restore the path; connections that fell silent stay silent."""
        if self._unresponsive is not None:
            self._unresponsive.close()
            self._unresponsive = None
        self._is_cut = False
        self.end()
        if not self._refuses_all:
            super().listen()
