#!/usr/bin/env python3
"""Plays days of our own on the users' bench: each kind of trouble alone, and store, process and operator troubles together.

Usage: deploy/kinds.py BENCH SITE [--at-once N] [--why TEXT]

BENCH is the program that plays days, SITE a site file. Each kind strikes at the start of traffic, in the middle and
before the end of one day; each triple strikes together, twice. Prints a table: kind, rules broken, worth. Ends with
status 1 if a rule was broken or a day could not be played.
"""

import argparse
import itertools
import pathlib
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor

import rounds

# Seconds from the start of traffic, of some 34: the start, the middle, and right before the closing fault.
MOMENTS = [0.5, 12.0, 30.0]
# Kinds that any site may meet, whether or not its file lists them.
ALSO = [
    {"kind": "srv_slow", "share": 0.15, "x": 4.0, "for_s": 4.0},
    {"kind": "srv_cut", "share": 0.2, "for_s": 4.0},
    {"kind": "srv_cut", "share": 0.2, "for_s": 4.0, "how": "fronts"},
    {"kind": "replace_with_reuse", "share": 0.15},
    {"kind": "replace_with_reuse", "share": 0.15, "how": "drain"},
    {"kind": "scale_out", "share": 0.3, "gap_s": 2.0},
]
STORE = {"platform_down", "platform_slow", "platform_lost", "platform_compact"}
PROCESS = {"node_kill", "node_freeze", "herd_kill", "core_cut", "node_cut", "roll_term"}
OPERATOR = {"config_change", "config_storm", "revoke", "big_config", "hup"}
# What is planned work on a day; the rest are faults.
PLANNED = OPERATOR | {"release", "scale_in", "scale_out", "roll_term", "add_nodes", "replace_core"}


def title(trouble):
    """The kind, with its variant."""
    return " ".join(filter(None, [trouble["kind"], trouble.get("how", "")]))


def value(item):
    """A value in TOML."""
    return f'"{item}"' if isinstance(item, str) else str(item).lower() if isinstance(item, bool) else str(item)


def entry(trouble, at):
    """One strike of a trouble in TOML."""
    fields = {"at": at} | {key: item for key, item in trouble.items() if key != "at"}
    return "{ " + ", ".join(f"{key} = {value(item)}" for key, item in fields.items()) + " }"


def day(name, seed, troubles, moments):
    """A day on which all troubles strike at each of the moments."""
    strikes = [(trouble, at) for at in moments for trouble in troubles]
    plan = [entry(trouble, at) for trouble, at in strikes if trouble["kind"] in PLANNED]
    faults = [entry(trouble, at) for trouble, at in strikes if trouble["kind"] not in PLANNED]
    lists = f"plan = [{', '.join(plan)}]\nfaults = [{', '.join(faults)}]\n"
    closing = 'closing = { kind = "kill_all", down_s = 1.5 }\n' if seed % 3 == 0 else ""
    return f'[[day]]\nname = "{name}"\nslot = "trouble"\nseed = {seed}\none = 1.0\nzero = 0.0\n{closing}{lists}'


def play_own(bench, site, folder, seed, troubles, moments, why):
    """Plays one day of our own; returns its title, its worth and what went wrong."""
    name = f"own-{seed}"
    file = pathlib.Path(folder) / f"{name}.toml"
    file.write_text(day(name, seed, troubles, moments))
    told, output = rounds.play(bench, site, file, file.with_suffix(".json"), why)
    label = " + ".join(title(trouble) for trouble in troubles)
    if told is None:
        return label, "-", f"not played: {output!r}"
    return label, f"{told['G'] or 0.0:.3f}", ", ".join(rounds.broken(told))


def main():
    """Plays all days and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--why", default="each kind of trouble alone, and store, process and operator troubles together")
    args = parser.parse_args()
    known = tomllib.loads(pathlib.Path(args.site).read_text())["troubles"]
    days = [([trouble], MOMENTS) for trouble in known + ALSO]
    groups = [[trouble for trouble in known if trouble["kind"] in group] for group in (STORE, PROCESS, OPERATOR)]
    days += [(list(triple), MOMENTS[1:]) for triple in list(itertools.product(*groups))[::7]]
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(args.at_once) as pool:
        plays = [
            pool.submit(play_own, args.bench, args.site, folder, 1000 + number, troubles, moments, args.why)
            for number, (troubles, moments) in enumerate(days)
        ]
        results = [future.result() for future in plays]
    for label, worth, broken in results:
        print(f"{worth:>7}  {label}  {broken}".rstrip())
    bad = sum(bool(broken) for _, _, broken in results)
    print(f"{len(results)} days, {bad} with a rule broken or not played")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
