"""HTTP/1.1 messages over asyncio streams, for the stand-ins of the review."""

import asyncio


class Broken(Exception):
    """The peer closed or reset the connection inside a message."""


class Message:
    """A request (method, target) or a response (status) with its body."""

    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """Returns the start line and the headers, or None at the end of input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as failure:
        if failure.partial:
            raise Broken("inside the head") from failure
        return None
    except (ConnectionError, OSError) as failure:
        raise Broken(str(failure)) from failure
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if not line:
            continue
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader, on_data):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return
        on_data((await reader.readexactly(size + 2))[:-2])


async def read_body(reader, headers, on_data, until_end=False):
    """Reads a body; raises Broken if it ends early."""
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            await read_chunks(reader, on_data)
        elif "content-length" in headers:
            left = int(headers["content-length"])
            while left > 0:
                data = await reader.read(min(left, 65536))
                if not data:
                    raise Broken("inside the body")
                left -= len(data)
                on_data(data)
        elif until_end:
            while data := await reader.read(65536):
                on_data(data)
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as failure:
        raise Broken("inside the body") from failure


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    parts = []
    await read_body(reader, head[1], parts.append)
    return Message(head[0], head[1], b"".join(parts))


def response(status, headers=None, body=b""):
    """The bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


LAST_CHUNK = b"0\r\n\r\n"
