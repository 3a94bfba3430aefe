"""Unknown fields and malformed values in all that instances decode cost only their own entry.

Later builds, operators and targets write what this build does not know. Each case puts one such
value into one entry and checks what it does there, and that everything else is as without it.
"""

import copy
import json
from typing import Any

import msgspec
import pytest
from msgspec.structs import asdict, fields, replace
from structlog.testing import capture_logs

from waxwingshelf.platform.documents import (
    DecodeError,
    decode_config,
    decode_member,
    decode_quarantine,
    decode_target,
    encode_member,
    encode_quarantine,
    make_member_key,
    make_quarantine_key,
    make_target_key,
)
from waxwingshelf.platform.names import CONFIG_KEY
from waxwingshelf.platform.settings import InvalidSettingsError, load_settings
from waxwingshelf.platform.target_responses import decode_idle_timeout, decode_target_report
from waxwingshelf.serving import crash_messages, peer_messages
from waxwingshelf.serving.relay_messages import decode_relay_failure
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.send_results import FailureKind, UpstreamResponse
from waxwingshelf.steering.config import RouteKind, SteeringConfig
from waxwingshelf.steering.fleet import Fleet, Heartbeat, LoadReport, PeerAddress
from waxwingshelf.steering.mirror import Change, Position
from waxwingshelf.steering.quarantine import Quarantine
from waxwingshelf.steering.routes import resolve_allowed_regions
from waxwingshelf.steering.sent_demand import DemandAck
from waxwingshelf.steering.target_reports import Load, NamedLimit

REGIONS = frozenset({"north", "south"})
CONFIG: dict[str, Any] = {
    "version": "r7",
    "limits": {"max_body_bytes": 1_000, "idle_timeout_ms": 9_000},
    "tenants": [
        {
            "name": name,
            "api_keys": [f"{name}-1", f"{name}-2"],
            "priority": 1,
            "rate_per_s": 20,
            "burst": 30,
            "home_regions": ["north"],
        }
        for name in ("o1", "o2")
    ],
    "listeners": [
        {
            "host": "a.example",
            "rules": [
                {
                    "name": name,
                    "kind": "safe",
                    "target_latency_ms": 400,
                    "priority": 1,
                    "match": {"path_prefix": f"/{name}/"},
                    "action": {
                        "traffic_split": [{"service": "a", "weight": 9}, {"service": "b"}],
                        "timeout_ms": 1_200,
                        "attempts": 2,
                        "home_regions": ["north"],
                    },
                }
                for name in ("r1", "r2")
            ],
        }
    ],
    "clusters": [{"name": name, "cold_start_s": 2, "cold_per_s": 7.5} for name in ("a", "b")],
}
TENANT, RULE = ("tenants", 0), ("listeners", 0, "rules", 0)
ACTION, CLUSTER = (*RULE, "action"), ("clusters", 0)


def change_document(document: Any, path: tuple[str | int, ...], value: Any) -> Any:
    changed = copy.deepcopy(document)
    entry = changed
    for part in path[:-1]:
        entry = entry[part]
    entry[path[-1]] = value
    return changed


def load_config(document: Any) -> SteeringConfig:
    return decode_config(json.dumps(document).encode())


KNOWN_CONFIG = load_config(CONFIG)


@pytest.mark.parametrize(
    "path", [(), TENANT, ("listeners", 0), RULE, (*RULE, "match"), ACTION, CLUSTER, ("limits",)]
)
@pytest.mark.parametrize("value", [1, "x", None, [1], {"a": {}}])
def test_unknown_field_of_the_configuration_is_ignored(path, value) -> None:
    assert load_config(change_document(CONFIG, (*path, "later_field"), value)) == KNOWN_CONFIG


