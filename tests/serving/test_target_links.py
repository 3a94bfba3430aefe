"""The links between instances and targets that tests cut."""

import errno
import socket

import pytest

from tests.serving.target_links import Cut, TargetLinks


@pytest.mark.parametrize("cut", [Cut.RESET, Cut.REFUSE])
def test_no_other_server_takes_the_port_of_a_cut_link(cut) -> None:
    """Guards against requests over a cut link that reach, and are answered by, another server."""
    links = TargetLinks(unresponsive_port=1)
    links.cut(cut)
    port = links.find_port(12_345)
    with socket.socket() as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with pytest.raises(OSError, match="Address already in use"):
            other.bind(("127.0.0.1", port))
    with socket.socket() as client:
        assert client.connect_ex(("127.0.0.1", port)) == errno.ECONNREFUSED
    links.stop()
