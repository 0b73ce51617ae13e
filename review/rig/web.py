"""A minimal HTTP/1.1 server and client on asyncio."""

import asyncio
import contextlib
import json
import urllib.parse
from typing import NamedTuple


class Request(NamedTuple):
    """A request as it was read, with its query and JSON body decoded."""

    method: str
    path: str
    query: dict
    headers: dict
    document: dict


# A handler returns this to send no answer and to keep the connection open.
NO_ANSWER = object()
# A handler returns this to reset the connection.
RESET = object()


async def _read_headers(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        data = await _read_chunks(reader)
    else:
        data = await reader.readexactly(int(headers.get("content-length", 0)))
    return json.loads(data) if data else {}


async def _read_chunks(reader):
    data = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data += (await reader.readexactly(size + 2))[:size]
        if not size:
            return data


class Server:
    """Serves `handle(request)`, which returns (status, document) or a marker."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()

    async def listen(self, host, port):
        """Accept connections; return the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def reset(self):
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_headers(reader)
                method, target, _version = first.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                document = await _read_body(reader, headers)
                answer = await self._handle(
                    Request(method, url.path, query, headers, document)
                )
                if answer is RESET:
                    writer.transport.abort()
                    return
                if answer is NO_ANSWER:
                    # Nothing further is delivered on this connection.
                    await reader.read()
                    return
                status, answer_document = answer
                body = json.dumps(answer_document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            # At the end of the script; asyncio logs each task that is cancelled.
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


class Reply(NamedTuple):
    """A status, 0 if there was no whole answer, and the decoded body."""

    status: int
    document: dict


async def call(address, method, path, document=None, headers=None, timeout_s=3.0):
    """Make one call on a new connection; return the `Reply`."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            body = b"" if document is None else json.dumps(document).encode()
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Content-Length: {len(body)}",
                "Content-Type: application/json",
                "Connection: close",
            ]
            fields = {"Host": host, **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, answer_headers = await _read_headers(reader)
            answer = await _read_body(reader, answer_headers)
            return Reply(int(first.split(" ")[1]), answer)
    except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError):
        return Reply(0, {})
    finally:
        if writer is not None:
            writer.close()
