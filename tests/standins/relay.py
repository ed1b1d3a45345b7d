"""Forwards TCP connections, and on command goes silent without closing them.

relay.py LISTEN_ADDRESS TARGET_ADDRESS: SIGUSR1 stops forwarding in both
directions (connections stay open, new ones are accepted and not answered);
SIGUSR2 goes on with what was held back thrown away, so that both ends see a
connection that lost data; they are then closed.
"""

import asyncio
import signal
import sys

CHUNK_BYTES = 65536


class Relay:
    def __init__(self, target):
        self.host, port = target.rsplit(":", 1)
        self.port = int(port)
        self.silent = False
        self.writers = set()

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.silent:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not self.silent:
            writer.close()

    async def accept(self, reader, writer):
        self.writers.add(writer)
        if self.silent:
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host,
                                                                   self.port)
        except OSError:
            writer.close()
            return
        self.writers.add(far_writer)
        await asyncio.gather(self.pump(reader, far_writer),
                             self.pump(far_reader, writer))
        self.writers -= {writer, far_writer}

    def go_silent(self):
        self.silent = True

    def go_on(self):
        self.silent = False
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


async def main():
    relay = Relay(sys.argv[2])
    host, port = sys.argv[1].rsplit(":", 1)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, relay.go_silent)
    loop.add_signal_handler(signal.SIGUSR2, relay.go_on)
    ended = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    server = await asyncio.start_server(relay.accept, host, int(port))
    await ended.wait()
    server.close()


asyncio.run(main())
