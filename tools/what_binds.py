#!/usr/bin/env python3
"""Puts each program that was late or cut off down to one cause, from logs alone.

what_binds.py LOG [LOG ...]

A log holds the JSON lines of all VMs; whatever stands before the first brace of a line is skipped. A program's time is
over when the caller's `left_ms` says so. Its requests are laid along its time: what exceeds the usual time of the same
kind of request, and every pause between two requests that is longer than programs pause by themselves, is time lost,
put down to what the logs show at that moment. The program's cause is the one that took the most of its time.
"""

import bisect
import collections
import json
import pathlib
import statistics
import sys
from datetime import datetime

# Normal pause between two requests, for tools or before a retry; longer pauses count as lost time.
USUAL_PAUSE_MS = 120
# Shorter losses are not attributed to a cause.
LEAST_LOSS_MS = 30
# Margin around an interval in which log events are considered related to it.
NOTICE_MARGIN_MS = 400
# A larger update age means that the entry has just started.
LONGEST_WITHOUT_LEADER_MS = 20_000
# Silence, in multiples of an entry's usual gap between log lines, after which it counts as failed.
SILENT_GAPS = 18
# Share of silent entries above which the whole system counts as down.
ALL_OFF_SHARE = 0.6

CAUSES = {
    "ledger": "the ledger's leader was lost or stood still",
    "place": "the turn waited for a place at an engine",
    "entry": "an entry was lost or stood still",
    "all-off": "everything was off",
    "engine-lost": "an engine did not answer, or broke off",
    "engine-slow": "an engine took longer than usual",
    "call-lost": "a plain call's answer was lost, or it failed",
    "call-slow": "a plain call took longer than usual",
    "way": "a pause that no log explains (connections, the caller's own way)",
    "queue": "no single loss: many small ones",
}


def usual_gap(times):
    """Returns the median gap between two log lines, in milliseconds."""
    return statistics.median(later - earlier for earlier, later in zip(times, times[1:])) if len(times) > 1 else 0


def read_lines(path):
    for line in pathlib.Path(path).read_text(errors="replace").splitlines():
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue
        event["at"] = datetime.fromisoformat(event["time"].replace("Z", "+00:00")).timestamp() * 1000
        yield event


