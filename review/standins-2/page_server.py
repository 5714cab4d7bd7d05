"""A plain server as a process of its own: its answers end with their connection.

Arguments: port, name, bytes of a body, seconds that a body takes.
"""

import socket
import sys
import threading
import time

PARTS = 20


def serve(connection, name, size, work_s):
    """Answer one request, in parts, without a length."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return
        data += part
    fields = {}
    for line in data.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        fields[key.strip().lower()] = value.strip()
    if data.startswith(b"GET /health"):
        connection.sendall(b"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n" % name)
        connection.sendall(b"Content-Length: 0\r\n\r\n")
        return
    request_id = fields[b"request-id"]
    if fields.get(b"expect-instance", name) != name:
        head = b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\n"
        end = b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        connection.sendall(head % (name, request_id) + end)
        return
    head = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\nConnection: close\r\n\r\n"
    )
    connection.sendall(head % (request_id, name))
    for _ in range(PARTS):
        time.sleep(work_s / PARTS)
        connection.sendall(b"x" * (size // PARTS))


def handle(connection, name, size, work_s):
    """Serve one connection and close it."""
    try:
        serve(connection, name, size, work_s)
    except OSError:
        pass
    finally:
        connection.close()


def main():
    """Listen until the process ends."""
    port, name, size, work_s = sys.argv[1:]
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", int(port)))
    listener.listen(256)
    while True:
        connection, _ = listener.accept()
        arguments = (connection, name.encode(), int(size), float(work_s))
        threading.Thread(target=handle, args=arguments, daemon=True).start()


if __name__ == "__main__":
    main()
