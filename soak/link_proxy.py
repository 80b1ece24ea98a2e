"""A TCP proxy on loopback that injects faults into open connections."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
import threading

#: Maximum size of one read from a connection.
_READ_BYTES = 65536


class LinkFault(enum.Enum):
    """The condition of a link's connections."""

    NONE = "none"
    #: Each read is forwarded after `Link.delay_s`.
    DELAYED = "delayed"
    #: Open connections and new ones end with a TCP reset.
    RESET = "reset"
    #: Bytes from the server are dropped, those from the client are not.
    ONE_WAY = "one_way"
    #: Bytes of both directions are dropped; the connection stays open.
    SILENT = "silent"


class Link:
    """Forwards connections to `listen_address` to `server_address`."""

    def __init__(self, listen_address: str, server_address: str) -> None:
        self.listen_address = listen_address
        self.server_address = server_address
        self.fault = LinkFault.NONE
        #: Delay of each direction while the link is delayed.
        self.delay_s = 0.0
        #: Both ends of all open connections.
        self.writers: set[asyncio.StreamWriter] = set()

    def drops(self, from_server: bool) -> bool:
        """Returns whether bytes of this direction are dropped now."""
        if self.fault is LinkFault.ONE_WAY:
            return from_server
        return self.fault is LinkFault.SILENT


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset (a linger time of zero)."""
    try:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


class LinkProxy:
    """Runs all links on an event loop in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._links: list[Link] = []
        self._servers: list[asyncio.Server] = []
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, link: Link) -> Link:
        """Starts to listen; raises OSError if the address is in use."""
        host, port = link.listen_address.rsplit(":", 1)

        async def serve(reader: asyncio.StreamReader,
                        writer: asyncio.StreamWriter) -> None:
            await self._serve_connection(link, reader, writer)

        self._servers.append(asyncio.run_coroutine_threadsafe(
            asyncio.start_server(serve, host, int(port)),
            self._loop).result())
        self._links.append(link)
        return link

    def set_fault(self, link: Link, fault: LinkFault,
                  delay_s: float = 0) -> None:
        """Sets a link's fault, also for connections that are open."""
        def change() -> None:
            link.fault, link.delay_s = fault, delay_s
            if fault is LinkFault.RESET:
                for writer in list(link.writers):
                    _reset(writer)
        self._loop.call_soon_threadsafe(change)

    def close(self) -> None:
        """Closes all connections and ends the thread."""
        async def close_all() -> None:
            for server in self._servers:
                server.close()
            for link in self._links:
                link.fault = LinkFault.NONE
                for writer in list(link.writers):
                    writer.transport.abort()
            while any(link.writers for link in self._links):
                await asyncio.sleep(0.05)

        asyncio.run_coroutine_threadsafe(close_all(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _serve_connection(self, link: Link,
                                reader: asyncio.StreamReader,
                                writer: asyncio.StreamWriter) -> None:
        if link.fault is LinkFault.RESET:
            return _reset(writer)
        host, port = link.server_address.rsplit(":", 1)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            return _reset(writer)
        ends = {writer, server_writer}
        link.writers |= ends
        try:
            await asyncio.gather(
                self._forward(link, reader, server_writer, False),
                self._forward(link, server_reader, writer, True))
        finally:
            link.writers -= ends
            for it in ends:
                it.transport.abort()

    async def _forward(self, link: Link, reader: asyncio.StreamReader,
                       writer: asyncio.StreamWriter,
                       from_server: bool) -> None:
        """Forwards one direction until its end or an error."""
        try:
            while chunk := await reader.read(_READ_BYTES):
                if link.fault is LinkFault.DELAYED:
                    await asyncio.sleep(link.delay_s)
                if link.drops(from_server):
                    continue
                writer.write(chunk)
                await writer.drain()
            # The end of the stream is withheld while bytes are dropped.
            while link.drops(from_server):
                await asyncio.sleep(0.1)
            writer.write_eof()
        except OSError:
            _reset(writer)
