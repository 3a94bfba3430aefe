"""The lookup API: it tells callers which instances to use."""

from __future__ import annotations

import ipaddress
import random
from typing import Any

import msgspec
from aiohttp import web

from waxwingshelf.core import refusals
from waxwingshelf.core.claims import build_id_prefix
from waxwingshelf.core.clock import Clock
from waxwingshelf.core.config import Config
from waxwingshelf.core.lookup import list_candidates, order_candidates
from waxwingshelf.core.refusals import refuse
from waxwingshelf.ports import Metrics
from waxwingshelf.program.control import ControlPlane
from waxwingshelf.program.problems import build_problem_response

__all__ = ["LookupHandler"]

_MAX_INSTANCES = 4
_RESPONSE_VARIANTS = 8
_CACHE_TTL_MS = 100
_MS_PER_S = 1_000
_RETRY_AFTER_MS = 1_000


class LookupHandler:
    """Handle lookups from a short-lived cache of encoded responses.

    The cache holds several responses for each service and region, each with its own random order
    of equally good instances, so that callers spread over these instances.
    """

    def __init__(
        self, control: ControlPlane, clock: Clock, metrics: Metrics, local_region: str
    ) -> None:
        self._control = control
        self._clock = clock
        self._metrics = metrics
        self._local_region = local_region
        self._rng = random.Random(local_region)
        self._cache: dict[tuple[str, str], list[bytes]] = {}
        self._cache_started_ms = -_CACHE_TTL_MS

    async def handle(self, request: web.Request) -> web.Response:
        """Handle `GET /v1/instances?service=NAME`."""
        config = self._control.config
        service = request.query.get("service", "")
        if config is None:
            return self._refuse(refusals.NOT_READY)
        if service not in config.manifest.services:
            return self._refuse(refusals.SERVICE_UNKNOWN)
        self._metrics.count("lookups")
        variants = self._get_variants(config, service, self._resolve_region(config, request))
        ttl_s = config.manifest.fleet.lookup_ttl_ms // _MS_PER_S
        return web.Response(
            body=self._rng.choice(variants),
            content_type="application/json",
            headers={"Cache-Control": f"public, max-age={ttl_s}"},
        )

    def _resolve_region(self, config: Config, request: web.Request) -> str:
        requested = request.query.get("region", "")
        if requested in config.manifest.regions:
            return requested
        try:
            address = int(ipaddress.IPv4Address(request.remote or ""))
        except ValueError:
            return self._local_region
        return config.block_table.find_region(address) or self._local_region

    def _get_variants(self, config: Config, service: str, region: str) -> list[bytes]:
        now_ms = self._clock.now_ms()
        if now_ms - self._cache_started_ms >= _CACHE_TTL_MS:
            self._cache.clear()
            self._cache_started_ms = now_ms
        variants = self._cache.get((service, region))
        if variants is None:
            variants = [
                self._build_body(config, service, region) for _ in range(_RESPONSE_VARIANTS)
            ]
            self._cache[service, region] = variants
        return variants

    def _build_body(self, config: Config, service: str, region: str) -> bytes:
        state = self._control.state
        wall_ms = self._clock.wall_ms()
        stopping = config.list_stopping("instance", wall_ms)
        candidates = list_candidates(state.membership, stopping)
        ordered = order_candidates(candidates, config.manifest, region, self._rng, _MAX_INSTANCES)
        epoch = 0 if state.ledger is None else state.ledger.version
        document: dict[str, Any] = {
            "service": service,
            "ttl_ms": config.manifest.fleet.lookup_ttl_ms,
            "request_id_prefix": build_id_prefix(epoch, region, wall_ms // _MS_PER_S),
            "instances": [
                {
                    "name": candidate.name,
                    "address": f"{candidate.host}:{candidate.port}",
                    "region": candidate.region,
                    "failure_domain": candidate.failure_domain,
                }
                for candidate in ordered
            ],
        }
        return msgspec.json.encode(document)

    def _refuse(self, reason: refusals.RefusalReason) -> web.Response:
        self._metrics.count(f"refused.{reason.name}")
        retry_after_ms = _RETRY_AFTER_MS if reason is refusals.NOT_READY else None
        return build_problem_response(refuse(reason, retry_after_ms=retry_after_ms), "")
