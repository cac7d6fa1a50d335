#!/usr/bin/env python3
"""Checks that what the pages name exists.

    check_docs.py [--ctl SHALLOTCTL]

In README.md, CONTRIBUTING.md, docs/ and the README files of tutorial/ and
apps/: relative links and their #anchors; paths in code that begin with a folder
of this repository; and, with --ctl, the commands and options of `shallotctl`
against its own help. Headers named as `package/Foo.h` and programs named
`bench_foo` are looked for where they are declared. Prints one line for each thing that is not there; exit
code 1 if there is one. Whatever is built (under build/) is not looked for.
"""

import argparse
import pathlib
import re
import subprocess
import sys
import unicodedata

ROOT = pathlib.Path(__file__).resolve().parents[1]
PAGES = ["README.md", "CONTRIBUTING.md", "docs/**/*.md", "tutorial/*.md",
         "apps/**/*.md", "examples/**/*.md"]
FOLDERS = ("apps", "cmake", "docs", "examples", "packages", "standins", "tests",
           "tools", "tutorial")
HELP_SECONDS = 10
WAY_UP = re.compile(r"^(\.\./)+")

LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
CODE = re.compile(r"`([^`\n]+)`")
HEADING = re.compile(r"^#+\s+(.*)$", re.MULTILINE)
FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
INDENTED = re.compile(r"^    .*$", re.MULTILINE)
PATH = re.compile(r"(?<![\w./:-])((?:%s)/[\w.*/+-]+)" % "|".join(FOLDERS))
PACKAGES = sorted(p.name for p in (ROOT / "packages").iterdir() if p.is_dir())
CONCEPT = re.compile(r"(?<![\w./-])((?:%s)/[A-Z]\w+(?:\.\w+)?)" %
                     "|".join(PACKAGES))
BENCH = re.compile(r"(?<![\w./-])(bench_[a-z_0-9]+)(?![\w.])")
CTL = re.compile(r"\bshallotctl\s+([^|`\n#]*)")
# What a page writes in place of something of the reader's own.
PLACEHOLDER = re.compile(r"NAME|HASH|PATH|FIRM|\.\.\.|\*")


def pages():
    found = []
    for pattern in PAGES:
        found += sorted(ROOT.glob(pattern))
    return found


def anchor_of(title):
    """The anchor that a heading gets."""
    title = re.sub(r"[`*\[\]]|\([^)]*\)", "", title).strip().lower()
    kept = [c for c in title
            if c in " -_" or unicodedata.category(c)[0] in "LN"]
    return "".join(kept).replace(" ", "-")


def anchors(page):
    return {anchor_of(t) for t in HEADING.findall(FENCE.sub("", page.read_text()))}


def bad_link(page, target):
    if re.match(r"[a-z]+:", target):
        return None
    path, _, anchor = target.partition("#")
    to = (page.parent / path).resolve() if path else page
    if not to.exists():
        return f"link to {target}: there is no such file"
    if not to.is_relative_to(ROOT):
        return f"link to {target}: outside the repository"
    if anchor and to.suffix == ".md" and anchor not in anchors(to):
        return f"link to {target}: no such heading"
    return None


def code_in(text):
    """Code in a line, fenced and indented."""
    blocks = FENCE.findall(text) + INDENTED.findall(FENCE.sub("", text))
    return CODE.findall(FENCE.sub("", text)) + blocks


def exists(name):
    """Whether a path, or a pattern of paths, of the repository exists; a header
    of a package may be named as it is included, and a file without its ending."""
    name = name.rstrip(".,:;/")
    if "*" in name:
        return any(True for _ in ROOT.glob(name))
    return (ROOT / name).exists() or any(
        True for _ in ROOT.glob(name + ".*"))


def declared():
    """The text of every list of programs."""
    lists = [*ROOT.glob("tests/*.cmake"), *ROOT.glob("*/CMakeLists.txt")]
    return " ".join(p.read_text() for p in lists)


def bad_names(code, lists):
    for name in CONCEPT.findall(code):
        if not exists("packages/" + name):
            yield f"{name}: packages/ has no such file"
    for name in BENCH.findall(code):
        if not re.search(rf"\b{name}\b", lists):
            yield f"{name}: no list of programs has it"


def bad_paths(code):
    for name in PATH.findall(code):
        if not exists(name) and not PLACEHOLDER.search(name):
            yield f"{name}: there is no such file"


class Ctl:
    """What `shallotctl --help` says that it can do."""

    def __init__(self, program):
        self.commands, self.options = {}, set()
        if not program:
            return
        text = subprocess.run([program, "--help"], capture_output=True,
                              text=True, check=True,
                              timeout=HELP_SECONDS).stdout
        for line in text.splitlines():
            self.options |= set(re.findall(r"(?<![\w-])--?[a-z][a-z-]*", line))
            listed = re.match(r"  ([a-z]+)( [a-z]+)?\b.*?  ", line)
            if listed:
                self.commands.setdefault(listed[1], set()).add(
                    (listed[2] or "").strip())

    def wrong(self, arguments):
        """What is wrong with the arguments of one use of it."""
        if not self.commands:
            return
        words = re.findall(r"[^\s,;:)]+", arguments)
        if not words or re.match(r"[A-Z(\[<'\"]", words[0]):
            return
        if words[0][0] != "-":
            seconds = self.commands.get(words[0])
            if seconds is None:
                yield f"shallotctl {words[0]}: there is no such command"
            elif "" not in seconds and len(words) > 1 and \
                    words[1] not in seconds and words[1].islower():
                yield f"shallotctl {words[0]} {words[1]}: no such command"
        for word in words:
            option = word.split("=")[0].split("[")[0].strip("'\".")
            if re.fullmatch(r"--?[a-z][a-z-]*", option) and \
                    option not in self.options:
                yield f"shallotctl: there is no option {option}"


def faults_of(page, ctl, lists):
    text = page.read_text()
    for target in LINK.findall(FENCE.sub("", text)):
        fault = bad_link(page, target)
        if fault:
            yield fault
    for code in code_in(text):
        yield from bad_paths(code)
        yield from bad_names(code, lists)
        for use in CTL.findall(code):
            yield from ctl.wrong(use)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--ctl", help="the program whose commands are checked")
    ctl = Ctl(parser.parse_args().ctl)
    checked, lists, bad = pages(), declared(), 0
    for page in checked:
        for fault in sorted(set(faults_of(page, ctl, lists))):
            print(f"{page.relative_to(ROOT)}: {fault}")
            bad += 1
    print(f"{len(checked)} pages, {len(ctl.commands)} commands of shallotctl, "
          f"{bad} faults")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
