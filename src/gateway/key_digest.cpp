#include "key_digest.h"

#include <algorithm>
#include <openssl/sha.h>

namespace buckthorncroft::gateway {

routing::KeyDigest digestOfKey(std::string_view key)
{
    unsigned char whole[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), whole);
    routing::KeyDigest result;
    std::copy_n(whole, result.size(), result.begin());
    return result;
}

} // namespace buckthorncroft::gateway
