#!/usr/bin/env python3
"""Prints what the gate looks at, a line a day, from reports that the bench kept with --json.

Usage: tools/gate.py REPORT.json …    e.g. after: lbreal score SITE --panel brink --seed 1 --json REPORT.json
Ends with 1 where a gate failed. What the bench's own line says of a day goes before this one.
"""
import json
import sys


def line(day):
    row, seen = day["row"], day["real"]["seen"]
    broken = ",".join(rule for rule, times in row["rules"].items() if times) or row["fault"] or "kept"
    restarts = sorted(second for node in seen["restart_s"] for second in (node if isinstance(node, list) else [node]))
    ready = f"{restarts[len(restarts) * 9 // 10]:.2f} s" if restarts else "-"
    waited, sent_on = seen["gone_waiting"]
    below = [f"{name} {got:.2f} of {least:.2f}" for name, got, least in row["by_class"] + row["by_tenant"] if got < least]
    return (
        f"{row['name']:26} {broken:6} served {row['served']:.2f} of {row['served_least']:.2f}"
        f"  ready {ready}  left {waited}, sent on {sent_on}  unserved closes {seen['closed_unserved']}"
        f"  over quota {day['prices']['over_quota']:.3f}  starved {max(row['starved'][0], 0):.3f}"
        f"  {row['memory_mb']} MB, {row['files']} descriptors  {'; '.join(below)}"
    )


def main(files):
    failed = False
    for file in files:
        with open(file) as report:
            report = json.load(report)
        failed |= not report["gate"]["passed"]
        print(f"{file}: score {report['score']:.3f}, gate {'passed' if report['gate']['passed'] else report['gate']['why']}")
        for day in report["days"]:
            print(line(day))
    return int(failed)


sys.exit(main(sys.argv[1:]))
