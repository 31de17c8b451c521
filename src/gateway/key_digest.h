#pragma once

#include <buckthorncroft/routing/key_directory.h>
#include <string_view>

namespace buckthorncroft::gateway {

/// Returns the digest under which `KeyDirectory` holds `key`.
routing::KeyDigest digestOfKey(std::string_view key);

} // namespace buckthorncroft::gateway
