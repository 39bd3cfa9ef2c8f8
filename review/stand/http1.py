"""The small part of HTTP/1.1 that the stand-ins need."""

import asyncio
from dataclasses import dataclass


@dataclass
class Request:
    method: str
    target: str
    headers: dict
    body: bytes


async def read_head(reader):
    """Reads a head; returns its first line and its fields, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = (line.split(":", 1) for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in fields}


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    return Request(method, target, head[1], await read_body(reader, head[1]))


def response(status, body=b"", headers=None):
    lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % field for field in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request(method, target, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % field for field in headers.items()]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, target, headers=None, body=b"", limit=5.0):
    """Sends one request over a new connection; returns status, fields and the whole body, or None if there is none."""
    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request(method, target, {"Host": address, **(headers or {})}, body))
            await writer.drain()
            line, fields = await read_head(reader)
            return int(line.split(" ")[1]), fields, await read_body(reader, fields)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, TypeError, ValueError):
        return None
