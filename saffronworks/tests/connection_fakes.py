"""A connection to an endpoint without a socket, which tests feed with bytes."""

import socket

from saffronworks.forwarding.connections import EndpointConnection

__all__ = ["WAIT_MS", "connect", "receive"]

ID_FIELD = "Request-Id"
WAIT_MS = 100


class FakeTransport:
    """A transport that discards what is sent."""

    reads = True

    def __init__(self):
        self._sockets = socket.socketpair()

    def get_extra_info(self, name):
        return self._sockets[0]

    def pause_reading(self):
        self.reads = False

    def resume_reading(self):
        self.reads = True

    def is_closing(self):
        return False

    def write(self, data):
        pass

    def abort(self):
        pass


def connect():
    connection = EndpointConnection(ID_FIELD)
    connection._transport = FakeTransport()
    return connection


async def receive(connection, data, awaited_id, bodiless=False):
    """Send a request, receive `data`, and return the answer's head and body."""
    connection.send(b"", awaited_id, bodiless)
    connection.data_received(data)
    head = await connection.head(WAIT_MS)
    return head, await connection.body(WAIT_MS)
