"""Lets ``python -m fireflylink_operator_client`` run the command line."""

import sys

from fireflylink_operator_client import main

sys.exit(main())
