"""Choose the instance addresses that the directory returns to a caller."""

from __future__ import annotations

from collections.abc import Set

from waxwingshelf.steering.fleet import PeerAddress

__all__ = ["choose_addresses"]

_MAX_ADDRESSES = 64
# With fewer, the loss of one instance would move too many requests to each of the others.
_MIN_DOMAIN_ADDRESSES = 4


def choose_addresses(
    ready: list[PeerAddress],
    without_targets: Set[str],
    region: str,
    failure_domain: str,
    has_downloads: bool = False,
) -> list[str]:
    """Return addresses of ready instances, those in the caller's failure domain first.

    `region` and `failure_domain` are the caller's. Instances of other regions are returned only if
    the caller's region has none. The instances of a region share its callers, so that the loss of
    one instance costs a caller at most one retry. Instances `without_targets`, which depend on
    their peers, are left out if the region has others.

    Callers of a host that `has_downloads` get only instances of their own failure domain, as large
    responses are expensive between failure domains, if enough of these reach targets.
    """
    if has_downloads:
        own_domain = _list_own_domain(ready, without_targets, region, failure_domain)
        if len(own_domain) >= _MIN_DOMAIN_ADDRESSES:
            return [address.caller_address for address in own_domain[:_MAX_ADDRESSES]]
    same_region = [address for address in ready if address.region == region]
    chosen = _prefer_with_targets(same_region or ready, without_targets)
    ordered = sorted(chosen, key=lambda address: address.failure_domain != failure_domain)
    return [address.caller_address for address in ordered[:_MAX_ADDRESSES]]


def _list_own_domain(
    ready: list[PeerAddress], without_targets: Set[str], region: str, failure_domain: str
) -> list[PeerAddress]:
    return [
        address
        for address in ready
        if address.region == region
        and address.failure_domain == failure_domain
        and address.name not in without_targets
    ]


def _prefer_with_targets(
    addresses: list[PeerAddress], without_targets: Set[str]
) -> list[PeerAddress]:
    return [address for address in addresses if address.name not in without_targets] or addresses