# The place of the malformed value, the value, and what the entry has instead.
ROUTE_CASES: list[tuple[tuple[str | int, ...], Any, dict[str, Any]]] = [
    ((*RULE, "kind"), "later", {"kind": RouteKind.UNSAFE}),
    ((*RULE, "kind"), 7, {"kind": RouteKind.UNSAFE}),
    ((*RULE, "target_latency_ms"), "soon", {"latency_objective_ms": 1_200}),
    ((*RULE, "target_latency_ms"), float("nan"), {"latency_objective_ms": 1_200}),
    ((*RULE, "priority"), "high", {"priority": 1_000_000}),
    ((*RULE, "public"), "maybe", {"public": False}),
    ((*RULE, "sticky"), 7, {"sticky": False}),
    ((*ACTION, "attempts"), "many", {"attempts": 1}),
    ((*ACTION, "attempts"), 1.5, {"attempts": 1}),
    ((*ACTION, "attempts"), 2**64 - 1, {"attempts": 1}),
    ((*RULE, "priority"), 2**64, {"priority": 1_000_000}),
    ((*RULE, "priority"), -(10**30), {"priority": 1_000_000}),
    ((*ACTION, "timeout_ms"), "long", {"timeout_ms": 10_000}),
    ((*ACTION, "timeout_ms"), float("inf"), {"timeout_ms": 10_000}),
    ((*ACTION, "timeout_ms"), -5, {"timeout_ms": 10_000}),
    ((*ACTION, "home_regions"), "north", {"allowed_regions": frozenset({""})}),
    ((*ACTION, "home_regions"), [7], {"allowed_regions": frozenset({""})}),
    ((*ACTION, "home_regions"), [7, "north"], {"allowed_regions": frozenset({"north"})}),
    ((*ACTION, "traffic_split", 0, "weight"), "all", {"weights": [("a", 0), ("b", 1)]}),
    ((*ACTION, "traffic_split", 0, "service"), 7, {"weights": [("b", 1)]}),
    ((*ACTION, "traffic_split", 0), 7, {"weights": [("b", 1)]}),
    ((*ACTION, "traffic_split"), "a", {"weights": [("", 1)]}),
    (ACTION, "forward", {"weights": [("", 1)], "attempts": 1}),
]


@pytest.mark.parametrize("name", ["\ud800", "a\udce9"])
def test_name_that_no_encoder_takes_is_not_used(name) -> None:
    """Guards against an organisation whose name ends each round of heartbeats, which carry it."""
    with pytest.raises(DecodeError, match="name"):
        load_config(change_document(CONFIG, (*TENANT, "name"), name))
    config = load_config(change_document(CONFIG, (*TENANT, "api_keys"), [name, "whole"]))
    assert config.organisations["o1"].keys == ("whole",)
    config = load_config(change_document(CONFIG, (*ACTION, "home_regions"), [name]))
    assert config.routes[0].allowed_regions == frozenset({""})
    assert load_config({**CONFIG, name: 1}) == KNOWN_CONFIG


def test_integer_of_any_length_costs_only_its_field() -> None:
    """Guards against a number that the interpreter refuses to read, and the version with it."""
    text = json.dumps(change_document(CONFIG, (*RULE, "priority"), 7_777_777))
    config = decode_config(text.replace("7777777", "7" * 5_000).encode())
    assert config.routes[0].priority == 1_000_000
    assert config.routes[1:] == KNOWN_CONFIG.routes[1:]


def describe_route(route) -> dict[str, Any]:
    values = {info.name: getattr(route, info.name) for info in fields(route)}
    return {**values, "weights": [(part.service, part.weight) for part in route.destinations]}


@pytest.mark.parametrize(("path", "value", "expected"), ROUTE_CASES)
def test_malformed_value_of_a_route_costs_only_that_route(path, value, expected) -> None:
    """One mistyped figure left all instances without the operators' new version."""
    config = load_config(change_document(CONFIG, path, value))
    route = describe_route(config.routes[0])
    assert {name: route[name] for name in expected} == expected
    assert config.routes[1:] == KNOWN_CONFIG.routes[1:]
    assert config.organisations == KNOWN_CONFIG.organisations
    assert config.services == KNOWN_CONFIG.services
    assert config.unknown_values


