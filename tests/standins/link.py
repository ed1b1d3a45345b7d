"""A loopback proxy in front of one worker that simulates faults of a link.

Modes: "open" forwards everything; "silent" keeps connections open and forwards
nothing; "answers_lost" forwards requests, and closes the connection instead of
forwarding an answer; "late" resets the connection of a request's sender and
delivers the request DELIVERY_DELAY_S later; "refused" resets new and existing
connections.
"""

import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
DELIVERY_DELAY_S = 1.5
POLL_S = 0.05
MODES = ("silent", "answers_lost", "late", "refused")


def reset(connection):
    """Closes a connection with RST, as a host does that does not know it."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass


class Link:
    def __init__(self, ip, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.mode = "open"
        self.stopped = False
        self.server = socket.create_server((ip, 0))
        self.server.settimeout(POLL_S)
        self.address = f"{ip}:{self.server.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def stop(self):
        self.stopped = True

    def accept(self):
        while not self.stopped:
            try:
                sender, _ = self.server.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            if self.mode == "refused":
                reset(sender)
                continue
            threading.Thread(target=self.serve, args=(sender,),
                             daemon=True).start()
        self.server.close()

    def serve(self, sender):
        """Forwards the requests and answers of one connection."""
        try:
            worker = socket.create_connection(self.target)
        except OSError:
            reset(sender)
            return
        for connection in (sender, worker):
            connection.settimeout(POLL_S)
        try:
            while not self.stopped and self.forward(sender, worker):
                pass
        except OSError:
            pass
        reset(sender)
        worker.close()

    def forward(self, sender, worker):
        """Forwards what has arrived of a request and of an answer. Returns False
        when the connection must be closed."""
        request = self.read(sender)
        if request == b"":
            return False
        if request and self.mode == "late":
            reset(sender)
            time.sleep(DELIVERY_DELAY_S)
            worker.sendall(request)
            # The connection stays open until the worker has read the request.
            self.wait_for_answer(worker)
            return False
        if request:
            worker.sendall(request)
        answer = self.read(worker)
        if answer == b"" or (answer and self.mode == "answers_lost"):
            return False
        if answer:
            sender.sendall(answer)
        return self.mode != "refused"

    def read(self, connection):
        """Returns the data that arrived within POLL_S, None when there was none,
        or b"" when the peer has closed the connection."""
        if self.mode == "silent":
            time.sleep(POLL_S)
            return None
        try:
            return connection.recv(CHUNK_BYTES)
        except TimeoutError:
            return None

    def wait_for_answer(self, worker):
        worker.settimeout(DELIVERY_DELAY_S)
        try:
            worker.recv(CHUNK_BYTES)
        except OSError:
            pass
