#!/usr/bin/env bash
# Installs what the build needs on a fresh Debian 12 machine. Does nothing where all of it is there.
set -euo pipefail
packages=(build-essential cmake ninja-build ccache clang clang-format clang-tidy clang-tools
  qt6-base-dev qt6-httpserver-dev qt6-websockets-dev qt6-scxml-dev
  thrift-compiler libthrift-dev libcli11-dev libfmt-dev zlib1g-dev libboost-dev nlohmann-json3-dev
  libgtest-dev libgmock-dev libbenchmark-dev librapidcheck-dev libclang-rt-14-dev python3 curl)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