ORGANISATION_CASES = [
    ("api_keys", [7, "o1-2"], {"keys": ("o1-2",)}),
    ("api_keys", "o1-1", {"keys": ()}),
    ("priority", "high", {"priority": 1_000_000}),
    # A rate of 0 means no limit, and no regions means all.
    ("rate_per_s", "fast", {"rate_per_s": 1.0}),
    ("rate_per_s", -1, {"rate_per_s": 1.0}),
    ("rate_per_s", float("inf"), {"rate_per_s": 1.0}),
    ("burst", [], {"burst": 1.0}),
    ("home_regions", 7, {"allowed_regions": frozenset({""})}),
    ("home_regions", [7], {"allowed_regions": frozenset({""})}),
]


@pytest.mark.parametrize(("name", "value", "expected"), ORGANISATION_CASES)
def test_malformed_value_of_an_organisation_costs_only_that_one(name, value, expected) -> None:
    config = load_config(change_document(CONFIG, (*TENANT, name), value))
    assert config.organisations["o1"] == replace(KNOWN_CONFIG.organisations["o1"], **expected)
    assert config.organisations["o2"] == KNOWN_CONFIG.organisations["o2"]
    assert (config.routes, config.services) == (KNOWN_CONFIG.routes, KNOWN_CONFIG.services)
    assert len(config.unknown_values) == 1


@pytest.mark.parametrize("value", ["secret-key", [["secret-key"]], {"secret-key": 1}])
def test_malformed_keys_are_not_logged(value) -> None:
    config = load_config(change_document(CONFIG, (*TENANT, "api_keys"), value))
    assert config.unknown_values
    assert "secret-key" not in repr(config.unknown_values)


SERVICE_CASES = [
    ("health_path", 7, {"health_path": "/health"}),
    ("max_connections", "many", {"max_connections": 0}),
    ("cold_start_s", "long", {"cold_start_ms": 3_000}),
    ("cold_per_s", "few", {"cold_per_s": 1.0}),
]


@pytest.mark.parametrize(("name", "value", "expected"), SERVICE_CASES)
def test_malformed_value_of_a_service_costs_only_that_one(name, value, expected) -> None:
    config = load_config(change_document(CONFIG, (*CLUSTER, name), value))
    assert config.services["a"] == replace(KNOWN_CONFIG.services["a"], **expected)
    assert config.services["b"] == KNOWN_CONFIG.services["b"]
    assert (config.routes, config.organisations) == (
        KNOWN_CONFIG.routes,
        KNOWN_CONFIG.organisations,
    )
    assert len(config.unknown_values) == 1


def test_malformed_limit_costs_only_itself() -> None:
    config = load_config(change_document(CONFIG, ("limits", "max_body_bytes"), "big"))
    assert config.limits == replace(KNOWN_CONFIG.limits, max_body_bytes=67_108_864)
    assert config.routes == KNOWN_CONFIG.routes


# Without these, entries cannot be told apart, or authentication and routes would be missing.
IDENTITY_CASES = [
    ("version",),
    ("tenants",),
    ("listeners",),
    ("clusters",),
    (*TENANT, "name"),
    ("listeners", 0, "host"),
    ("listeners", 0, "rules"),
    (*RULE, "name"),
    (*RULE, "match"),
    (*RULE, "match", "path_prefix"),
    (*CLUSTER, "name"),
    TENANT,
    RULE,
]


@pytest.mark.parametrize("path", IDENTITY_CASES)
def test_configuration_without_a_name_is_rejected_and_names_it(path) -> None:
    """The version before stays in force; an entry left out would let other rules apply."""
    parts = [part for part in path if isinstance(part, str)]
    with pytest.raises(DecodeError, match=parts[-1]):
        load_config(change_document(CONFIG, path, 7))


def test_regions_that_are_malformed_allow_none() -> None:
    """Requests bound to a region must not run in any other."""
    config = load_config(change_document(CONFIG, (*ACTION, "home_regions"), [7]))
    allowed = resolve_allowed_regions(config.routes[0], None, REGIONS)
    assert allowed
    assert not allowed & REGIONS


class FixedClock:
    """A clock that stands still."""

    def now_ms(self) -> int:
        return 1_000

    def wall_ms(self) -> int:
        return 1_700_000_000_000


