"""What instances tell each other when one sends a request to a target for the other.

The request goes to the peer under a path that names the target, otherwise as the target would get
it. The peer returns the target's response as it came, or names the failure of its own send.
"""

from __future__ import annotations

from urllib.parse import quote, unquote

from multidict import CIMultiDict

from waxwingshelf.serving.send_results import FailureKind, SendFailure, UpstreamResponse

__all__ = [
    "FAILURE_HEADER",
    "RELAY_PATH",
    "build_relay_path",
    "decode_relay_failure",
    "encode_relay_failure",
    "split_relay_path",
]

RELAY_PATH = "/waxwingshelf/relay/"
# The kind of the peer's failure; it is in no response of a target.
FAILURE_HEADER = "Waxwingshelf-Failure"


def build_relay_path(target_id: str, raw_path: str) -> str:
    """Return the path under which a peer sends a request with `raw_path` to a target."""
    return f"{RELAY_PATH}{quote(target_id, safe='')}{raw_path}"


def split_relay_path(relay_path: str) -> tuple[str, str]:
    """Return the target id and the raw path; the inverse of `build_relay_path`."""
    target_id, separator, raw_path = relay_path.removeprefix(RELAY_PATH).partition("/")
    return unquote(target_id), separator + raw_path


def encode_relay_failure(failure: SendFailure) -> CIMultiDict[str]:
    """Return the headers that tell of a failed send."""
    return CIMultiDict({FAILURE_HEADER: failure.kind.value})


def decode_relay_failure(response: UpstreamResponse) -> SendFailure | None:
    """Return the failure that a peer tells of, or None if the response is the target's."""
    text = response.headers.get(FAILURE_HEADER)
    if text is None:
        return None
    try:
        kind = FailureKind(text)
    except ValueError:
        # Of a later build; the target may have run the request.
        kind = FailureKind.BROKEN
    detail = response.body.decode(errors="replace")
    return SendFailure(kind, response.target_id, detail)
