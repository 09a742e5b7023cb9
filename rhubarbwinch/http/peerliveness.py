"""Tells peers that are dead from peers that do not read.

TCP_USER_TIMEOUT does not distinguish them: Linux also applies it to a peer that
acknowledges the probes of its closed window.
"""

import socket
import struct

# The start of the kernel's `struct tcp_info`, up to the time since the last
# acknowledgement.
_TCP_INFO = struct.Struct("8B13I")
_RETRANSMITS, _PROBES, _LAST_ACK_MS = 2, 3, 20
# A single one may just have been sent.
MIN_UNANSWERED = 2


def set_keepalive(sock: socket.socket, limit_ms: int) -> None:
    """Makes the operating system close an idle connection to a dead peer.

    Args:
        sock: The socket of the connection.
        limit_ms: About how long probes may stay unacknowledged.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    # These options are in whole seconds.
    seconds = max(1, limit_ms // 2000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def set_send_timeout(sock: socket.socket, limit_ms: int) -> None:
    """Sets how long sent bytes may stay unacknowledged; 0 for no limit.

    A peer that reads nothing for this time while bytes wait for it is
    disconnected as well.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def is_silent(sock: socket.socket, limit_ms: int) -> bool:
    """Returns whether a peer answers neither sent bytes nor window probes.

    Args:
        sock: The socket of an open connection.
        limit_ms: The time without an acknowledgement after which a peer is
            silent.

    Raises:
        OSError: The system does not tell.
    """
    raw = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    if len(raw) < _TCP_INFO.size:
        return False
    info = _TCP_INFO.unpack(raw)
    unanswered = max(info[_RETRANSMITS], info[_PROBES])
    return unanswered >= MIN_UNANSWERED and info[_LAST_ACK_MS] >= limit_ms