SERVER: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "information": {"service": "a", "version": "v1", "zone": "north-1", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "cold_remaining_ms": 0},
    "born": 1_700_000_000_000,
}
ADDRESS = PeerAddress("n1", "north", "north-1", "10.0.0.1", 1, 2, "10.0.0.1:3")
MEMBER = json.loads(encode_member(ADDRESS))
QUARANTINE = Quarantine(1_700_000_000_000 - 5_000, False, 1, 200)
QUARANTINE_ENTRY = json.loads(encode_quarantine(QUARANTINE))

# Of each kind of entry: the place of a malformed value, and the value.
ENTRY_CASES: list[tuple[str, tuple[str, ...], Any]] = [
    ("target", ("address",), 7),
    ("target", ("address",), "10.128.0.9:http"),
    ("target", ("address",), "10.128.0.9:99999"),
    ("target", ("information",), []),
    ("target", ("information", "service"), None),
    ("target", ("information", "slots"), "many"),
    ("target", ("information", "slots"), -1),
    ("target", ("information", "slots"), 2**31 - 1),
    ("target", ("information", "slots"), 2**63 - 1),
    ("target", ("information", "slots"), 2**64 - 1),
    ("target", ("information", "slots"), 10**30),
    ("target", ("status", "sequence"), 2**64),
    ("target", ("born",), -(2**64)),
    ("target", ("born",), 10**30),
    ("target", ("address",), "10.128.0.9:99999999999999999999"),
    ("target", ("address",), "10.128.0.9:²"),
    ("target", ("address",), "a.example:80"),
    ("target", ("address",), "::1:80"),
    ("target", ("address",), "10.128.0:80"),
    ("target", ("information", "version"), 3),
    ("target", ("status", "state"), "resting"),
    ("target", ("status", "cold_remaining_ms"), float("inf")),
    ("target", ("status", "cold_remaining_ms"), "long"),
    ("target", ("status", "sequence"), "x"),
    ("target", ("born",), "today"),
    ("member", ("host",), 7),
    ("member", ("host",), "x"),
    ("member", ("host",), "10.0.0.1\n"),
    ("member", ("host",), "10.0.0.256"),
    ("member", ("host",), "::1"),
    ("member", ("caller_address",), "x"),
    ("member", ("beat_port",), "http"),
    ("member", ("beat_port",), 0),
    ("member", ("beat_port",), 70_000),
    ("member", ("beat_port",), 2**31),
    ("member", ("beat_port",), -(2**63)),
    ("member", ("state_port",), 2**64),
    ("member", ("rate_port",), -1),
    ("member", ("link_mbps",), 1e300),
    ("member", ("link_mbps",), "fast"),
    ("member", ("collects_crashes",), "yes"),
    ("quarantine", ("began_ms",), "now"),
    ("quarantine", ("began_ms",), 2**64 - 1),
    ("quarantine", ("suspected_ms",), 2**64),
    ("quarantine", ("lifted",), 3),
    ("quarantine", ("trials",), None),
]
ENTRIES = {"target": SERVER, "member": MEMBER, "quarantine": QUARANTINE_ENTRY}
MAKE_KEY = {
    "target": make_target_key,
    "member": make_member_key,
    "quarantine": make_quarantine_key,
}
FINGERPRINT = "f" * 16


def apply_entries(changed_kind: str, changed: bytes) -> RoutingState:
    """Apply one whole entry of each kind, and one changed entry of one kind."""
    state = RoutingState(FixedClock(), Fleet("n0", 0, "north"))
    values = {kind: json.dumps(entry).encode() for kind, entry in ENTRIES.items()}
    names = {"target": "whole", "member": "n1", "quarantine": FINGERPRINT}
    changes = [Change(MAKE_KEY[changed_kind]("changed"), 1, changed)]
    changes += [Change(MAKE_KEY[kind](names[kind]), 2, value) for kind, value in values.items()]
    changes.append(Change(CONFIG_KEY, 3, json.dumps(CONFIG).encode()))
    state.replace(changes, Position(1, 3), "store")
    return state


def check_other_entries(state: RoutingState) -> None:
    assert state.targets.get("whole") is not None
    assert state._fleet.find_address("n1") == ADDRESS
    assert state.quarantines.find(FINGERPRINT) == QUARANTINE
    assert state.config_version == 7


