"""Choose the instance addresses that the directory returns to a caller."""

from __future__ import annotations

from collections.abc import Set

from waxwingshelf.steering.fleet import PeerAddress

__all__ = ["choose_addresses"]

_MAX_ADDRESSES = 64


def choose_addresses(
    ready: list[PeerAddress], without_targets: Set[str], region: str, failure_domain: str
) -> list[str]:
    """Return addresses of ready instances, those in the caller's failure domain first.

    `region` and `failure_domain` are the caller's. Instances of other regions are returned only if
    the caller's region has none. The instances of a region share its callers, so that the loss of
    one instance costs a caller at most one retry. Instances `without_targets`, which depend on
    their peers, are left out if the region has others.
    """
    same_region = [address for address in ready if address.region == region]
    chosen = _prefer_with_targets(same_region or ready, without_targets)
    ordered = sorted(chosen, key=lambda address: address.failure_domain != failure_domain)
    return [address.caller_address for address in ordered[:_MAX_ADDRESSES]]


def _prefer_with_targets(
    addresses: list[PeerAddress], without_targets: Set[str]
) -> list[PeerAddress]:
    return [address for address in addresses if address.name not in without_targets] or addresses
