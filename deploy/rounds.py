#!/usr/bin/env python3
"""Plays the standard days of sites on the users' bench with several seeds, and prints the worth of each.

Usage: deploy/rounds.py BENCH SITE... [--seeds 1,2,3] [--days trouble-1,...] [--at-once N] [--why TEXT] [--kinds] [--processor]

BENCH is the program that plays days, SITE a site file. Without --days, those with trouble (slots `trouble` and
`scale`) are played. Processor time is not counted, so that what a run shows repeats, unless --processor is given: then
it is measured, and fewer days should be played at once than there are cores. Prints for each site a table of
worth by day and seed with its mean and the rules broken; with --kinds, also the worth by kind of request. Ends with
status 1 if a rule was broken or a day could not be played.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile
import tomllib
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor

# Slots of the days with trouble.
TROUBLED = {"trouble", "scale"}


def days_of(site):
    """Names of a site's standard days with trouble."""
    known = tomllib.loads(pathlib.Path(site).read_text())["day"]
    return [day["name"] for day in known if day["slot"] in TROUBLED]


def play(bench, site, day, report, why, seed=None, processor=False):
    """Plays a standard day or one in a file; returns the report, or the end of the output where there is none."""
    seeded = ["--seed", str(seed)] if seed else []
    free = [] if processor else ["--no-cpu"]
    command = [bench, "run", site, str(day), *seeded, *free, "--jobs", "1", "--why", why, "--report", str(report)]
    played = subprocess.run(command, capture_output=True, text=True, check=False)
    if not report.exists():
        return None, (played.stdout + played.stderr)[-200:]
    return json.loads(report.read_text()), ""


def report(folder, site, day, seed):
    """Where the report of one play lies."""
    return pathlib.Path(folder) / f"{pathlib.Path(site).stem}-{day}-{seed}.json"


def broken(told):
    """What was broken on a day, in words."""
    rules = [f"{rule} {count}" for rule, count in told["breaks"].items()]
    return rules + ([f"fault {told['fault']}"] if told["fault"] else [])


def table(site, days, seeds, results, with_kinds):
    """Prints a site's table; returns its number of days that broke a rule or were not played."""
    bad = 0
    every = []
    kinds = defaultdict(list)
    print(pathlib.Path(site).stem)
    for day in days:
        row = []
        notes = []
        for seed in seeds:
            told, output = results[site, day, seed].result()
            if told is None:
                notes.append(f"seed {seed} not played: {output!r}")
                continue
            row.append(told["G"] or 0.0)
            notes += [f"seed {seed}: {what}" for what in broken(told)]
            for kind in told["classes"]:
                kinds[kind["name"]].append(kind["worth"])
        every += row
        bad += bool(notes)
        mean = sum(row) / max(len(row), 1)
        print(f"  {day:<12}{'  '.join(f'{worth:.3f}' for worth in row)}  mean {mean:.3f}  {'; '.join(notes)}".rstrip())
    print(f"  mean of {len(every)} days {sum(every) / max(len(every), 1):.4f}")
    if with_kinds:
        print("  " + "  ".join(f"{kind} {sum(list_) / len(list_):.3f}" for kind, list_ in kinds.items()))
    sys.stdout.flush()
    return bad


def main():
    """Plays all days and prints the tables."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--days", default="")
    parser.add_argument("--at-once", type=int, default=6)
    parser.add_argument("--why", default="standard days with several seeds")
    parser.add_argument("--kinds", action="store_true")
    parser.add_argument("--processor", action="store_true", help="count processor time")
    args = parser.parse_args()
    seeds = [int(seed) for seed in args.seeds.split(",")]
    bad = 0
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(args.at_once) as pool:
        days = {site: args.days.split(",") if args.days else days_of(site) for site in args.sites}
        results = {
            (site, day, seed): pool.submit(play, args.bench, site, day, report(folder, site, day, seed), args.why, seed, args.processor)
            for site in args.sites
            for day in days[site]
            for seed in seeds
        }
        for site in args.sites:
            bad += table(site, days[site], seeds, results, args.kinds)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
