#!/usr/bin/env bash
# Lays the operators' files that the bench wants beside the deployments here: bash deploy/sites/lay.sh [KIT]
# They are not ours to keep: git ignores them.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
kit=${1:-$here/../../../given/kit}
for file in real.json wire.json unlock.txt; do
    if [ ! -r "$kit/sites/$file" ]; then
        echo "lay.sh: no $file in $kit/sites: name the folder of the kit" >&2
        exit 1
    fi
done
for file in real.json wire.json unlock.txt; do
    install -m 644 "$kit/sites/$file" "$here/$file"
done
