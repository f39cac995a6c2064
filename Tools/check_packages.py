"""Checks that all packages of the deploy file are in Tools/packages.txt too.

Otherwise the deployment could build with packages that the tests don't use.
Usage: check_packages.py
"""
import pathlib
import sys
import tomllib

root = pathlib.Path(__file__).resolve().parent.parent
installed = set((root / "Tools/packages.txt").read_text().split())
deploy = tomllib.loads((root / "deploy/system.toml").read_text())
missing = set(deploy["packages"]) - installed
if missing:
    sys.exit(f"deploy/system.toml: not in Tools/packages.txt: {sorted(missing)}")
print(f"packages: {len(installed)}, {len(deploy['packages'])} of them deployed")
