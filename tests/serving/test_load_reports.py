"""When instances tell their peers what they have in flight."""

import asyncio


def test_only_instances_with_requests_in_flight_send_load_reports(run_scenario) -> None:
    """Hundreds of idle instances told each other ten times a second that they had nothing."""

    async def scenario(deployment) -> None:
        await deployment.add_target("t1", work_s=0.4)
        for name in ("n0", "n1"):
            await deployment.start_instance(name)
            await deployment.wait_until_ready(name)
        reports = []
        network = deployment.instances["n0"]._peer_network
        network._send_load_report = reports.append
        await asyncio.sleep(0.6)
        assert reports == []
        assert (await deployment.send_request("/read/x", name="n0")).status == 200
        await asyncio.sleep(1.0)
        assert len([report for report in reports if report.loads]) >= 2
        # The last one tells that nothing is in flight any more.
        assert [report.is_empty for report in reports].count(True) == 1
        assert reports[-1].is_empty

    run_scenario(scenario)
