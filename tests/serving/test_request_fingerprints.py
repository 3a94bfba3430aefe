"""Copies of a request share a fingerprint, and nothing else does."""

import pytest
from multidict import CIMultiDict

from waxwingshelf.serving.bodies import StreamedBody
from waxwingshelf.serving.request_fingerprints import compute_fingerprint
from waxwingshelf.serving.send_results import OutgoingRequest

MIB = 1024 * 1024


def compute(body=None, method="POST", path="/x?a=1", host="a.example", organisation="acme") -> str:
    headers = CIMultiDict({"Host": host, "Tenant": organisation, "Attempt-Id": "any"})
    return compute_fingerprint(OutgoingRequest(method, path, headers, body, "any"))


@pytest.mark.parametrize(
    "change",
    [
        {"body": b"other"},
        {"body": None},
        {"method": "PUT"},
        {"path": "/x?a=2"},
        {"host": "b.example"},
        {"organisation": "tiny"},
    ],
)
def test_any_other_request_has_another_fingerprint(change) -> None:
    assert compute(b"body") == compute(b"body")
    assert compute(**{"body": b"body"} | change) != compute(b"body")


def test_streamed_copies_share_a_fingerprint_however_they_arrive() -> None:
    """How much of a body is read before it is streamed depends on the sizes of its packets."""
    content = bytes(range(256)) * (5 * 1024)
    lengths = (MIB + 1, MIB + 1_460, MIB + 65_536)
    copies = {compute(StreamedBody(content[:length], None)) for length in lengths}
    assert len(copies) == 1
    other = b"x" + content[1 : MIB + 1]
    assert compute(StreamedBody(other, None)) not in copies
