#!/usr/bin/env python3
"""Prints what the gate of the platform's bench checks, a line for each day, from reports that `lbreal score` wrote.

Usage: tools/gate.py REPORT.json …    e.g. after: lbreal score SITE --panel brink --seed 1 --json REPORT.json
Exits with 1 where a gate failed. tools/sweep.sh calls it for each report of a panel.
"""
import json
import sys


def percentile_90(seconds):
    return f"{sorted(seconds)[len(seconds) * 9 // 10]:.2f} s" if seconds else "-"


def restart_seconds(nodes):
    """Seconds until a restarted node was ready: a number for each node, or a list of them."""
    return [second for node in nodes for second in (node if isinstance(node, list) else [node])]


def describe(day):
    """The line of a day."""
    row, observed = day["row"], day["real"]["seen"]
    violated = ",".join(rule for rule, count in row["rules"].items() if count) or row["fault"] or "kept"
    client_closed, forwarded_after_close = observed["gone_waiting"]
    groups = row["by_class"] + row["by_tenant"]
    below = [f"{name} {served:.2f} of {least:.2f}" for name, served, least in groups if served < least]
    return (
        f"{row['name']:26} {violated:6} served {row['served']:.2f} of {row['served_least']:.2f}"
        f"  ready {percentile_90(restart_seconds(observed['restart_s']))}"
        f"  clients closed {client_closed}, forwarded {forwarded_after_close}"
        f"  unserved closes {observed['closed_unserved']}"
        f"  over quota {day['prices']['over_quota']:.3f}  starved {max(row['starved'][0], 0):.3f}"
        f"  {row['memory_mb']} MB, {row['files']} descriptors  {'; '.join(below)}"
    )


def main(files):
    failed = False
    for file in files:
        with open(file) as text:
            report = json.load(text)
        gate = report["gate"]
        failed |= not gate["passed"]
        print(f"{file}: score {report['score']:.3f}, gate {'passed' if gate['passed'] else gate['why']}")
        for day in report["days"]:
            print(describe(day))
    return int(failed)


sys.exit(main(sys.argv[1:]))
