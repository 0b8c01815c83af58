#!/usr/bin/env python3
"""Tests of tools/what_binds.py on generated logs."""

import json
import pathlib
import random
import sys
import tempfile
import unittest
from datetime import datetime, timedelta, timezone

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))
import what_binds

START = datetime(2026, 1, 1, tzinfo=timezone.utc)


def line(at_ms, vm, **fields):
    time = (START + timedelta(milliseconds=at_ms)).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return json.dumps({"time": time, "vm": vm, **fields}, separators=(",", ":"))


def request(at_ms, vm, program, ms=100, left_ms=1000, **fields):
    return line(at_ms, vm, event="request.end", id=f"{program}-{at_ms}", program=program, route="plans", status=200,
                cause="answered", ms=ms, left_ms=left_ms, sends=1, waited_ms=0, **fields)


def day_of(lines):
    with tempfile.NamedTemporaryFile("w", suffix=".log") as log:
        log.write("\n".join(lines))
        log.flush()
        return what_binds.Day(log.name)


class Pauses(unittest.TestCase):
    """A program pauses for 600 ms between two turns. Entry 0 serves it; 200 entries log rarely."""

    ENTRIES = 200
    GAP_MS = 120

    def rarely_logging_entries(self, frozen=()):
        # Each entry logs a line every GAP_MS on average; a frozen one logs none from 1.5 to 4.5 s.
        draw = random.Random(1)
        for number in range(self.ENTRIES):
            at = draw.expovariate(1 / self.GAP_MS)
            while at < 6000:
                if number not in frozen or not 1500 <= at <= 4500:
                    yield request(at, f"frontend-{number}", f"other-{number}-{at}")
                at += draw.expovariate(1 / self.GAP_MS)

    def cause(self, frozen=()):
        pause = [request(2000, "frontend-0", "p"), request(2700, "frontend-0", "p")]
        day = day_of([*self.rarely_logging_entries(frozen), *pause])
        lost, _, _ = day.explain(day.programs["p"])
        return max(lost, key=lost.get)

    def test_entries_that_log_rarely_are_not_considered_lost(self):
        self.assertEqual(self.cause(), "way")

    def test_a_frozen_entry_is_found_among_hundreds(self):
        self.assertEqual(self.cause(frozen={7}), "entry")

    def test_an_outage_of_all_entries_is_distinguished_from_a_lost_entry(self):
        self.assertEqual(self.cause(frozen=set(range(1, self.ENTRIES))), "all-off")


if __name__ == "__main__":
    unittest.main()
