"""The single-file executable runs as one process and serves requests."""

import secrets
from pathlib import Path

from tools.binary import build_binary
from tools.processes import InstanceSpec, LocalFleet, find_ports, send_request
from waxwingshelf.core.config import hash_key


def list_child_pids(pid: int) -> list[str]:
    return Path(f"/proc/{pid}/task/{pid}/children").read_text().split()


def test_binary_is_one_process_and_serves(tmp_path: Path) -> None:
    binary = build_binary(tmp_path / "waxwingshelf")
    key = secrets.token_hex(16)
    fleet = LocalFleet(tmp_path, hash_key(key), program=(str(binary),))
    port, peer_port = find_ports(2)
    manifest = {
        "fleet": {"name": "demo"},
        "regions": {"r": {"failure_domains": ["r-1"]}},
        "services": {"web": {"deadline_ms": 1000}},
    }
    try:
        fleet.start_store()
        fleet.start_instance(InstanceSpec("n0", "r", "r-1", port, peer_port))
        fleet.wait_until_listening(port)
        body = {"document": manifest, "based_on": 0, "why": "test"}
        send_request("PUT", port, "/admin/v1/manifest", body, key)
        content = send_request("GET", port, "/v1/instances?service=web")
        assert [entry["name"] for entry in content["instances"]] == ["n0"]
        pid = fleet.get_pid("n0")
        assert list_child_pids(pid) == []
        command = Path(f"/proc/{pid}/cmdline").read_bytes()
        assert str(binary).encode() in command
    finally:
        fleet.stop()
