"""Start one instance from a checkout, without installing the package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from waxwingshelf.serving.__main__ import main

sys.exit(main())