@pytest.mark.parametrize(("kind", "path", "value"), ENTRY_CASES)
def test_malformed_entry_costs_only_itself(kind, path, value) -> None:
    """A target, instance or quarantine is left out as a whole, with one line, and no other is."""
    entry = json.dumps(change_document(ENTRIES[kind], path, value)).encode()
    with capture_logs() as logs:
        state = apply_entries(kind, entry)
    check_other_entries(state)
    assert state.targets.get("changed") is None
    assert state.quarantines.find("changed") is None
    assert [line["event"] for line in logs if line["log_level"] != "info"].count(
        f"{kind}_rejected"
    ) == 1


@pytest.mark.parametrize("kind", ENTRIES)
@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"7", b"[" * 100_000])
def test_entry_that_is_no_object_costs_only_itself(kind, value) -> None:
    check_other_entries(apply_entries(kind, value))


DECODERS = {
    "target": lambda value: decode_target("t", value),
    "member": decode_member,
    "quarantine": decode_quarantine,
}


@pytest.mark.parametrize("kind", ENTRIES)
@pytest.mark.parametrize("value", [1, "x", None, [1], {"a": {}}])
def test_unknown_field_of_an_entry_is_ignored(kind, value) -> None:
    decode = DECODERS[kind]
    known = decode(json.dumps(ENTRIES[kind]).encode())
    assert decode(json.dumps({**ENTRIES[kind], "later_field": value}).encode()) == known


HEADERS = {
    "Attempt-Id": "id-1",
    "Server-Load": "2,1,4,150",
    "Server-Limit": "5",
    "Retry-After": "2",
    "Keep-Alive": "timeout=3",
}
# The header, its value, and what the report has instead.
HEADER_CASES: list[tuple[str, str, dict[str, Any]]] = [
    ("Later-Header", "x", {}),
    ("Server-Load", "2,1,4,fast", {"load": Load(2, 1, 4)}),
    ("Server-Load", "2,1,4,150,later", {}),
    ("Server-Load", "2,1", {"load": None}),
    ("Server-Load", "busy", {"load": None}),
    ("Server-Limit", "many", {"limit": None}),
    ("Server-Limit", "nan", {"limit": None}),
    ("Retry-After", "soon", {"pause_ms": 0}),
    ("Server-Leaving", "maybe", {}),
]


@pytest.mark.parametrize(("name", "value", "expected"), HEADER_CASES)
def test_malformed_header_of_a_target_costs_only_itself(name, value, expected) -> None:
    known = decode_target_report(503, HEADERS, "t1", "id-1")
    assert known is not None
    assert (known.load, known.limit, known.pause_ms) == (Load(2, 1, 4, 1.5), NamedLimit(5), 2_000)
    headers = {**HEADERS, name: value}
    assert decode_target_report(503, headers, "t1", "id-1") == replace(known, **expected)
    assert decode_idle_timeout(headers) == 3_000
    assert decode_idle_timeout({**headers, "Keep-Alive": "later"}) is None


