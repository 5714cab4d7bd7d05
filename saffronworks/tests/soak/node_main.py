"""A node's program whose connections to endpoints go to a loopback host of its own.

Its first argument is that host. Proxies there can cut the paths of one node; see `path_proxies`.
Requests take some processor time more, so that a surge overloads a node. A signal makes one turn of
its event loop take long.
"""

import sys

import attrs

from saffronworks.forwarding.connection_pool import ConnectionPool
from saffronworks.platform.__main__ import main
from saffronworks.tests.soak.long_turns import add_long_turns
from saffronworks.tests.soak.surges import WORK_MS
from saffronworks.tests.surge_node_main import add_work
from saffronworks.web import parse_address


def dial_over(host):
    """Make new connections to endpoints go to the same port of `host`, not those to other nodes."""
    connect = ConnectionPool._connect

    async def connect_over(pool, endpoint, timeout_ms):
        if endpoint.service:
            _, port = parse_address(endpoint.address)
            endpoint = attrs.evolve(endpoint, address=f"{host}:{port}")
        return await connect(pool, endpoint, timeout_ms)

    ConnectionPool._connect = connect_over


if __name__ == "__main__":
    dial_over(sys.argv.pop(1))
    add_work(WORK_MS)
    add_long_turns()
    main()
