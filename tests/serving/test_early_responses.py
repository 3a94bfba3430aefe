"""Responses without a length that come while a long body is still being sent."""

import asyncio

import pytest
import uvloop

from standins.platform_target import ResponseMode
from tests.serving.conftest import CONFIG

UPLOAD_BYTES = 10_000_000
RUNS = 3


async def start(deployment) -> None:
    limits = {"max_body_bytes": 2 * UPLOAD_BYTES}
    deployment.store.put("op/config", {**CONFIG, "version": "r2", "limits": limits})
    await deployment.start_instance("n0")
    await deployment.wait_until_ready("n0")


@pytest.mark.parametrize(
    ("response_mode", "status"),
    [(ResponseMode.EARLY_RESET, 502), (ResponseMode.EARLY_CLOSE, 200)],
)
def test_upload_is_answered_only_with_a_whole_response(run_scenario, response_mode, status) -> None:
    """A reset leaves a part of the body, and the end of the connection the whole one."""

    async def scenario(deployment) -> None:
        target = await deployment.add_target("t1")
        target.response_mode = response_mode
        await start(deployment)
        for number in range(RUNS):
            name = f"upload-{number}"
            response = await deployment.send_request(
                "/sheet/x", method="POST", body=bytes(UPLOAD_BYTES), Attempt_Id=name
            )
            assert response.status == status
            assert (response.body == f"answer to {name}".encode()) == (status == 200)
            assert target.runs[name] == 1
            await asyncio.sleep(0.1)

    run_scenario(scenario, uvloop.run)
