#pragma once

#include <buckthorncroft/config/model.h>
#include <buckthorncroft/health/evidence.h>
#include <buckthorncroft/membership/membership.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthorncroft::wire {

/// A target that is draining.
struct DrainingTarget {
    std::string target; ///< Target id.
    std::chrono::milliseconds age { 0 }; ///< Time since the target itself last indicated that it drains.
};

/// State of one service that an instance reports to another.
struct ServiceReport {
    std::string service;
    std::vector<health::EvidenceWindow> windows;
    std::optional<health::PooledScores> pooled; ///< Set only if the sender coordinates the service.
    std::chrono::milliseconds pooledAge { 0 }; ///< Time since `pooled` was computed.
    std::optional<std::vector<health::EjectedTarget>> ejected; ///< If set, replaces the set sent before.
    std::vector<DrainingTarget> draining; ///< Targets that have indicated that they drain.
};

/// Message that instances exchange regularly. Its reply has the same type.
struct Report {
    membership::Peer sender;
    std::uint64_t sequence = 0; ///< Increased by one with each report of a process.
    std::uint64_t configurationChange = 0; ///< Change number of the configuration that the sender uses.
    std::vector<ServiceReport> services;
    std::vector<membership::PeerContact> peers; ///< Some of the reachable peers; successive reports take turns.
};

/// A configuration that one instance sends to another.
struct ConfigurationDocument {
    std::uint64_t change = 0; ///< Change number; 0 if the peer has no newer configuration.
    std::string digest; ///< `config::contentDigest` of the text.
    std::string text; ///< Canonical TOML.
};

/// A request for a slot on a target.
struct PlaceRequest {
    std::string instance; ///< Instance that requests the slot.
    std::string service;
    config::RequestKind kind = config::RequestKind::Idempotent;
    std::vector<std::string> excluded; ///< Ids of the targets that earlier attempts used.
};

/// The slot that is granted, if any.
struct PlaceReply {
    std::string target; ///< Target id; empty if no slot is free.
    std::uint64_t grant = 0; ///< Identifies the slot when it is released.
};

/// Bounds of messages that this instance receives. A message that exceeds any of them is dropped whole.
struct MessageLimits {
    std::size_t maxBytes = 1 << 20; ///< Size of a request or an encoded report.
    std::size_t maxReplyBytes = 64u << 20; ///< Size of a reply, which may contain a configuration.
    std::size_t maxServices = 5000;
    std::size_t maxItems = 20'000; ///< Windows, scores, ejected and draining targets of all services together.
    std::size_t maxPeers = 1000; ///< Also bounds the excluded targets of a `PlaceRequest`.
    std::size_t maxNameBytes = 128; ///< Length of a name or an address.
    std::chrono::milliseconds maxAge { 600'000 }; ///< Bound of each age in a message.
};

} // namespace buckthorncroft::wire
