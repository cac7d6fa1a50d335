#!/usr/bin/env bash
# Installs the Debian packages of tools/packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  case "$package" in '' | '#'*) continue ;; esac
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [[ $status == *'ok installed'* ]] || missing+=("$package")
done < tools/packages.txt
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
"${as_root[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
