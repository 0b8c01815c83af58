#!/usr/bin/env python3
"""Computes the tables of docs/CAPACITY.md from the committed measurements.

usage: capacity_page.py MEASUREMENTS.tsv PAGE.md [--check]

Writes the tables between the marks in the page; with --check, fails if the page's tables differ.
"""
import sys

from fit import fit, read

NODES = 350
PROGRAMS = 43000
CALLS_PER_SECOND = 4500
TOKENS_PER_SECOND = 1.1e6
CHANGES_A_DAY = 11000
TODAY_NODES = 9
TODAY_CALLS = 30
TODAY_TOKENS = 900
SHORT_TOKENS = 5
LONG_TOKENS = 60
BEGIN = "<!-- worked out from results/capacity.tsv -->"
END = "<!-- end -->"


def fitted_at(series, name, x):
    intercept, slope, _ = fit(series[name])
    return intercept + slope * x


def mean(series, name):
    return sum(y for _, y in series[name]) / len(series[name])


def table(series):
    idle_cpu = "idle_cpu_percent_of_core_a_node"
    largest = max(series[idle_cpu])[1]
    short_cpu = mean(series, "cpu_ms_a_program_short-answers")
    long_cpu = mean(series, "cpu_ms_a_program_long-answers")
    token_cpu = (long_cpu - short_cpu) / (LONG_TOKENS - SHORT_TOKENS)
    call_cpu = short_cpu - SHORT_TOKENS * token_cpu
    short_bytes = mean(series, "peer_bytes_a_program_short-answers")
    long_bytes = mean(series, "peer_bytes_a_program_long-answers")
    token_bytes = (long_bytes - short_bytes) / (LONG_TOKENS - SHORT_TOKENS)
    call_bytes = short_bytes - SHORT_TOKENS * token_bytes
    program_mb = fit(series["resident_mb_all_nodes"])[1]
    node_mb = series["idle_resident_mb_a_node"][-1][1]

    def node_data_cpu(nodes, calls, tokens):
        return (calls * call_cpu + tokens * token_cpu) / 10.0 / nodes

    rows = [
        ("control: processor of a node, % of a core", fitted_at(series, idle_cpu, TODAY_NODES), largest, "3.6", "measured at 9; the largest measured (81) stands for 350, as it falls with the count"),
        ("control: bytes a second of a node", fitted_at(series, "idle_bytes_a_second_a_node", TODAY_NODES), max(series["idle_bytes_a_second_a_node"])[1], "3,000", "as above; sent and received"),
        ("control: processor of the leader, % of a core", fitted_at(series, "idle_cpu_percent_of_core_leader", TODAY_NODES), fitted_at(series, "idle_cpu_percent_of_core_leader", NODES), "set aside", "line over 3 to 81 nodes"),
        ("control: bytes a second of the leader", fitted_at(series, "idle_bytes_a_second_leader", TODAY_NODES), fitted_at(series, "idle_bytes_a_second_leader", NODES), "set aside", "line over 3 to 81 nodes"),
        ("a change in force everywhere, s", fitted_at(series, "change_in_force_everywhere_seconds", TODAY_NODES), fitted_at(series, "change_in_force_everywhere_seconds", NODES), "8", "line over 3 to 81 nodes; includes the command's own polling"),
        ("memory of a node without programs, MB", node_mb, node_mb, "128", "does not grow with the count of nodes"),
        ("memory of a node's programs, MB", program_mb * 100 / TODAY_NODES * 1.0, program_mb * PROGRAMS / NODES, "(callers' data)", f"{program_mb * 1000:.3g} KB a program without its text; 100 programs today"),
        ("takeover of a lost VM, s", fitted_at(series, "takeover_seconds", 0), fitted_at(series, "takeover_seconds", PROGRAMS / NODES * TODAY_NODES), "3", "from the kill until every partition has an owner"),
        ("callers' data: processor of a node, % of a core", node_data_cpu(TODAY_NODES, TODAY_CALLS, TODAY_TOKENS), node_data_cpu(NODES, CALLS_PER_SECOND, TOKENS_PER_SECOND), "none given", f"{call_cpu:.3g} ms a call and {token_cpu:.3g} ms a token, summed over all nodes"),
        ("callers' data: bytes a second between nodes, of a node", (TODAY_CALLS * call_bytes + TODAY_TOKENS * token_bytes) / TODAY_NODES, (CALLS_PER_SECOND * call_bytes + TOKENS_PER_SECOND * token_bytes) / NODES, "none given", f"{call_bytes:.0f} bytes a call, {token_bytes:.0f} a token"),
    ]
    per_second = CHANGES_A_DAY / 86400
    change_cpu = max(y for _, y in series["change_cpu_ms_a_node"])
    change_bytes = max(y for _, y in series["change_bytes_a_node"])
    rows += [
        ("11,000 changes a day: processor of a node, % of a core", per_second * change_cpu / 10, per_second * change_cpu / 10, "3.6 with the above", f"{change_cpu:.3g} ms a change, the largest of 3 to 81 nodes"),
        ("11,000 changes a day: bytes a second of a node", per_second * change_bytes, per_second * change_bytes, "3,000 with the above", f"{change_bytes:.0f} bytes a change, the largest of 3 to 81 nodes; sent and received"),
        ("11,000 changes a day: processor of the leader, % of a core", per_second * fitted_at(series, "change_cpu_ms_leader", TODAY_NODES) / 10, per_second * fitted_at(series, "change_cpu_ms_leader", NODES) / 10, "set aside", "line over 3 to 81 nodes"),
    ]
    lines = ["| what | 9 nodes | 350 nodes | limit | from |", "|---|---|---|---|---|"]
    for name, today, later, limit, source in rows:
        lines.append(f"| {name} | {today:.3g} | {later:.3g} | {limit} | {source} |")
    return "\n".join(lines)


def main():
    measurements, page = sys.argv[1:3]
    text = open(page).read()
    before, rest = text.split(BEGIN)
    after = rest.split(END)[1]
    made = f"{before}{BEGIN}\n{table(read(measurements))}\n{END}{after}"
    if "--check" in sys.argv:
        if made != text:
            sys.exit(f"{page} does not follow from {measurements}; run capacity_page.py")
        print(f"{page} follows from {measurements}")
        return
    open(page, "w").write(made)


if __name__ == "__main__":
    main()
