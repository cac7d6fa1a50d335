"""Processes that an experiment starts, with a folder for their files and logs.

The programs start no processes; this does, and it ends each by its id, paused
ones too.
"""

import pathlib
import signal
import subprocess
import tempfile


class Processes:
    """A context: start() on entry, everything ended and removed on exit."""

    def __init__(self):
        self.work = tempfile.TemporaryDirectory()
        self.children = {}

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for child in self.children.values():
            child.send_signal(signal.SIGCONT)
            child.kill()
        for child in self.children.values():
            child.wait()
        self.work.cleanup()

    def path(self, name):
        return pathlib.Path(self.work.name) / name

    def spawn(self, name, *command):
        with open(self.path(f"{name}.log"), "ab") as log:
            self.children[name] = subprocess.Popen(
                [str(c) for c in command], stdout=log, stderr=log)
