#!/usr/bin/env python3
"""Times to the first token of an engine asked directly and through the system, alternating, in one run.

usage: first_token.py ENGINE ENTRY SYNCED
"""
import http.client
import json
import sys
import time

ROUNDS = 400
# Regression bound on the ratio of the median time through the system to the direct one.
LARGEST_RATIO = 3.5
BODY = {"model": "stow-7b", "messages": [{"role": "user", "content": "draft the stowage"}], "max_tokens": 4, "stream": True}


def first_token(connection, headers):
    start = time.perf_counter()
    connection.request("POST", "/v1/chat/completions", json.dumps(BODY), headers)
    response = connection.getresponse()
    while True:
        line = response.readline()
        if line.startswith(b"data:"):
            break
        if not line:
            sys.exit("a stream ended without a token")
    took = time.perf_counter() - start
    response.read()
    return took * 1000


def percentile(values, share):
    return sorted(values)[int(share * (len(values) - 1))]


def main():
    engine, entry, synced = sys.argv[1:4]
    direct = http.client.HTTPConnection(engine)
    through = http.client.HTTPConnection(entry)
    headers = {"Content-Type": "application/json"}
    keyed = dict(headers, Authorization="Bearer officer-key")
    alone, added = [], []
    for _ in range(ROUNDS):
        alone.append(first_token(direct, headers))
        added.append(first_token(through, keyed))
    median = percentile(added, 0.5) - percentile(alone, 0.5)
    tail = percentile(added, 0.99) - percentile(alone, 0.99)
    mode = "with" if synced == "true" else "without"
    print(f"first token, {mode} disk sync: direct p50 {percentile(alone, 0.5):.3f} ms p99 {percentile(alone, 0.99):.3f} ms, "
          f"through the system p50 {percentile(added, 0.5):.3f} ms p99 {percentile(added, 0.99):.3f} ms, added p50 {median:.3f} ms p99 {tail:.3f} ms")
    ratio = percentile(added, 0.5) / percentile(alone, 0.5)
    holds = ratio <= LARGEST_RATIO
    print(f"p50 through the system against direct: {ratio:.2f} {'holds' if holds else 'BROKEN'} (at most {LARGEST_RATIO})")
    if not holds:
        sys.exit(1)


if __name__ == "__main__":
    main()
