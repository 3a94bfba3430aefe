"""Store values are decoded to steering types, and invalid values raise `DecodeError`."""

import json
from typing import Any

import pytest

from waxwingshelf.platform.documents import (
    DecodeError,
    decode_config,
    decode_member,
    decode_target,
    encode_member,
)
from waxwingshelf.steering.config import Destination, RouteKind
from waxwingshelf.steering.fleet import PeerAddress
from waxwingshelf.steering.routes import resolve_allowed_regions

SERVER_ENTRY: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "information": {"service": "reads", "version": "v1", "zone": "north-1", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "cold_remaining_ms": 0},
    "born": 1_700_000_000_000,
}
CONFIG: dict[str, Any] = {
    "version": "r7",
    "limits": {"max_body_bytes": 1_000, "idle_timeout_ms": 9_000},
    "tenants": [
        {"name": "o", "api_keys": ["k1", "k2"], "priority": 1, "rate_per_s": 20, "burst": 30}
    ],
    "listeners": [
        {
            "host": "A.example",
            "rules": [
                {
                    "name": "r",
                    "kind": "upload",
                    "target_latency_ms": 400,
                    "priority": 2,
                    "sticky": True,
                    "match": {"path_prefix": "/x/"},
                    "action": {
                        "traffic_split": [{"service": "a", "weight": 9}, {"service": "b"}],
                        "timeout_ms": 1_200.0,
                        "attempts": 2,
                        "home_regions": ["north"],
                    },
                    "later_field": {},
                }
            ],
        }
    ],
    "clusters": [{"name": "a", "cold_start_s": 3.0, "cold_per_s": 7.5}],
}


def encode(document: Any) -> bytes:
    return json.dumps(document).encode()


def test_configuration_is_decoded() -> None:
    config = decode_config(encode(CONFIG))
    route = config.routes[0]
    assert config.version == 7
    assert route.kind is RouteKind.UPLOAD
    assert not route.idempotent
    assert route.destinations == (Destination("a", 9), Destination("b", 1))
    assert (route.latency_objective_ms, route.timeout_ms, route.attempts) == (400, 1_200, 2)
    assert config.organisations_by_key["k2"].rate_per_s == 20
    assert config.services["a"].cold_start_ms == 3_000
    assert config.routes_by_host["a.example"]["/x/"] is route
    assert config.limits.idle_timeout_ms == 9_000


@pytest.mark.parametrize(
    ("kind", "known", "idempotent"),
    [
        ("safe", True, True),
        ("download", True, True),
        ("unsafe", True, False),
        ("upload", True, False),
        ("later-kind", False, False),
        ("SAFE", False, False),
        ("", False, False),
    ],
)
def test_unknown_kind_of_one_route_does_not_cost_the_configuration(kind, known, idempotent) -> None:
    """An unknown kind must not leave instances without configuration, nor let requests repeat."""
    rule = {**CONFIG["listeners"][0]["rules"][0], "kind": kind}
    other = {**rule, "name": "other", "kind": "safe", "match": {"path_prefix": "/y/"}}
    document = {**CONFIG, "listeners": [{"host": "a.example", "rules": [rule, other]}]}
    config = decode_config(encode(document))
    assert [route.idempotent for route in config.routes] == [idempotent, True]
    assert [unknown.value for unknown in config.unknown_values] == ([] if known else [kind])


@pytest.mark.parametrize(
    ("change", "location"),
    [
        ({"version": "7"}, "version"),
        ({"listeners": [{"rules": []}]}, "host"),
        ({"tenants": [{"api_keys": []}]}, "name"),
        ({"clusters": 3}, "clusters"),
    ],
)
def test_invalid_configuration_error_names_the_location(change, location) -> None:
    with pytest.raises(DecodeError, match=location):
        decode_config(encode({**CONFIG, **change}))
    with pytest.raises(DecodeError):
        decode_config(encode(CONFIG)[:-20])


def test_target_is_decoded() -> None:
    target = decode_target("i-1", encode(SERVER_ENTRY))
    assert (target.id, target.service, target.host, target.port) == (
        "i-1",
        "reads",
        "10.128.0.9",
        8080,
    )
    assert (target.failure_domain, target.slots, target.draining) == ("north-1", 9, False)
    assert target.started_ms == 1_700_000_000_000


