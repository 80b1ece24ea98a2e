"""A loopback proxy whose connections can be delayed, reset, cut one way or
silenced while they are open."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
import threading

#: Bytes that are passed on at a time.
_CHUNK = 65536


class Trouble(enum.Enum):
    """What happens to a link's connections."""

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"
    #: What the server sends is lost.
    ONE_WAY = "one_way"
    #: What either side sends is lost, and the connection stays open.
    SILENT = "silent"


class Link:
    """Passes connections to `listens_at` on to `leads_to`."""

    def __init__(self, listens_at: str, leads_to: str) -> None:
        self.listens_at = listens_at
        self.leads_to = leads_to
        self.trouble = Trouble.NONE
        #: Added to each direction while the link is delayed.
        self.delay_s = 0.0
        self.writers: set[asyncio.StreamWriter] = set()

    def loses(self, from_server: bool) -> bool:
        """Whether bytes of this direction are lost now."""
        if self.trouble is Trouble.ONE_WAY:
            return from_server
        return self.trouble is Trouble.SILENT


def _reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a reset."""
    try:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


class LinkProxy:
    """Runs links in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._links: list[Link] = []
        self._servers: list[asyncio.Server] = []
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, link: Link) -> Link:
        """Begins to listen; raises OSError if the address is taken."""
        host, port = link.listens_at.rsplit(":", 1)

        async def serve(reader: asyncio.StreamReader,
                        writer: asyncio.StreamWriter) -> None:
            await self._connect(link, reader, writer)

        self._servers.append(asyncio.run_coroutine_threadsafe(
            asyncio.start_server(serve, host, int(port)),
            self._loop).result())
        self._links.append(link)
        return link

    def set(self, link: Link, trouble: Trouble, delay_s: float = 0) -> None:
        """Begins or ends a link's trouble, for open connections too."""
        def change() -> None:
            link.trouble, link.delay_s = trouble, delay_s
            if trouble is Trouble.RESET:
                for writer in list(link.writers):
                    _reset(writer)
        self._loop.call_soon_threadsafe(change)

    def close(self) -> None:
        """Ends all connections and the thread."""
        async def end_all() -> None:
            for server in self._servers:
                server.close()
            for link in self._links:
                link.trouble = Trouble.NONE
                for writer in list(link.writers):
                    writer.transport.abort()
            while any(link.writers for link in self._links):
                await asyncio.sleep(0.05)

        asyncio.run_coroutine_threadsafe(end_all(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _connect(self, link: Link, reader: asyncio.StreamReader,
                       writer: asyncio.StreamWriter) -> None:
        if link.trouble is Trouble.RESET:
            return _reset(writer)
        host, port = link.leads_to.rsplit(":", 1)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            return _reset(writer)
        ends = {writer, server_writer}
        link.writers |= ends
        try:
            await asyncio.gather(
                self._pass_on(link, reader, server_writer, False),
                self._pass_on(link, server_reader, writer, True))
        finally:
            link.writers -= ends
            for it in ends:
                it.transport.abort()

    async def _pass_on(self, link: Link, reader: asyncio.StreamReader,
                       writer: asyncio.StreamWriter,
                       from_server: bool) -> None:
        try:
            while chunk := await reader.read(_CHUNK):
                if link.trouble is Trouble.DELAYED:
                    await asyncio.sleep(link.delay_s)
                if link.loses(from_server):
                    continue
                writer.write(chunk)
                await writer.drain()
            # An end is lost like any other message.
            while link.loses(from_server):
                await asyncio.sleep(0.1)
            writer.write_eof()
        except OSError:
            _reset(writer)
