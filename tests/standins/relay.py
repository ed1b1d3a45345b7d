"""Forwards TCP connections and can simulate a network partition.

usage: relay.py LISTEN_ADDRESS TARGET_ADDRESS

SIGUSR1 starts the partition: open connections stay open, new ones are accepted,
and all data received on them is dropped. SIGUSR2 ends it: all connections are
aborted, since they may have lost data, and new ones are forwarded.
"""

import asyncio
import signal
import sys

CHUNK_BYTES = 65536


class Relay:
    def __init__(self, target):
        self.host, port = target.rsplit(":", 1)
        self.port = int(port)
        self.partitioned = False
        self.writers = set()

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.partitioned:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not self.partitioned:
            writer.close()

    async def accept(self, reader, writer):
        self.writers.add(writer)
        if self.partitioned:
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.host, self.port)
        except OSError:
            writer.close()
            return
        self.writers.add(target_writer)
        await asyncio.gather(self.forward(reader, target_writer),
                             self.forward(target_reader, writer))
        self.writers -= {writer, target_writer}

    def start_partition(self):
        self.partitioned = True

    def end_partition(self):
        self.partitioned = False
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


async def main():
    relay = Relay(sys.argv[2])
    host, port = sys.argv[1].rsplit(":", 1)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, relay.start_partition)
    loop.add_signal_handler(signal.SIGUSR2, relay.end_partition)
    ended = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    server = await asyncio.start_server(relay.accept, host, int(port))
    await ended.wait()
    server.close()


asyncio.run(main())
