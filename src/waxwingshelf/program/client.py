"""A client for the administration API."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import msgspec

from waxwingshelf.checked_responses import build_connector

__all__ = ["AdminClient", "AdminError"]

_TIMEOUT_S = 20.0


class AdminError(Exception):
    """Raised if the API refuses a request or the instance does not respond.

    `problem` is a problem document (RFC 9457).
    """

    def __init__(self, problem: dict[str, Any]) -> None:
        super().__init__(problem.get("title", ""))
        self.problem = problem

    @property
    def reason(self) -> str:
        """Return the name of the refusal reason, or an empty string if there is none."""
        return str(self.problem.get("reason", ""))


class AdminClient:
    """Send administration requests to one instance."""

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._key = key

    def get(self, path: str) -> Any:
        """Send a GET request and return the decoded response."""
        return self._run_request("GET", path, None)

    def post(self, path: str) -> Any:
        """Send a POST request without a body and return the decoded response."""
        return self._run_request("POST", path, None)

    def submit_change(self, body: dict[str, Any]) -> Any:
        """Submit a change of the manifest and return the decoded response."""
        return self._run_request("PUT", "manifest", body)

    def _run_request(self, method: str, path: str, body: Any) -> Any:
        return asyncio.run(self._send_request(method, path, body))

    async def _send_request(self, method: str, path: str, body: Any) -> Any:
        url = f"http://{self._address}/admin/v1/{path}"
        headers = {"Authorization": f"Bearer {self._key}"}
        data = None if body is None else msgspec.json.encode(body)
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(connector=build_connector(), timeout=timeout) as session,
                session.request(method, url, headers=headers, data=data) as response,
            ):
                document = msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError) as error:
            raise AdminError(
                {
                    "title": "The instance does not answer",
                    "reason": "store_unavailable",
                    "step": "administer",
                    "peer": self._address,
                    "detail": repr(error),
                }
            ) from None
        if response.status != 200:
            raise AdminError(document)
        return document
