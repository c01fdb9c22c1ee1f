"""HTTP/1.1 server and client, a proxy that can cut a connection, and free ports. Loopback only."""

import asyncio
import socket

HOST = "127.0.0.1"


def free_ports(count):
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((HOST, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def read_message(reader):
    """Reads one request or response; returns its start line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(port, handler):
    """`handler(method, target, body)` returns a status and a body, or None for no answer at all."""

    async def connection(reader, writer):
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                answer = await handler(method, target, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, out = answer
                head = f"HTTP/1.1 {status} x\r\nContent-Type: application/cbor\r\nContent-Length: {len(out)}\r\n\r\n"
                writer.write(head.encode() + out)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, HOST, port, limit=1 << 20, backlog=1024)


class Connection:
    """One client's connection, kept open between requests."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def _exchange(self, method, target, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
        head = f"{method} {target} HTTP/1.1\r\nHost: {HOST}:{self.port}\r\nContent-Type: application/cbor\r\nContent-Length: {len(body)}\r\n\r\n"
        self.writer.write(head.encode() + body)
        await self.writer.drain()
        start, headers, out = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(start.split(" ")[1]), headers, out

    async def request(self, method, target, body=b"", timeout=5.0):
        """Returns status, headers and body; status 0 if there is no answer in time."""
        try:
            return await asyncio.wait_for(self._exchange(method, target, body), timeout)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            self.close()
            return 0, {}, b""
        except asyncio.CancelledError:
            self.close()
            raise


class Proxy:
    """Forwards connections to a port. The connections that exist when it is cut are reset; new ones hang until the end
    of the cut."""

    def __init__(self, port, to):
        self.port, self.to = port, to
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, HOST, self.port, backlog=1024)

    def cut(self):
        self.is_open.clear()
        for writer in list(self.writers):
            writer.transport.abort()

    def heal(self):
        self.is_open.set()

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        to_writer = None
        try:
            await self.is_open.wait()
            to_reader, to_writer = await asyncio.open_connection(HOST, self.to)
            self.writers.add(to_writer)
            await asyncio.gather(self._pump(reader, to_writer), self._pump(to_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self.writers.discard(writer)
            self.writers.discard(to_writer)

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(1 << 16):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