@pytest.mark.parametrize(
    "document",
    [
        {**SERVER_ENTRY, "address": 7},
        {**SERVER_ENTRY, "address": "nowhere"},
        {**SERVER_ENTRY, "status": {"state": "resting"}},
        {**SERVER_ENTRY, "information": {"service": "reads"}},
        {**SERVER_ENTRY, "information": {**SERVER_ENTRY["information"], "slots": 0}},
        [],
    ],
)
def test_invalid_target_entry_raises(document) -> None:
    with pytest.raises(DecodeError):
        decode_target("i-1", encode(document))


def test_malformed_target_bytes_raise() -> None:
    with pytest.raises(DecodeError):
        decode_target("i-1", b"\xff\x00{")


def test_member_registration_round_trips() -> None:
    address = PeerAddress("n", "north", "north-1", "10.0.0.1", 1, 2, "10.0.0.1:3")
    assert decode_member(encode_member(address)) == address


@pytest.mark.parametrize(
    ("change", "asks_for_keys"),
    [({"tenants": []}, True), ({"tenants": None}, False), ({}, True), ("tenants", False)],
)
def test_keys_are_asked_for_if_there_is_a_list_of_organisations(change, asks_for_keys) -> None:
    """Guards against an empty list that is taken for a missing one, which asks for no key."""
    document = {**CONFIG, **change} if isinstance(change, dict) else CONFIG.copy()
    if change == "tenants":
        del document["tenants"]
    assert decode_config(encode(document)).asks_for_keys is asks_for_keys


REGIONS = {"north", "south"}


@pytest.mark.parametrize("regions", [[], None, "missing"])
def test_empty_and_missing_lists_of_home_regions_bind_nothing(regions) -> None:
    """The platform writes an empty list for what is not bound."""
    rule = CONFIG["listeners"][0]["rules"][0]
    listed = {} if regions == "missing" else {"home_regions": regions}
    action = {"service": "a", **listed}
    document = {
        **CONFIG,
        "tenants": [{"name": "o", "api_keys": ["k"], **listed}],
        "listeners": [{"host": "a.example", "rules": [{**rule, "action": action}]}],
    }
    config = decode_config(encode(document))
    bound = resolve_allowed_regions(config.routes[0], config.organisations["o"], frozenset(REGIONS))
    assert bound == frozenset()


@pytest.mark.parametrize("listed", [{}, {"api_keys": []}])
def test_organisation_without_keys_is_nobodys(listed) -> None:
    config = decode_config(encode({**CONFIG, "tenants": [{"name": "o", **listed}]}))
    assert config.asks_for_keys
    assert config.organisations_by_key == {}


@pytest.mark.parametrize("listed", [{}, {"traffic_split": []}])
def test_route_without_a_split_goes_to_its_service(listed) -> None:
    rule = {"name": "r", "match": {"path_prefix": "/"}, "action": {"service": "a", **listed}}
    document = {**CONFIG, "listeners": [{"host": "a.example", "rules": [rule]}]}
    assert decode_config(encode(document)).routes[0].destinations == (Destination("a", 1),)


def test_time_below_a_millisecond_is_not_cut_to_none() -> None:
    """Guards against a timeout or an objective that no request can meet, and a cold target."""
    rule = CONFIG["listeners"][0]["rules"][0]
    rule = {**rule, "target_latency_ms": 0.4, "action": {"service": "a", "timeout_ms": 0.6}}
    document = {
        **CONFIG,
        "listeners": [{"host": "a.example", "rules": [rule]}],
        "clusters": [{"name": "a", "cold_start_s": 0.0001}],
    }
    config = decode_config(encode(document))
    assert (config.routes[0].timeout_ms, config.routes[0].latency_objective_ms) == (1, 1)
    assert config.services["a"].cold_start_ms == 1
    status = {**SERVER_ENTRY["status"], "cold_remaining_ms": 0.2}
    assert decode_target("i-1", encode({**SERVER_ENTRY, "status": status})).cold_for_ms == 1


def test_target_with_many_slots_is_used() -> None:
    """Guards against a bound on slots that real targets reach."""
    information = {**SERVER_ENTRY["information"], "slots": 1_000_000}
    target = decode_target("i-1", encode({**SERVER_ENTRY, "information": information}))
    assert target.slots == 1_000_000


@pytest.mark.parametrize(
    ("address", "host"), [("10.0.0.9:1", "10.0.0.9"), ("[::1]:65535", "[::1]")]
)
def test_address_of_a_target_is_an_ip_address_and_a_port(address, host) -> None:
    assert decode_target("i-1", encode({**SERVER_ENTRY, "address": address})).host == host
