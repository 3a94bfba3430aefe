"""Prometheus metrics of an instance."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ["Metrics"]

_DURATION_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0)
# Ratios of the current duration of work at a target to the usual one.
_SLOWNESS_BUCKETS = (0.8, 1.0, 1.25, 1.5, 2.0, 2.5, 3.0, 4.0, 8.0)


class Metrics:
    """Hold all metrics of one instance in a separate registry."""

    def __init__(self) -> None:
        self._registry = registry = CollectorRegistry()
        self.requests = Counter(
            "waxwingshelf_requests",
            "Requests by response source (`target` or `own` for refusals) and HTTP status.",
            ["kind", "outcome"],
            registry=registry,
        )
        self.refusals = Counter(
            "waxwingshelf_refusals",
            "Requests refused by this instance, by reason.",
            ["reason"],
            registry=registry,
        )
        self.retries = Counter(
            "waxwingshelf_retries",
            "Retries by the failure of the previous attempt.",
            ["reason"],
            registry=registry,
        )
        self.hedges = Counter(
            "waxwingshelf_hedges",
            "Copies of slow requests: sent, won, lost, failed, or refused by a limit (`limited`).",
            ["result"],
            registry=registry,
        )
        self.object_announcements = Counter(
            "waxwingshelf_object_announcements",
            "Objects sent without knowing that they are warm, told to or by peers.",
            ["direction"],
            registry=registry,
        )
        self.rate_tokens = Counter(
            "waxwingshelf_rate_tokens",
            "Tokens of organisations' rates: granted, refused, or returned by requests not run.",
            ["result"],
            registry=registry,
        )
        self.organisation_waits = Counter(
            "waxwingshelf_organisation_waits",
            "Requests that waited for capacity: placed, refused, unplaceable, or left by callers.",
            ["result"],
            registry=registry,
        )
        self.durations = Histogram(
            "waxwingshelf_request_seconds",
            "Time from the start of a request to the response of its target.",
            ["kind"],
            buckets=_DURATION_BUCKETS_S,
            registry=registry,
        )
        self.store_calls = Counter(
            "waxwingshelf_store_calls",
            "Calls to the store by step and result.",
            ["step", "result"],
            registry=registry,
        )
        self.peer_pulls = Counter(
            "waxwingshelf_peer_pulls",
            "Reads of the store's state from another instance, by result.",
            ["result"],
            registry=registry,
        )
        self.target_connections = Counter(
            "waxwingshelf_target_connections",
            "Connections to targets that were opened, or could not be.",
            ["result"],
            registry=registry,
        )
        self.target_slowness = Histogram(
            "waxwingshelf_target_slowness",
            "How many times longer than usual work takes, as responses of targets report it.",
            buckets=_SLOWNESS_BUCKETS,
            registry=registry,
        )
        self.target_silence = Gauge(
            "waxwingshelf_target_silence_seconds",
            "Time since this instance last heard from any target.",
            registry=registry,
        )
        self.target_reach = Gauge(
            "waxwingshelf_targets_reachable",
            "1 if this instance can open connections to targets, else 0.",
            registry=registry,
        )
        self.target_reach.set(1)
        self.target_probes = Counter(
            "waxwingshelf_target_probes",
            "Probes of targets whose connection broke during a request, by result.",
            ["result"],
            registry=registry,
        )
        self.quarantined = Gauge(
            "waxwingshelf_quarantined_requests",
            "Requests under quarantine because they crash targets.",
            registry=registry,
        )
        self.relays = Counter(
            "waxwingshelf_relays",
            "Requests sent to targets through peers (`asked`) and for peers (`served`), by result.",
            ["side", "result"],
            registry=registry,
        )
        self.response_bytes_held = Gauge(
            "waxwingshelf_response_bytes_held",
            "Bytes of responses that are being read from targets or written to callers.",
            registry=registry,
        )
        self.slow_readers = Counter(
            "waxwingshelf_slow_readers",
            "Connections closed because the caller read nothing of a response for too long.",
            registry=registry,
        )
        self.region_weight = Gauge(
            "waxwingshelf_region_weight",
            "Factor of the weight of a region's targets that follows the demand of all regions.",
            ["service", "region"],
            registry=registry,
        )
        self.in_flight = Gauge(
            "waxwingshelf_requests_in_flight",
            "Requests in progress.",
            registry=registry,
        )
        self.peers = Gauge(
            "waxwingshelf_peers_heard",
            "Other instances that sent a heartbeat recently.",
            registry=registry,
        )
        self.config_version = Gauge(
            "waxwingshelf_config_version",
            "Version of the current configuration.",
            registry=registry,
        )
        self.unknown_config_values = Gauge(
            "waxwingshelf_config_unknown_values",
            "Values of the current configuration that this build does not know.",
            registry=registry,
        )
        self.store_restores = Gauge(
            "waxwingshelf_store_restores",
            "Times the store came back from an older copy of its data since this process started.",
            registry=registry,
        )
        self.failures = Counter(
            "waxwingshelf_failures",
            "Unexpected errors by the place where they were contained, such as a background task.",
            ["place"],
            registry=registry,
        )
        self.failing_places = Gauge(
            "waxwingshelf_failing_places",
            "Places that had an unexpected error in the last ten seconds.",
            registry=registry,
        )
        self.rejected_entries = Gauge(
            "waxwingshelf_rejected_entries",
            "Entries of the store that were malformed when they were read, by kind.",
            ["kind"],
            registry=registry,
        )
        self.dropped_log_lines = Gauge(
            "waxwingshelf_dropped_log_lines",
            "Log lines dropped because standard output was blocked.",
            registry=registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return bytes(generate_latest(self._registry))
