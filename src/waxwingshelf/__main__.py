"""Run the command-line interface."""

import sys

from waxwingshelf.program.cli import main

sys.exit(main())
