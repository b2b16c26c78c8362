"""Plays runs of the soak: `python -m processsoak --seed 1 --runs 10 [--large]`."""

import argparse
import asyncio
import sys

from processsoak import runs

SMALL = (3, 2)
LARGE = (7, 16)


def main():
    """Plays the runs one after the other; returns the exit code."""
    parser = argparse.ArgumentParser(prog="processsoak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--entries", type=int)
    parser.add_argument("--agents", type=int)
    options = parser.parse_args()
    entries, agents = LARGE if options.large else SMALL
    failed = 0
    for seed in range(options.seed, options.seed + options.runs):
        verdict = asyncio.run(
            runs.run_seed(seed, options.entries or entries, options.agents or agents)
        )
        print(verdict, flush=True)
        failed += bool(verdict.faults)
    print(f"{options.runs - failed} of {options.runs} runs without a fault")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
