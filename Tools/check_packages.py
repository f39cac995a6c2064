"""Checks that the deploy file asks for no package that the tests don't build
with. Usage: check_packages.py"""
import pathlib
import sys
import tomllib

root = pathlib.Path(__file__).resolve().parent.parent
known = set((root / "Tools/packages.txt").read_text().split())
deploy = tomllib.loads((root / "deploy/system.toml").read_text())
unknown = set(deploy["packages"]) - known
if unknown:
    sys.exit(f"deploy/system.toml: not in Tools/packages.txt: {sorted(unknown)}")
print(f"packages: {len(known)}, {len(deploy['packages'])} of them deployed")
