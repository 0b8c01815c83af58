"""Programs use two models, each a service of its own. All replicas of one of them crash, and the list drops them."""
import asyncio, os, sys, time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from lab import main  # noqa: E402

ENGINE = {"slots": 16, "key-value-tokens": 120000, "key-value-bytes": 18432, "link-mbps": 130000.0, "moves": True, "backups": True, "stride": 10,
          "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}
SERVICES = {"/plan/": "llm-plan", "/check/": "llm-check"}
CONFIGURATION = {
    "version": 3,
    "routes": [{"name": service, "host": "host.example", "path-prefix": prefix, "kind": "streaming", "timeout-ms": 4000, "target-latency-ms": 200,
                "priority": 0, "service": service, "max-attempts": 1, "retains-context": True, "retention-s": 60.0, "sticky-sessions": True,
                "resumable": False, "target-gap-ms": 200} for prefix, service in SERVICES.items()],
    "services": [{"name": service, "health-check-path": "/health", "max-connections": 180, "protocol": "h1", "transport-layer-security": False,
                  "engine": ENGINE} for service in SERVICES.values()],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
# Seconds of traffic, when the replica crashes, how long it is down, and how long the list goes on naming it.
TRAFFIC, CRASH_AT, DOWN_FOR, LISTED_FOR = 14.0, 4.0, 4.5, 1.5
PROGRAMS = 6


async def program(lab, number, until):
    """Turns of the main line at one model; after each, a sub-agent's turn at the other."""
    name, previous, turn = f"p{os.getpid()}-{number}", None, 0
    while time.monotonic() < until:
        common = {"Program": name, "Token-Budget": 100000, "Token-Usage": "300,40", "Model": "m", "Program-Time-Left": 60000}
        turn += 1
        request, status, _, _ = await lab.ask("POST", "/plan/x", {**common, "Session": f"{name}-main",
                                                                 **({"Previous-Turn": previous} if previous else {})}, b"plan %d;" % turn)
        previous = request if status == 200 else previous
        await asyncio.sleep(0.1)
        await lab.ask("POST", "/check/x", {**common, "Session": f"{name}-check-{turn}"}, b"check %d;" % turn)
        await asyncio.sleep(0.15)


async def crash(lab, replica):
    await asyncio.sleep(CRASH_AT)
    lab.record(f"replica {replica.id} crashes")
    replica.crash()
    await asyncio.sleep(LISTED_FOR)
    lab.listed.remove(replica)
    lab.record(f"the list no longer names {replica.id}")
    await asyncio.sleep(DOWN_FOR - LISTED_FOR)
    await lab.add_replica("llm-check")


async def scenario(lab, is_troubled):
    for _ in range(3):
        await lab.add_replica("llm-plan")
    replica = await lab.add_replica("llm-check")
    await lab.start()
    await lab.configure(CONFIGURATION)
    await lab.until_ready()
    await asyncio.sleep(2.0)
    until = time.monotonic() + TRAFFIC
    work = [program(lab, number, until) for number in range(PROGRAMS)]
    await asyncio.gather(*work, *([crash(lab, replica)] if is_troubled else []))
    broken = []
    for request, replicas in lab.runs.items():
        _, path = lab.sent[request]
        service = SERVICES["/" + path.split("/")[1] + "/"]
        broken += [f"ROUTE: {request} for {path} was run by {ran.id} of {ran.service}; the only service its route ever had is {service}"
                   for ran in replicas if ran.service != service]
    served = sum(status == 200 for status in lab.answers.values())
    lab.record(f"{len(lab.answers)} sent, {served} answered 200, {len(lab.runs)} run, {len(broken)} run by a service of another route")
    print(f"{len(lab.answers)} sent, {served} answered 200, {len(lab.runs)} run")
    if served < 20:
        broken.append("the deployment does not serve") if not is_troubled else None
    return broken


sys.exit(main(os.path.dirname(os.path.abspath(__file__)), scenario))
