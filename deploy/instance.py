"""Start an instance from the modules compiled by deploy/build.sh, or else from the sources."""

import gc
import os
import signal
import sys
from pathlib import Path

from module_archive import install_archive

# Until the settings are loaded, their change needs no reload, and must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# The HTTP library loads the system's certificate authorities when it is imported, which takes a
# fifth of the start. Instances do not speak TLS.
os.environ["SSL_CERT_FILE"] = os.devnull

_ROOT = Path(__file__).resolve().parent.parent
_COMPILED = _ROOT / "target" / "app"
sys.path.insert(0, str(_COMPILED if _COMPILED.is_dir() else _ROOT / "src"))
install_archive(str(_ROOT / "target" / "modules"), str(_ROOT))

# What is loaded once stays: the collector need not look at it, now or later.
gc.disable()
from waxwingshelf.serving.__main__ import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    sys.exit(main())
