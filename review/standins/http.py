"""A minimal HTTP/1.1 server and client on asyncio."""

import asyncio
import contextlib
import json
from typing import NamedTuple

HOST = "127.0.0.1"
# Returned by a handler whose answer is lost: the connection stays open, and nothing
# further is delivered on it.
LOST = object()


class Request(NamedTuple):
    """A request; `query` is the text after the question mark."""

    method: str
    path: str
    query: str
    headers: dict
    body: bytes


class Reply(NamedTuple):
    """A status, 0 if there was no answer, and the decoded body."""

    status: int
    document: dict


class Server:
    """Serves ``await handle(request)``, which returns (status, document) or `LOST`."""

    def __init__(self, port, handle):
        self.port = port
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    async def stop(self):
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                answer = await self._handle(request)
                if answer is LOST:
                    # Everything that still arrives here is ignored.
                    while await reader.read(65536):
                        pass
                    return
                status, document = answer
                body = b"" if document is None else json.dumps(document).encode()
                head = (
                    f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = await _read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    path, _, query = target.partition("?")
    return Request(method, path, query, headers, body)


async def _read_headers(reader):
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            return headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


async def call(port, method, path, document=None, headers=None, timeout_s=3.0):
    """Make one call on a new connection; return the `Reply`."""
    with contextlib.suppress(
        OSError, asyncio.TimeoutError, EOFError, LookupError, ValueError
    ):
        return await asyncio.wait_for(
            _call(port, method, path, document, headers or {}), timeout_s
        )
    return Reply(0, {})


async def _call(port, method, path, document, headers):
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        body = b"" if document is None else json.dumps(document).encode()
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        status = int((await reader.readline()).split()[1])
        fields = await _read_headers(reader)
        if "content-length" in fields:
            content = await reader.readexactly(int(fields["content-length"]))
        elif fields.get("transfer-encoding") == "chunked":
            content = await _read_chunks(reader)
        else:
            content = b""
        return Reply(status, json.loads(content) if content else {})
    finally:
        writer.transport.abort()


async def _read_chunks(reader):
    content = b""
    while True:
        size = int((await reader.readline()).strip(), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return content
        content += chunk[:-2]
