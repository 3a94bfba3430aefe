"""Client of the platform's key-value service over HTTP, in the protocol of its stand-in."""

from __future__ import annotations

from typing import Any

import aiohttp
import msgspec

from waxwingshelf.checked_responses import build_connector
from waxwingshelf.ports import StoredValue, StoreError, StoreTimeoutError

__all__ = ["HttpStore"]

_TIMEOUT_S = 2.0
_MS_PER_S = 1_000
_VERSION_HEADER = "X-Version"
_CONNECTION_ERRORS = (aiohttp.ClientError, OSError)


class HttpStore:
    """Get, compare-and-swap and watch values of up to one megabyte."""

    def __init__(self, host: str, port: int) -> None:
        self._peer = f"store {host}:{port}"
        self._base_url = f"http://{host}:{port}/v1/values/"
        self._session: aiohttp.ClientSession | None = None

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, or None if the key was never written."""
        return await self._read("get", key, {}, _TIMEOUT_S)

    async def watch(self, key: str, after: int, wait_ms: int) -> StoredValue | None:
        """Wait for a version above `after`; return None if none appears within `wait_ms`."""
        query = {"after": str(after), "wait_ms": str(wait_ms)}
        return await self._read("watch", key, query, _TIMEOUT_S + wait_ms / _MS_PER_S)

    async def compare_and_swap(self, key: str, expected: int, value: Any) -> bool:
        """Write a value if the version of the key equals `expected`; return whether it was written.

        The version of a key that was never written is 0.
        """
        try:
            async with self._get_session().put(
                self._base_url + key,
                data=msgspec.json.encode(value),
                headers={_VERSION_HEADER: str(expected)},
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            ) as response:
                if response.status == 200:
                    return True
                if response.status == 409:
                    return False
                raise StoreError("compare_and_swap", self._peer, f"status {response.status}")
        except aiohttp.ClientConnectorError as error:
            raise StoreError("compare_and_swap", self._peer, str(error)) from None
        except (TimeoutError, *_CONNECTION_ERRORS) as error:
            raise StoreTimeoutError("compare_and_swap", self._peer, repr(error)) from None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def _read(
        self, step: str, key: str, query: dict[str, str], timeout_s: float
    ) -> StoredValue | None:
        try:
            async with self._get_session().get(
                self._base_url + key,
                params=query,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                if response.status in (204, 404):
                    return None
                if response.status != 200:
                    raise StoreError(step, self._peer, f"status {response.status}")
                version = int(response.headers[_VERSION_HEADER])
                return StoredValue(version, msgspec.json.decode(await response.read()))
        except (KeyError, ValueError) as error:
            raise StoreError(step, self._peer, f"malformed response: {error!r}") from None
        except (TimeoutError, *_CONNECTION_ERRORS) as error:
            raise StoreTimeoutError(step, self._peer, repr(error)) from None

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=build_connector())
        return self._session
