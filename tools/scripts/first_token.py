#!/usr/bin/env python3
"""Compares the times to the first token of an engine that is called directly and through the system, in alternation.

SYNCED tells whether the system was started with synced writes (true or false).

usage: first_token.py ENGINE ENTRY SYNCED
"""
import http.client
import json
import sys
import time

ROUNDS = 400
# Regression bound on the ratio of the median time through the system to the direct one.
MAX_RATIO = 3.5
BODY = {"model": "stow-7b", "messages": [{"role": "user", "content": "draft the stowage"}], "max_tokens": 4, "stream": True}


def first_token_ms(connection, headers):
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
    engine_connection = http.client.HTTPConnection(engine)
    entry_connection = http.client.HTTPConnection(entry)
    headers = {"Content-Type": "application/json"}
    keyed_headers = dict(headers, Authorization="Bearer officer-key")
    direct_ms, through_ms = [], []
    for _ in range(ROUNDS):
        direct_ms.append(first_token_ms(engine_connection, headers))
        through_ms.append(first_token_ms(entry_connection, keyed_headers))
    added_p50 = percentile(through_ms, 0.5) - percentile(direct_ms, 0.5)
    added_p99 = percentile(through_ms, 0.99) - percentile(direct_ms, 0.99)
    mode = "with" if synced == "true" else "without"
    print(f"first token, {mode} disk sync: direct p50 {percentile(direct_ms, 0.5):.3f} ms p99 {percentile(direct_ms, 0.99):.3f} ms, "
          f"through the system p50 {percentile(through_ms, 0.5):.3f} ms p99 {percentile(through_ms, 0.99):.3f} ms, added p50 {added_p50:.3f} ms p99 {added_p99:.3f} ms")
    ratio = percentile(through_ms, 0.5) / percentile(direct_ms, 0.5)
    holds = ratio <= MAX_RATIO
    print(f"p50 through the system against direct: {ratio:.2f} {'holds' if holds else 'BROKEN'} (at most {MAX_RATIO})")
    if not holds:
        sys.exit(1)


if __name__ == "__main__":
    main()
