#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace buckthorncroft::membership {

/// An entry that a target publishes about itself in the registry.
struct TargetRecord {
    std::string id;
    std::string service;
    std::string host; ///< IP address.
    std::uint16_t port = 0;
    std::string zone; ///< Availability zone.
    unsigned slots = 1; ///< Requests that the target runs at the same time.
    bool draining = false; ///< The target leaves and accepts no new requests.
    std::chrono::milliseconds coldRemaining { 0 }; ///< Remaining time in which the target is slow after its start.
    std::uint64_t sequence = 0; ///< Increased by the target with each heartbeat of one lifetime.
    std::int64_t startedAtUnixMs = 0; ///< Start of the lifetime, in milliseconds of Unix time.
};

constexpr std::size_t maxNameBytes = 200; ///< Maximum length of an id, a service and a zone.
constexpr unsigned maxSlots = 65'535;
constexpr std::uint16_t maxPort = 65'535;
constexpr std::chrono::milliseconds maxColdTime { 3'600'000 };
constexpr std::int64_t maxUnixMs = 253'402'300'799'999; ///< End of the year 9999.

/// Whether `name` is an id, service or zone that may be used in headers and messages: 1 to `maxNameBytes` printable
/// ASCII characters without spaces.
bool isValidName(const std::string& name);

/// Whether `host` is the IP address of one host: neither unspecified nor a broadcast or multicast address.
bool isValidHost(const std::string& host);

/// Returns why requests cannot be sent by this record, with the field, its value and its bounds. Returns nothing if
/// they can be.
std::optional<std::string> findProblem(const TargetRecord& record);

} // namespace buckthorncroft::membership
