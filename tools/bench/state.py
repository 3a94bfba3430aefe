"""Measure the memory per claim, holder and organisation that a member keeps."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from tools.bench.report import Report
from waxwingshelf.core.claims import ClaimStore
from waxwingshelf.core.config import build_config
from waxwingshelf.core.ledger import Holder, Ledger, encode_ledger
from waxwingshelf.core.messages import Claim, StoredResponse

__all__ = ["measure_state"]

_CLAIM_COUNT = 5_000
_RESPONSE_BYTES = 300
_HOLDER_COUNT = 1_000
_ORGANISATION_COUNT = 1_000


def measure_state(report: Report, quick: bool) -> None:
    """Measure bytes per claim, holder and organisation, and the ledger's encoded size."""
    report.add("state.claim", _measure_bytes(_build_claims) / _CLAIM_COUNT, "B/claim")
    report.add("state.holder", _measure_bytes(_build_ledger) / _HOLDER_COUNT, "B/holder")
    report.add(
        "state.organisation", _measure_bytes(_build_config) / _ORGANISATION_COUNT, "B/organisation"
    )
    body = msgspec.json.encode(encode_ledger(_build_ledger()))
    report.add("state.ledger_value", len(body) / _HOLDER_COUNT, "B/holder")


def _measure_bytes(build: Callable[[], Any]) -> int:
    tracemalloc.start()
    retained = build()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return size_bytes


def _build_claims() -> ClaimStore:
    store = ClaimStore()
    for number in range(_CLAIM_COUNT):
        request_id = f"12.kivu.1700000000.order-{number}"
        claim = Claim(
            "acme", "orders", request_id, 12, 1_700_000_000, bytes(16), f"n1#1/{number:016}"
        )
        store.vote(claim, "n0#1", 900_000, 1_700_000_000_000)
        headers = [("Content-Type", "application/json")]
        store.finish(claim, StoredResponse(200, headers, bytes(_RESPONSE_BYTES)))
    return store


def _build_ledger() -> Ledger:
    holders = {
        f"entry-{n}": Holder(f"entry-{n}", 1_700_000_000_000 + n, "r", "r-1", "10.0.0.1", 80, 81, n)
        for n in range(_HOLDER_COUNT)
    }
    return Ledger(version=1, writer="entry-1#1", holders=holders)


def _build_config() -> Any:
    organisations = {f"o{n}": {"rate_per_s": 1, "burst": 1} for n in range(_ORGANISATION_COUNT)}
    keys = {f"{n:064x}": {"organisation": f"o{n}"} for n in range(_ORGANISATION_COUNT)}
    document = {"fleet": {"name": "f"}, "regions": {}, "organisations": organisations, "keys": keys}
    return document, build_config(1, {"document": document})
