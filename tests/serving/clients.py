"""Clients of targets for tests that need no whole instance."""

from waxwingshelf.core.clock import SystemClock
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.target_connections import TargetContact
from waxwingshelf.serving.upstream import UpstreamClient


def build_upstream_client() -> UpstreamClient:
    return UpstreamClient(TargetContact(SystemClock(), Metrics()))