SETTINGS_TEXT = """
[self]
node_name = "frontend-1"
zone = "north-1"
region = "north"
[self.limits]
link_mbps = 20
[network]
internal_ports = [7740, 7755]
seed_nodes = ["10.1.0.35:8688", "10.1.0.36:8688"]
[network.listen]
frontend = "10.1.0.35:8686"
ready = "10.1.0.35:8680"
control_plane = "10.1.0.35:8688"
directory = "10.1.0.35:8684"
[network.zones]
north-1 = "north"
south-1 = "south"
[platform.platform]
address = "10.200.1.7:8682"
[terms.bounds]
grace_period_s = 8
retry_budget_ratio = 0.1
retry_budget_slack = 40
cold_overage = 2
cold_slack = 9
quota_slack = 30
ttl_max_s = 3
config_apply_ms = 3000
"""
# The text, its replacement, and what the settings have instead.
SETTINGS_CASES: list[tuple[str, str, dict[str, Any]]] = [
    ("link_mbps = 20", 'link_mbps = "fast"', {"link_mbps": 0.0}),
    ('"10.1.0.36:8688"', "7", {"seeds": 1}),
    ('"10.1.0.36:8688"', '"nowhere"', {"seeds": 1}),
    ('south-1 = "south"', "south-1 = 7", {"regions": {"north-1": "north"}}),
    ("grace_period_s = 8", 'grace_period_s = "x"', {"grace_period_ms": 4_000}),
    ("ttl_max_s = 3", "ttl_max_s = []", {"max_ttl_ms": 1_000}),
    ("config_apply_ms = 3000", 'config_apply_ms = "x"', {"config_apply_ms": 2_000}),
    ("retry_budget_ratio = 0.1", 'retry_budget_ratio = "x"', {"retry_ratio": 0.0}),
    ("retry_budget_ratio = 0.1", "retry_budget_ratio = inf", {"retry_ratio": 0.0}),
    ("retry_budget_slack = 40", "retry_budget_slack = -1", {"retry_slack": 0.0}),
    ("cold_overage = 2", "cold_overage = nan", {"cold_overage": 1.0}),
    ("cold_slack = 9", 'cold_slack = "x"', {"cold_slack": 0.0}),
    ("quota_slack = 30", "quota_slack = false", {"rate_slack": 0.0}),
]
LINES = ("[self]", "[self.limits]", "[network]", "[network.listen]", "[terms.bounds]")


def read_settings(tmp_path, text: str) -> dict[str, Any]:
    path = tmp_path / "node.toml"
    path.write_text(text)
    settings = asdict(load_settings(path))
    bounds = asdict(settings.pop("bounds"))
    return {**settings, **bounds, "seeds": len(settings["seeds"])}


@pytest.mark.parametrize("line", LINES)
def test_unknown_field_of_the_settings_is_ignored(tmp_path, line) -> None:
    changed = SETTINGS_TEXT.replace(f"{line}\n", f"{line}\nlater_field = [1]\n")
    assert read_settings(tmp_path, changed) == read_settings(tmp_path, SETTINGS_TEXT)


@pytest.mark.parametrize(("old", "new", "expected"), SETTINGS_CASES)
def test_malformed_setting_costs_only_itself(tmp_path, old, new, expected) -> None:
    """An instance did not start for want of one bound; the strictest value keeps the bound."""
    settings = read_settings(tmp_path, SETTINGS_TEXT.replace(old, new))
    assert len(settings.pop("malformed")) == 1
    known = read_settings(tmp_path, SETTINGS_TEXT)
    del known["malformed"]
    assert settings == {**known, **expected}


@pytest.mark.parametrize("name", ["node_name", "zone", "region", "frontend", "address"])
def test_settings_without_a_name_or_address_are_rejected(tmp_path, name) -> None:
    path = tmp_path / "node.toml"
    lines = [
        f"{name} = 7" if line.startswith(f"{name} =") else line
        for line in SETTINGS_TEXT.splitlines()
    ]
    path.write_text("\n".join(lines))
    with pytest.raises(InvalidSettingsError, match=name):
        load_settings(path)


HEARTBEAT = Heartbeat(
    ADDRESS, 5, 9, True, 145, {"o1": 2.0}, True, 2, 7, True, DemandAck(4, 3), reaches_targets=True
)
LOAD_REPORT = LoadReport("n1", 5, 3, {17: 1}, 900, {17: 250}, {18: 2}, {19: 17})
QUARANTINE_MESSAGE = crash_messages.QuarantineMessage("f", QUARANTINE)
MESSAGES: dict[str, tuple[bytes, Any]] = {
    "heartbeat": (peer_messages.encode_heartbeat(HEARTBEAT), peer_messages.decode_heartbeat),
    "brief_heartbeat": (
        peer_messages.encode_brief_heartbeat(HEARTBEAT),
        peer_messages.decode_brief_heartbeat,
    ),
    "load_report": (
        peer_messages.encode_load_report(LOAD_REPORT),
        peer_messages.decode_load_report,
    ),
    "brief_load_report": (
        peer_messages.encode_brief_load_report(LOAD_REPORT),
        peer_messages.decode_brief_load_report,
    ),
    "changes": (
        peer_messages.encode_changes(peer_messages.ChangesMessage("n1", 1, 2, 3, [("k", 3, b"v")])),
        peer_messages.decode_changes,
    ),
    "crash": (
        crash_messages.encode_crash(crash_messages.CrashMessage("t@1", ["f"])),
        crash_messages.decode_crash,
    ),
    "answer": (
        crash_messages.encode_answer(crash_messages.AnswerMessage("f")),
        crash_messages.decode_answer,
    ),
    "suspect": (
        crash_messages.encode_suspect(crash_messages.SuspectMessage("f")),
        crash_messages.decode_suspect,
    ),
    "quarantine": (
        crash_messages.encode_quarantine_message(QUARANTINE_MESSAGE),
        crash_messages.decode_quarantine_message,
    ),
}


