"""What an instance tells of its connections to targets, over real sockets."""

import asyncio

from structlog.testing import capture_logs

from standins.platform_target import PlatformTargetStandIn
from tests.serving.test_upstream import make_request, make_target
from waxwingshelf.core.clock import SystemClock
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.target_connections import TargetContact
from waxwingshelf.serving.upstream import UpstreamClient, UpstreamResponse


def test_connections_are_counted_and_silence_is_measured() -> None:
    async def main() -> None:
        metrics = Metrics()
        contact = TargetContact(SystemClock(), metrics)
        client = UpstreamClient(contact)
        standin = PlatformTargetStandIn("t")
        await standin.start()
        await asyncio.sleep(0.3)
        assert contact.compute_silence_ms() >= 300
        for index in range(2):
            result = await client.send(make_target(standin), make_request(index), 1_000)
            assert isinstance(result, UpstreamResponse)
        assert contact.compute_silence_ms() < 300
        await standin.stop()
        await client.close()
        client = UpstreamClient(contact)
        await client.send(make_target(standin), make_request(2), 1_000)
        await client.close()
        text = metrics.render().decode()
        assert 'waxwingshelf_target_connections_total{result="opened"} 1.0' in text
        assert 'waxwingshelf_target_connections_total{result="failed"} 1.0' in text

    asyncio.run(main())


def test_refusal_tells_how_many_targets_are_suspended(run_scenario) -> None:
    async def scenario(deployment) -> None:
        target = await deployment.add_target("t0")
        await deployment.add_target("t1", work_s=0.6)
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        assert (await deployment.send_request("/read/x")).status == 200
        await target.stop()
        await asyncio.sleep(4.5)  # The pool drops its connections.
        requests = [deployment.send_request("/read/x", deadline_ms=700) for _ in range(15)]
        responses = await asyncio.gather(*requests)
        assert {response.status for response in responses} == {200, 503}

    with capture_logs() as logs:
        run_scenario(scenario)
    details = {line["detail"] for line in logs if line["event"] == "refused"}
    assert any("1 of 2 targets are suspended" in detail for detail in details)
