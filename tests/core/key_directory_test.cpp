#define BOOST_TEST_MODULE KeyDirectory
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/routing/key_directory.h>

#include <map>
#include <rapidcheck.h>

using namespace buckthorncroft::routing;

namespace {

KeyDigest digest(unsigned n)
{
    KeyDigest result {};
    result[0] = static_cast<std::uint8_t>(n);
    result[15] = static_cast<std::uint8_t>(n >> 8);
    return result;
}

} // namespace

// Guards against keys that are not found, that are found without having been added, or that pass to a later owner.
BOOST_AUTO_TEST_CASE(findsTheFirstOwnerOfEachKey)
{
    BOOST_TEST(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& added) {
        std::vector<KeyOwner> owners;
        std::map<unsigned, std::uint32_t> expected;
        std::size_t conflicts = 0;
        for (const auto& [key, workspace] : added) {
            owners.push_back({ digest(key), workspace });
            const auto it = expected.emplace(key, workspace).first;
            conflicts += it->second != workspace;
        }
        const KeyDirectory directory(owners);
        RC_ASSERT(directory.size() == expected.size());
        RC_ASSERT(directory.conflicts().size() == conflicts);
        for (unsigned n = 0; n < 512; ++n) {
            const auto it = expected.find(n);
            const auto found = directory.find(digest(n));
            RC_ASSERT(found == (it == expected.end() ? std::nullopt : std::optional(it->second)));
        }
    }));
}

// Guards against a log text that depends on the sign of `char`, and against one that shows the whole digest.
BOOST_AUTO_TEST_CASE(shortTextHasEightDigits)
{
    BOOST_TEST(shortText({ 0xfe, 0x01, 0x80, 0x0a, 0xff }) == "fe01800a");
}
