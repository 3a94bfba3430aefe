"""Choose the instance addresses that the directory returns to a caller."""

from __future__ import annotations

from waxwingshelf.steering.fleet import PeerAddress

__all__ = ["choose_addresses"]

_MAX_ADDRESSES = 64


def choose_addresses(ready: list[PeerAddress], region: str, failure_domain: str) -> list[str]:
    """Return addresses of ready instances, those in the caller's failure domain first.

    `region` and `failure_domain` are the caller's. Instances of other regions are returned only if
    the caller's region has none. The instances of a region share its callers, so that the loss of
    one instance costs a caller at most one retry.
    """
    same_region = [address for address in ready if address.region == region]
    chosen = same_region or ready
    ordered = sorted(chosen, key=lambda address: address.failure_domain != failure_domain)
    return [address.caller_address for address in ordered[:_MAX_ADDRESSES]]
