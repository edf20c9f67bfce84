#!/usr/bin/env bash
# The stand-ins of the review are Python modules that use the standard library
# only, and the scripts start no stand-in of the project. Nothing is compiled;
# this checks that the interpreter can load all of them.
cd "$(dirname "$0")/.." || exit 1
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.
exec python3 -c '
import importlib
for name in ("http", "store", "engine", "deployment", "cases"):
    importlib.import_module(f"review.standins.{name}")
print("the stand-ins of the review can be loaded")
'
