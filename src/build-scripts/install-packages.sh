#!/usr/bin/env bash
# Installs the packages that the build and the tests need. Does nothing when all are present.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache make python3 clang-format clang-tidy
  libasio-dev libwebsocketpp-dev nlohmann-json3-dev libtomlplusplus-dev libcpp-httplib-dev
  libcli11-dev libhttp-parser-dev zlib1g-dev libboost-dev libboost-log-dev libssl-dev libxxhash-dev
  doctest-dev librapidcheck-dev spin coinor-libclp-dev coinor-libcoinutils-dev
)

missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ "${#missing[@]}" -gt 0 ] || exit 0

echo "installing: ${missing[*]}" >&2
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq >&2
apt-get install -y -qq "${missing[@]}" >&2
