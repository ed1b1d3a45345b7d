"""A loopback proxy in front of one worker, with the troubles that a link has.

Modes: "open"; "silent" (connections stay open, nothing passes); "answers_lost"
(orders pass, each answer is dropped with its connection); "late" (an order's
caller is cut off, and the order is delivered LATE_S later); "refused" (new and
old connections are reset).
"""

import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
LATE_S = 1.5
POLL_S = 0.05
MODES = ("silent", "answers_lost", "late", "refused")


def reset(connection):
    """Closes with RST, as a host does that knows nothing of a connection."""
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
                near, _ = self.server.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            if self.mode == "refused":
                reset(near)
                continue
            threading.Thread(target=self.serve, args=(near,),
                             daemon=True).start()
        self.server.close()

    def serve(self, near):
        """One exchange after the other, as HTTP/1.1 callers send them."""
        try:
            far = socket.create_connection(self.target)
        except OSError:
            reset(near)
            return
        for end in (near, far):
            end.settimeout(POLL_S)
        try:
            while not self.stopped and self.forward(near, far):
                pass
        except OSError:
            pass
        reset(near)
        far.close()

    def forward(self, near, far):
        """False when the connection is over."""
        order = self.read(near)
        if order == b"":
            return False
        if order and self.mode == "late":
            reset(near)
            time.sleep(LATE_S)
            far.sendall(order)
            # The worker must have read it before its connection ends.
            self.wait_for_answer(far)
            return False
        if order:
            far.sendall(order)
        answer = self.read(far)
        if answer == b"" or (answer and self.mode == "answers_lost"):
            return False
        if answer:
            near.sendall(answer)
        return self.mode != "refused"

    def read(self, end):
        """What came within a moment; None when nothing, b"" at the end."""
        if self.mode == "silent":
            time.sleep(POLL_S)
            return None
        try:
            return end.recv(CHUNK_BYTES)
        except TimeoutError:
            return None

    def wait_for_answer(self, far):
        far.settimeout(LATE_S)
        try:
            far.recv(CHUNK_BYTES)
        except OSError:
            pass
