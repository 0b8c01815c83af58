#!/usr/bin/env python3
"""Plays days of the users' bench with several seeds and prints what callers got, as a table.

gateway_days.py BENCH --site FILE [--site FILE ...] [--days A,B] [--seeds 3] [--jobs 6] [--cpu] --why "..."

One line a day: the mean worth over the seeds, its spread, programs late and failed. The last line of a site is the
mean over its days with trouble. BENCH is the path of the bench's program; it is run in the current folder. Without
--cpu processor time is not charged, so that a run with the same seed mostly gives the same result and two source trees
can be compared seed by seed.
"""

import argparse
import concurrent.futures
import json
import pathlib
import re
import statistics
import subprocess
import sys
import tempfile


def days_of(site):
    """Returns the names of a site's days with faults, in file order."""
    names = re.findall(r'^\[\[day\]\]\s*^name = "([^"]+)"', pathlib.Path(site).read_text(), re.M)
    return [name for name in names if not name.startswith("quiet")]


def play(bench, site, day, seed, why, with_cpu):
    """Runs one day and returns its worth, its late and failed programs, and broken rules."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [bench, "run", site, day, "--jobs", "1", "--report", report.name, "--why", why]
        command += ["--seed", str(seed)] if seed else []
        command += [] if with_cpu else ["--no-cpu"]
        done = subprocess.run(command, capture_output=True, text=True)
        line = next((row for row in done.stdout.splitlines() if row.startswith(pathlib.Path(day).stem + " ")), None)
        if line is None:
            raise RuntimeError(f"{site} {day} seed {seed}: no result\n{done.stdout[-2000:]}{done.stderr[-500:]}")
        facts = json.load(open(report.name))
        total = facts["all"]
        return {
            "worth": float(line.split()[3]),
            "late": total["late"],
            "failed": total["failed"] + total["refused"],
            "programs": total["n"],
            "prices": total["worth"],
            "broken": sorted(facts["breaks"]),
        }


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("--site", action="append", required=True)
    parser.add_argument("--days", default="")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--cpu", action="store_true")
    parser.add_argument("--why", required=True)
    options = parser.parse_args()
    subprocess.run([options.bench, "build"], check=True, capture_output=True)
    plan = []
    for site in options.site:
        for day in options.days.split(",") if options.days else days_of(site):
            # Seed 0 selects the seed defined by the day.
            plan += [(site, day, seed) for seed in range(options.seeds)]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        jobs = {item: pool.submit(play, options.bench, *item, options.why, options.cpu) for item in plan}
        results = {item: job.result() for item, job in jobs.items()}
    for site in options.site:
        means = []
        name = pathlib.Path(site).stem
        for day in dict.fromkeys(item[1] for item in plan if item[0] == site):
            rows = [results[item] for item in plan if item[:2] == (site, day)]
            worth = [row["worth"] for row in rows]
            means.append(statistics.mean(worth))
            broken = sorted({rule for row in rows for rule in row["broken"]})
            print(f"{name:22} {pathlib.Path(day).stem:18} worth {means[-1]:.3f}  {min(worth):.3f} to {max(worth):.3f}  late"
                  f" {sum(r['late'] for r in rows):5}  failed {sum(r['failed'] for r in rows):5}  of"
                  f" {sum(r['programs'] for r in rows):6} {'BROKEN ' + ','.join(broken) if broken else ''}")
        print(f"{name:22} {'mean':18} worth {statistics.mean(means):.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
