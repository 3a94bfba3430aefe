"""The soak's own steps around planned stops."""

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

from tests.soak.deployment import Process, SoakDeployment
from tests.soak.soak import SoakRun

SLOW_TO_STOP = """
import signal, sys, time
def stop(*_):
    time.sleep(0.5)
    sys.exit()
signal.signal(signal.SIGTERM, stop)
print(flush=True)
time.sleep(9)
"""


def test_checks_in_quiet_begin_after_the_last_stop_has_ended(tmp_path, monkeypatch) -> None:
    """Guards against checks that reach an instance whose stop began in the fault phase."""
    child = subprocess.Popen([sys.executable, "-c", SLOW_TO_STOP], stdout=subprocess.PIPE)
    child.stdout.readline()
    process = Process("n0", "127.0.0.1", [], Path(), Path(), child)
    deployment = SoakDeployment(tmp_path, processes=[process])
    started: list[str] = []
    monkeypatch.setattr(deployment, "_start", lambda started_process: started.append("n0"))
    run = SoakRun(1, deployment)
    deployment.send_signal(process, signal.SIGTERM)
    asyncio.run(run.finish_stops())
    assert (started, run.violations) == (["n0"], [])
