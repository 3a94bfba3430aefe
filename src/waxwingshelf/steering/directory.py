"""Choose the instance addresses that the directory returns to a caller.

The load pattern that this answers: where every caller of a region may use each of dozens of
instances, an instance gets a few requests a second for hundreds of targets. It opens a connection
for nearly each of them, and knows little of the targets' load and speed and of the objects that are
warm there. In a large fleet, each caller therefore gets a subset of the instances of its failure
domain.
"""

from __future__ import annotations

import math
from collections.abc import Set

from waxwingshelf.core.hashing import hash_to_unit_interval
from waxwingshelf.steering.fleet import PeerAddress

__all__ = ["choose_addresses"]

_MAX_ADDRESSES = 64
# With fewer, the loss of one instance would move too many requests to each of the others. With
# more, more large responses would go through slow links.
_DOWNLOAD_ADDRESSES = 4
# Of a large failure domain, callers get this part of the instances, so that none gets more than
# three times its part of the callers, also if the same few have the fastest links.
_SUBSET_DIVISOR = 3
_MIN_SUBSET_ADDRESSES = 4


def choose_addresses(
    ready: list[PeerAddress],
    without_targets: Set[str],
    region: str,
    failure_domain: str,
    has_downloads: bool = False,
    caller: str = "",
    is_large_fleet: bool = False,
) -> list[str]:
    """Return addresses of ready instances, those in the caller's failure domain first.

    `region` and `failure_domain` are the caller's. Instances of other regions are returned only if
    the caller's region has none. The instances of a region share its callers, so that the loss of
    one instance costs a caller at most one retry. Instances `without_targets`, which depend on
    their peers, are left out if the region has others.

    Callers of a host that `has_downloads` get only a few instances of their own failure domain, if
    enough of these reach targets: large responses are expensive between failure domains, and on a
    slow link all requests wait behind them. So do all callers in a large fleet. Those with fast
    links come first; among links of about one speed, each `caller` always gets the same ones, so
    that the callers are spread.
    """
    if has_downloads or is_large_fleet:
        own_domain = _list_own_domain(ready, without_targets, region, failure_domain)
        count = _DOWNLOAD_ADDRESSES if has_downloads else _choose_subset_size(len(own_domain))
        if len(own_domain) >= count:
            own_domain.sort(key=lambda address: _rank_in_subset(address, caller))
            return [address.caller_address for address in own_domain[:count]]
    same_region = [address for address in ready if address.region == region]
    chosen = _prefer_with_targets(same_region or ready, without_targets)
    ordered = sorted(chosen, key=lambda address: address.failure_domain != failure_domain)
    return [address.caller_address for address in ordered[:_MAX_ADDRESSES]]


def _choose_subset_size(instances: int) -> int:
    return max(_MIN_SUBSET_ADDRESSES, instances // _SUBSET_DIVISOR)


def _rank_in_subset(address: PeerAddress, caller: str) -> tuple[int, float]:
    """Return a sort key: links within a power of two of speed count as equally fast."""
    speed = math.floor(math.log2(max(1.0, address.link_mbps)))
    return -speed, hash_to_unit_interval("directory", caller, address.name)


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
