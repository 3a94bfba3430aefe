"""Run the command line."""

import sys

from waxwingshelf.program.cli import main

sys.exit(main())
