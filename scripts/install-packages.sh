#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; does nothing when all are present.
set -euo pipefail
packages=(
    g++ cmake ninja-build pkg-config clang-format clang-tidy openssl
    libcxxtools-dev libgrpc++-dev libprotobuf-dev prometheus-cpp-dev libtomlplusplus-dev
    libboost-dev libboost-program-options-dev libboost-test-dev
    libfmt-dev librapidcheck-dev libxxhash-dev nlohmann-json3-dev libssl-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