class Day:
    def __init__(self, path):
        self.programs = collections.defaultdict(list)
        # Times of each VM's log lines, to detect silence, and of the ledger's events.
        self.seen = collections.defaultdict(list)
        self.ledger = []
        self.leaders = []
        # Intervals in which a VM's process was stalled, as reported by the process afterwards.
        self.stalls = collections.defaultdict(list)
        for event in read_lines(path):
            self.take(event)
        for times in self.seen.values():
            times.sort()
        self.usual = self.usual_times()
        self.usual_gaps = {vm: usual_gap(times) for vm, times in self.seen.items()}

    def take(self, event):
        kind = event["event"]
        if event["vm"].startswith("frontend") or kind == "request.end":
            self.seen[event["vm"]].append(event["at"])
        if kind == "request.end" and event.get("program") and "left_ms" in event:
            event["from"] = event["at"] - event["ms"]
            event["due"] = event["from"] + event["left_ms"]
            self.programs[event["program"]].append(event)
        elif kind in ("ledger.lost", "ledger.found"):
            # Just after a start, the update age includes the time before the start and indicates no lost leader.
            age = event.get("news_age_ms", 0)
            self.ledger.append([event["at"] - (age if age < LONGEST_WITHOUT_LEADER_MS else 0), event["at"]])
        elif kind == "process.stalled":
            self.stalls[event["vm"]].append((event["at"] - event["ms"], event["at"]))
        elif kind == "ledger.leader" and event.get("self_leads"):
            self.leaders.append(event["at"])

    def usual_times(self):
        times = collections.defaultdict(list)
        for requests in self.programs.values():
            for request in requests:
                if request["status"] == 200:
                    times[request["route"]].append(request["ms"] - request.get("waited_ms", 0))
        return {route: statistics.quantiles(all_ms, n=10)[6] for route, all_ms in times.items() if len(all_ms) > 10}

    def lost_leader(self, start, end):
        near = any(low <= end and start <= high for low, high in self.ledger)
        return near or any(start - NOTICE_MARGIN_MS <= at <= end + NOTICE_MARGIN_MS for at in self.leaders)

    def silent_entries(self, start, end):
        """Returns the number of entries without a log line in an interval and for much longer than usual around it.

        Comparing with the usual gap excludes entries that merely log rarely.
        """
        silent = 0
        for vm, times in self.seen.items():
            after = bisect.bisect_left(times, start)
            if after < len(times) and times[after] <= end:
                continue
            before = times[after - 1] if after > 0 else start
            silence = (times[after] if after < len(times) else end) - before
            silent += silence >= SILENT_GAPS * self.usual_gaps[vm]
        return silent

    def cause_of_pause(self, start, end):
        silent = self.silent_entries(start + USUAL_PAUSE_MS, end)
        if self.seen and silent >= ALL_OFF_SHARE * len(self.seen):
            return "all-off"
        return "entry" if silent else ("ledger" if self.lost_leader(start, end) else "way")

    def losses_of(self, request):
        """Returns the lost time of one request by cause."""
        is_turn = "waited_ms" in request
        waited = request.get("waited_ms", 0)
        start, end = request["from"], request["at"]
        if any(low <= end and start <= high for low, high in self.stalls[request["vm"]]):
            yield "entry", max(request["ms"], 1)
            return
        if waited > LEAST_LOSS_MS:
            yield ("ledger" if self.lost_leader(start, start + waited) else "place"), waited
        rest = request["ms"] - waited
        if request["status"] == 200:
            extra = rest - self.usual.get(request["route"], rest)
            if request.get("sends", 1) > 1 and extra > LEAST_LOSS_MS:
                yield ("engine-lost" if is_turn else "call-lost"), extra
            elif extra > LEAST_LOSS_MS:
                yield ("engine-slow" if is_turn else "call-slow"), extra
        elif request["status"] != 402:
            if request["cause"] in ("not-granted", "not-durable"):
                yield "ledger", max(rest, 1)
            else:
                yield ("engine-lost" if is_turn else "call-lost"), max(rest, 1)

    def explain(self, requests):
        lost = collections.Counter()
        requests.sort(key=lambda request: request["from"])
        covered = requests[0]["from"]
        for request in requests:
            if request["from"] - covered > USUAL_PAUSE_MS:
                lost[self.cause_of_pause(covered, request["from"])] += request["from"] - covered - USUAL_PAUSE_MS
            covered = max(covered, request["at"])
            for cause, ms in self.losses_of(request):
                lost[cause] += ms
        # The caller did not return, so nothing is recorded after its last request.
        due = statistics.median(request["due"] for request in requests)
        last = max(requests, key=lambda request: request["at"])
        if last["at"] < due and last["status"] != 200:
            lost[next(iter(dict(self.losses_of(last))), "way")] += due - last["at"]
        return lost, due, covered

    def report(self, name):
        late = collections.defaultdict(list)
        count = 0
        for requests in self.programs.values():
            if any(request["status"] == 402 for request in requests):
                continue
            lost, due, end = self.explain(requests)
            last = max(requests, key=lambda request: request["at"])
            if end <= due and last["status"] == 200:
                continue
            count += 1
            cause, ms = max(lost.items(), key=lambda item: item[1], default=("queue", 0))
            late[cause if ms >= LEAST_LOSS_MS else "queue"].append(ms)
        print(f"{name}: {count} of {len(self.programs)} programs late or cut off")
        print(f"  {'cause':12} {'programs':>8} {'p50 ms':>8} {'p95 ms':>8}")
        for cause, values in sorted(late.items(), key=lambda item: -len(item[1])):
            values.sort()
            p95 = values[int(len(values) * 0.95)] if len(values) > 1 else values[0]
            print(f"  {cause:12} {len(values):8} {statistics.median(values):8.0f} {p95:8.0f}  {CAUSES[cause]}")


def main():
    if len(sys.argv) < 2 or sys.argv[1].startswith("-"):
        print(__doc__)
        return 2
    for path in sys.argv[1:]:
        Day(path).report(pathlib.Path(path).stem)
    return 0


if __name__ == "__main__":
    sys.exit(main())
