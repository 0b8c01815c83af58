#!/usr/bin/env python3
"""Attributes each program that was late or cut off to one cause, from logs alone.

what_binds.py LOG [LOG ...]

A log holds the JSON lines of all VMs; a prefix before the JSON object of a line is skipped. A program's deadline is
computed from the `left_ms` of its requests. Time is lost by waits, failures, requests that take longer than usual for
their route, and pauses between two requests that are longer than normal. Each loss is attributed to what the logs show
at that moment, and the program to the cause with the largest total loss.
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
MIN_LOSS_MS = 30
# Margin around an interval in which log events are considered related to it.
NOTICE_MARGIN_MS = 400
# A larger update age means that the entry has just started.
MAX_TIME_WITHOUT_LEADER_MS = 20_000
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


def usual_gap_ms(times):
    """Returns the median gap between two log lines, in milliseconds."""
    return statistics.median(later - earlier for earlier, later in zip(times, times[1:])) if len(times) > 1 else 0


def read_events(path):
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
        # Times of each VM's log lines, to detect silence.
        self.log_times = collections.defaultdict(list)
        # Intervals without a leader of the ledger, as entries reported them, and the times at which a VM began to lead.
        self.leader_losses = []
        self.leader_elections = []
        # Intervals in which a VM's process was stalled, as reported by the process afterwards.
        self.stalls = collections.defaultdict(list)
        for event in read_events(path):
            self.add_event(event)
        for times in self.log_times.values():
            times.sort()
        self.usual_ms = self.usual_times_ms()
        self.usual_gaps_ms = {vm: usual_gap_ms(times) for vm, times in self.log_times.items()}

    def add_event(self, event):
        kind = event["event"]
        if event["vm"].startswith("frontend") or kind == "request.end":
            self.log_times[event["vm"]].append(event["at"])
        if kind == "request.end" and event.get("program") and "left_ms" in event:
            event["from"] = event["at"] - event["ms"]
            event["due"] = event["from"] + event["left_ms"]
            self.programs[event["program"]].append(event)
        elif kind in ("ledger.lost", "ledger.found"):
            # Just after a start, the update age includes the time before the start and indicates no lost leader.
            age = event.get("news_age_ms", 0)
            self.leader_losses.append([event["at"] - (age if age < MAX_TIME_WITHOUT_LEADER_MS else 0), event["at"]])
        elif kind == "process.stalled":
            self.stalls[event["vm"]].append((event["at"] - event["ms"], event["at"]))
        elif kind == "ledger.leader" and event.get("self_leads"):
            self.leader_elections.append(event["at"])

    def usual_times_ms(self):
        """Returns the 70th percentile of the time of served requests by route, without waits for placement."""
        times = collections.defaultdict(list)
        for requests in self.programs.values():
            for request in requests:
                if request["status"] == 200:
                    times[request["route"]].append(request["ms"] - request.get("waited_ms", 0))
        return {route: statistics.quantiles(all_ms, n=10)[6] for route, all_ms in times.items() if len(all_ms) > 10}

    def is_leader_lost(self, start, end):
        near = any(low <= end and start <= high for low, high in self.leader_losses)
        return near or any(start - NOTICE_MARGIN_MS <= at <= end + NOTICE_MARGIN_MS for at in self.leader_elections)

    def silent_entries(self, start, end):
        """Returns the number of entries without a log line in an interval and for much longer than usual around it.

        Comparing with the usual gap excludes entries that merely log rarely.
        """
        silent = 0
        for vm, times in self.log_times.items():
            after = bisect.bisect_left(times, start)
            if after < len(times) and times[after] <= end:
                continue
            before = times[after - 1] if after > 0 else start
            silence = (times[after] if after < len(times) else end) - before
            silent += silence >= SILENT_GAPS * self.usual_gaps_ms[vm]
        return silent

    def cause_of_pause(self, start, end):
        silent = self.silent_entries(start + USUAL_PAUSE_MS, end)
        if self.log_times and silent >= ALL_OFF_SHARE * len(self.log_times):
            return "all-off"
        return "entry" if silent else ("ledger" if self.is_leader_lost(start, end) else "way")

    def losses_of(self, request):
        """Returns the lost time of one request by cause."""
        is_turn = "waited_ms" in request
        waited = request.get("waited_ms", 0)
        start, end = request["from"], request["at"]
        if any(low <= end and start <= high for low, high in self.stalls[request["vm"]]):
            yield "entry", max(request["ms"], 1)
            return
        if waited > MIN_LOSS_MS:
            yield ("ledger" if self.is_leader_lost(start, start + waited) else "place"), waited
        rest = request["ms"] - waited
        if request["status"] == 200:
            extra = rest - self.usual_ms.get(request["route"], rest)
            if request.get("sends", 1) > 1 and extra > MIN_LOSS_MS:
                yield ("engine-lost" if is_turn else "call-lost"), extra
            elif extra > MIN_LOSS_MS:
                yield ("engine-slow" if is_turn else "call-slow"), extra
        elif request["status"] != 402:
            if request["cause"] in ("not-granted", "not-durable"):
                yield "ledger", max(rest, 1)
            else:
                yield ("engine-lost" if is_turn else "call-lost"), max(rest, 1)

    def explain(self, requests):
        """Returns a program's lost time by cause, its deadline, and the end of its last request."""
        lost = collections.Counter()
        requests.sort(key=lambda request: request["from"])
        covered = requests[0]["from"]
        for request in requests:
            if request["from"] - covered > USUAL_PAUSE_MS:
                lost[self.cause_of_pause(covered, request["from"])] += request["from"] - covered - USUAL_PAUSE_MS
            covered = max(covered, request["at"])
            for cause, ms in self.losses_of(request):
                lost[cause] += ms
        # A caller that gave up sends nothing after its last request; the time left until the deadline counts as lost.
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
            late[cause if ms >= MIN_LOSS_MS else "queue"].append(ms)
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
