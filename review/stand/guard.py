"""Ends the processes of a test that was itself killed.

It reads their ids from its standard input, one a line. The end of the input without the word `done` means that the test has
ended without ending them.
"""

import os
import signal
import sys

for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(number, signal.SIG_IGN)
ids = []
for line in sys.stdin:
    if line.strip() == "done":
        sys.exit(0)
    ids.append(int(line))
for process in ids:
    try:
        os.kill(process, signal.SIGKILL)
    except ProcessLookupError:
        pass
