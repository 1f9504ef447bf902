"""Starts an entry instance, as the platform runs it.

The platform may send SIGHUP at any time; its default action ends a process.
The imports of the gateway take a second, so it is ignored before them.
"""

import runpy
import signal

if __name__ == '__main__':
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    runpy.run_module('verbenahall.gateway', run_name='__main__')
