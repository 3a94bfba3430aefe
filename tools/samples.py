"""Write the two sample manifests, with the sizes that the project brief gives."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

__all__ = ["build_carpatin", "build_nyungwe"]

_FIRST_TARGET_PORT = 21_000


def build_carpatin() -> dict[str, Any]:
    """Build the manifest of the pattern shops, where latency and drain time matter most."""
    regions = ("transilvania", "muntenia", "moldova")
    return {
        "fleet": {"name": "carpatin"},
        "regions": _build_regions(regions, 20.0),
        "services": {
            "register": _build_service(9, "latency", True, 1_000),
            "orders": _build_service(7, "latency", False, 3_000),
            "drawings": _build_service(3, "latency", True, 20_000),
            "bookings": _build_service(3, "latency", False, 3_000),
        },
        "targets": _build_targets(
            regions, {"register": 12, "orders": 12, "drawings": 12, "bookings": 12}
        ),
        "organisations": _build_organisations("shop"),
        "shift_caps": _build_shift_caps(regions, 200.0, 100.0),
    }


def build_nyungwe() -> dict[str, Any]:
    """Build the manifest of the fisheries records: the worst-served organisation matters most."""
    regions = ("kivu", "kigali", "akagera")
    return {
        "fleet": {"name": "nyungwe"},
        "regions": _build_regions(regions, 55.0),
        "services": {
            "yields": _build_service(9, "fairness", True, 1_000),
            "closures": _build_service(6, "fairness", False, 5_000),
            "sheets": _build_service(3, "fairness", True, 20_000),
            "transfers": _build_service(3, "fairness", False, 5_000),
        },
        "targets": _build_targets(
            regions, {"yields": 14, "closures": 12, "sheets": 12, "transfers": 12}
        ),
        "organisations": _build_organisations("cooperative"),
        "shift_caps": _build_shift_caps(regions, 150.0, 75.0),
    }


def _build_regions(names: tuple[str, ...], distance_ms: float) -> dict[str, Any]:
    return {
        name: {
            "failure_domains": [f"{name}-1", f"{name}-2"],
            "distance_ms": {other: distance_ms for other in names if other != name},
        }
        for name in names
    }


def _build_service(
    slots: int, objective: str, idempotent: bool, deadline_ms: int
) -> dict[str, Any]:
    return {
        "deadline_ms": deadline_ms,
        "idempotent": idempotent,
        "slots": slots,
        "connections": 330,
        "objective": objective,
        "max_body_bytes": 67_108_864 if deadline_ms > 10_000 else 262_144,
    }


def _build_targets(regions: tuple[str, ...], counts: dict[str, int]) -> dict[str, Any]:
    targets = {}
    port = _FIRST_TARGET_PORT
    for service, count in counts.items():
        for number in range(count):
            region = regions[number % len(regions)]
            targets[f"{service}-{number + 1}"] = {
                "service": service,
                "region": region,
                "failure_domain": f"{region}-{number // len(regions) % 2 + 1}",
                "host": "127.0.0.1",
                "port": port,
            }
            port += 1
    return targets


def _build_organisations(prefix: str) -> dict[str, Any]:
    large = {"rate_per_s": 400, "burst": 400, "weight": 4}
    small = {"rate_per_s": 40, "burst": 60, "weight": 1}
    return {f"{prefix}-{number}": large if number <= 2 else small for number in range(1, 9)}


def _build_shift_caps(regions: tuple[str, ...], per_s: float, burst: float) -> dict[str, Any]:
    return {
        f"{source}>{destination}": {"requests_per_s": per_s, "burst": burst}
        for source in regions
        for destination in regions
        if source != destination
    }


def main() -> None:
    """Write samples/carpatin.json and samples/nyungwe.json."""
    for name, build in (("carpatin", build_carpatin), ("nyungwe", build_nyungwe)):
        path = Path("samples") / f"{name}.json"
        text = json.dumps(build(), indent=2)
        path.write_text(
            f"// The sizes of today; keys and operators are added by commands.\n{text}\n"
        )


if __name__ == "__main__":
    main()
