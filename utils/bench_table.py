#!/usr/bin/env python3
"""Prints docs/bench.md from the runs of the users' bench in journal/: for each site, one table of
its score runs and one with a row per day of the latest run; then one table of all hunts."""

import glob
import json
import os

SITES = ["phca-mesh-grown", "tfr-heizleit-grown", "lensfold-prod-now-grown", "bluemahoe-mesh",
         "bluemahoe-mesh-grown", "lensfold-prod-large", "lensfold-prod", "mavro-mesh",
         "lensfold-prod-grown", "mavro-mesh-grown"]
MAX_PRICES = 3  # per day, the highest first


def load_entries():
    root = os.path.join(os.path.dirname(__file__), "..", "journal")
    for path in sorted(glob.glob(os.path.join(root, "*.json"))):
        with open(path, encoding="utf-8") as file:
            yield json.load(file)


def format_prices(day):
    highest = sorted(day["prices"], key=lambda price: -price[2])[:MAX_PRICES]
    # Leaves out prices that would be printed as 0.000.
    return ", ".join(f"{name} {part:.3f}" for name, _, part in highest if part >= 0.0005)


def name_days(entry):
    return next((kind for kind in ("small", "quick") if f"--{kind}" in entry["argv"]), "all")


def print_scores(site, scores):
    print(f"## {site}\n")
    print("| run | days | base commit | score | gate | rules broken | why |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for entry in scores:
        broken = sorted({rule for day in entry["days"] for rule in day["rules"]})
        gate = "passed" if all(day["gate"] for day in entry["days"]) else "failed"
        commit = entry["head"][:7] + ("+" if entry["dirty"] else "")
        print(f"| {entry['id']} | {name_days(entry)} | {commit} | {entry['score']:.3f} | {gate} | "
              f"{', '.join(broken) or '-'} | {entry['why']} |")
    # The days of a small twin can't be compared with those of the site.
    latest = [entry for entry in scores if name_days(entry) != "small"][-1]
    print(f"\nDays of run {latest['id']}:\n")
    print("| day | score | worth | served | refused | failed | longest prices |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for day in latest["days"]:
        score = "-" if day["score"] is None else f"{day['score']:.2f}"
        print(f"| {day['name']} | {score} | {day['G']:.3f} | {day['served']:.3f} | "
              f"{day['refused']:.3f} | {day['failed']:.3f} | {format_prices(day)} |")
    print()


def main():
    scores = {}
    hunts = {}
    for entry in load_entries():
        if not entry["ok"] or not entry["site"]:
            continue
        if entry["cmd"] == "score":
            scores.setdefault(entry["site"], []).append(entry)
        elif entry["cmd"] == "hunt":
            days, broken = hunts.get(entry["site"], (0, 0))
            hunts[entry["site"]] = (days + len(entry["days"]),
                                    broken + sum(bool(day["rules"]) for day in entry["days"]))
    print("# Figures of the users' bench\n")
    print("Made by `utils/bench_table.py` from `journal/`. A `+` behind a commit: changes on top of it were not yet")
    print("committed. A change under 0.03 is noise. Only runs on one machine can be compared: those of f96283c and of the")
    print("incident sitting are from an arm64 machine, earlier ones and those of the broken answers and review 2 sittings from x86-64.\n")
    for site in SITES:
        if site in scores:
            print_scores(site, scores[site])
    print("## Hunts\n")
    print("| site | days played | days with a rule broken |")
    print("| --- | --- | --- |")
    for site, (days, broken) in sorted(hunts.items()):
        print(f"| {site} | {days} | {broken} |")


if __name__ == "__main__":
    main()
