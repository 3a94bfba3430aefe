"""Choose the instances that a caller is told to use."""

from __future__ import annotations

from waxwingshelf.steering.fleet import PeerAddress

__all__ = ["choose_addresses"]

_MOST_ADDRESSES = 64


def choose_addresses(ready: list[PeerAddress], region: str, failure_domain: str) -> list[str]:
    """Return the ready instances of the caller's region, or all when it has none.

    The instances of one region share its callers, so that the loss of one costs each caller no
    more than a retry; callers reach other regions only when theirs has no instance left.
    """
    near = [address for address in ready if address.region == region]
    chosen = near or ready
    ordered = sorted(chosen, key=lambda address: address.failure_domain != failure_domain)
    return [address.caller_address for address in ordered[:_MOST_ADDRESSES]]
