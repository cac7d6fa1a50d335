#!/usr/bin/env python3
"""Runs one session and compares it with the committed transcript.

    run_session.py --build DIR --session khan-uul|banlangd|deployment [--update]

The first two are firms on the product's own interface; the third is the users'
platform.

Exit code 0: the same. --update writes the transcript instead.
"""

import argparse
import difflib
import pathlib
import sys

import banlangd
import khan_uul
from session import Session

import deployment_session

HERE = pathlib.Path(__file__).resolve().parent
FIRMS = {"khan-uul": khan_uul.play, "banlangd": banlangd.play}
SESSIONS = [*FIRMS, "deployment"]


def play_firm(build, firm):
    session = Session(build, firm)
    try:
        session.start_all()
        FIRMS[firm](session)
    except Exception:
        print(session.transcript())
        print(session.logs())
        raise
    finally:
        session.end()
    return session.transcript()


def play(build, name):
    if name in FIRMS:
        return play_firm(build, name)
    return deployment_session.play_whole(build)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--session", required=True, choices=SESSIONS)
    parser.add_argument("--update", action="store_true")
    options = parser.parse_args()

    got = play(options.build, options.session)
    golden = HERE / f"{options.session}.golden"
    if options.update:
        golden.write_text(got)
        return 0
    wanted = golden.read_text()
    sys.stdout.writelines(difflib.unified_diff(
        wanted.splitlines(True), got.splitlines(True), str(golden), "this run"))
    return 0 if got == wanted else 1


if __name__ == "__main__":
    sys.exit(main())