@pytest.mark.parametrize("name", MESSAGES)
@pytest.mark.parametrize("value", [1, "x", None, [1], {"a": {}}])
def test_unknown_field_of_a_datagram_is_ignored(name, value) -> None:
    data, decode = MESSAGES[name]
    raw = msgspec.msgpack.decode(data[1:])
    later = [*raw, value] if isinstance(raw, list) else {**raw, "later_field": value}
    assert decode(msgspec.msgpack.encode(later)) == decode(data[1:])


# The message, the optional field and its number in a row, and what the message has instead.
DATAGRAM_CASES: list[tuple[str, str | int, str, Any]] = [
    ("heartbeat", "ack", "ack", DemandAck()),
    ("heartbeat", "reaches_targets", "reaches_targets", False),
    ("heartbeat", "watching", "watching", False),
    ("heartbeat", "config_version", "config_version", 0),
    ("brief_heartbeat", 9, "acked_boot", 0),
    ("brief_heartbeat", 11, "reaches_targets", False),
    ("load_report", "slowness", "slowness", {}),
    ("load_report", "organisations", "organisations", {}),
    ("brief_load_report", 4, "validity_ms", 600),
    ("brief_load_report", 5, "slowness", {}),
    ("brief_load_report", 6, "organisations", {}),
    ("load_report", "objects", "objects", {}),
    ("brief_load_report", 7, "objects", {}),
]


@pytest.mark.parametrize(("name", "place", "field", "expected"), DATAGRAM_CASES)
def test_malformed_optional_field_of_a_datagram_costs_only_itself(
    name, place, field, expected
) -> None:
    """A later build that changes one field must not become silent for this one."""
    data, decode = MESSAGES[name]
    changed = change_document(msgspec.msgpack.decode(data[1:]), (place,), "later")
    message, known = decode(msgspec.msgpack.encode(changed)), decode(data[1:])
    assert getattr(message, field) == expected
    names = [other for other in type(known).__annotations__ if other != field]
    assert [getattr(message, other) for other in names] == [
        getattr(known, other) for other in names
    ]


@pytest.mark.parametrize("name", MESSAGES)
def test_malformed_datagram_is_rejected_as_such(name) -> None:
    """Any other error would end the task that receives datagrams."""
    data, decode = MESSAGES[name]
    raw = msgspec.msgpack.decode(data[1:])
    first = 0 if isinstance(raw, list) else next(iter(raw))
    bodies = [msgspec.msgpack.encode(change_document(raw, (first,), [7])), b"\xc1", b"", b"\x90"]
    bodies += [b"\x91" * 100_000, data[1:-1]]
    for body in bodies:
        with pytest.raises(msgspec.DecodeError):
            decode(body)


@pytest.mark.parametrize("text", ["later", "", "7"])
def test_unknown_failure_of_a_relay_counts_as_maybe_run(text) -> None:
    """The target may have run the request, so it must not be sent again."""
    response = UpstreamResponse("t1", 502, {"Waxwingshelf-Failure": text}, b"\xff")
    failure = decode_relay_failure(response)
    assert failure is not None
    assert failure.kind is FailureKind.BROKEN
    known = decode_relay_failure(replace(response, headers={"Waxwingshelf-Failure": "shed"}))
    assert known is not None
    assert known.kind is FailureKind.SHED
