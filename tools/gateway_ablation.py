#!/usr/bin/env python3
"""Disables the gateway's mechanisms one at a time and plays the same days, to measure what each mechanism is worth.

gateway_ablation.py BENCH COPY --site FILE [--site FILE ...] [--seeds 3] [--jobs 4] [--only NAME,...]

COPY is a clone of this repository that the script may change. A mechanism is disabled by replacing a piece of its
source, so the product needs no settings for it. If the original text is no longer found, the run ends and names the
mechanism.
"""

import argparse
import pathlib
import subprocess
import sys

SERVICE = "src/gateway/cp_ledger_service.cpp"
PLACEMENT = "src/cardamompost/policy/cp_turn_placement.cpp"
FORWARDER = "src/gateway/cp_forwarder.cpp"
POOL = "src/gateway/cp_backend_pool.cpp"
ENTRY = "src/gateway/cp_entry_server.cpp"

# Name: (file, original text, replacement).
DISABLING_EDITS = {
    "elections by observed gaps": (SERVICE, "shortestElectionTimeout {100}", "shortestElectionTimeout {300}"),
    "a new leader tells entries": ("src/gateway/cp_ledger_client.cpp", "    watchMembers();\n", ""),
    "longer answers near dark directories": (
        "src/gateway/cp_gateway_settings.cpp", "defaultLifetimeUnreachableMs = 3000", "defaultLifetimeUnreachableMs = 300"),
    "silence of entries out of their own pattern": (
        "src/gateway/cp_presence_table.hpp", "Milliseconds(250), Milliseconds(900)", "Milliseconds(900), Milliseconds(900)"),
    "mute servers are left out": (FORWARDER, "unresponsiveAfter {900}", "unresponsiveAfter {900'000}"),
    "the leader places turns": (FORWARDER, "if (request.begin && request.tried.empty()) {", "if (false) {"),
    "programs stay with their engine": (PLACEMENT, "maxAffinityImbalance = 2.5", "maxAffinityImbalance = 0.0"),
    "new programs wait for a place": (PLACEMENT, "newProgramLoadLimit = 1.1", "newProgramLoadLimit = 1000"),
    "overdue reads go elsewhere": (
        FORWARDER, "    const RetryState *retryState = retryStateFor(request);\n    const bool canRetryElsewhere",
        "    const RetryState *retryState = nullptr;\n    const bool canRetryElsewhere"),
    "entries keep to near servers": (POOL, "preferredServers = 6", "preferredServers = 0"),
    "servers that lose requests are left out": (POOL, "failuresUntilEjection = 2", "failuresUntilEjection = 1'000'000"),
}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("copy", type=pathlib.Path)
    parser.add_argument("--site", action="append", required=True)
    parser.add_argument("--seeds", default="3")
    parser.add_argument("--jobs", default="4")
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    days = [sys.executable, "tools/gateway_days.py", options.bench, "--seeds", options.seeds, "--jobs", options.jobs]
    for site in options.site:
        days += ["--site", site]
    only = [name for name in options.only.split(",") if name]
    for name, edit in {"nothing": None, **DISABLING_EDITS}.items():
        if only and name not in only:
            continue
        print(f"== without: {name}", flush=True)
        if edit:
            path, old, new = options.copy / edit[0], edit[1], edit[2]
            source = path.read_text()
            if old not in source:
                print(f"the text to replace for '{name}' is not in {edit[0]}")
                return 1
            path.write_text(source.replace(old, new, 1))
        subprocess.run(days + ["--why", f"ablation, without: {name}"], cwd=options.copy, check=True)
        if edit:
            path.write_text(source)
    return 0


if __name__ == "__main__":
    sys.exit(main())
