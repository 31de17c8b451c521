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

/// A target that is leaving.
struct DrainingTarget {
    std::string target; ///< Target id.
    std::chrono::milliseconds age { 0 }; ///< Time since the target's own latest sign of it.
};

/// What one instance tells another about one service.
struct ServiceReport {
    std::string service;
    std::vector<health::EvidenceWindow> windows;
    std::optional<health::PooledScores> pooled; ///< Set by a coordinator of the service.
    std::chrono::milliseconds pooledAge { 0 }; ///< Time since `pooled` was evaluated.
    std::optional<std::vector<health::EjectedTarget>> ejected; ///< Replaces the set sent earlier.
    std::vector<DrainingTarget> draining; ///< Targets that the sender knows to be leaving by their own word.
};

/// One message of the exchange between instances, and its reply.
struct Report {
    membership::Peer sender;
    std::uint64_t sequence = 0; ///< Raised by one with each report of a process.
    std::uint64_t configurationChange = 0; ///< Change number that is in force at the sender.
    std::vector<ServiceReport> services;
    std::vector<membership::PeerContact> peers; ///< Peers that the sender heard from directly.
};

/// A configuration as one instance hands it to another.
struct ConfigurationDocument {
    std::uint64_t change = 0; ///< 0: the peer has nothing newer.
    std::string digest; ///< `config::contentDigest` of the text.
    std::string text; ///< Canonical TOML.
};

struct PlaceRequest {
    std::string instance;
    std::string service;
    config::RequestKind kind = config::RequestKind::Idempotent;
    std::vector<std::string> excluded; ///< Target ids that earlier attempts used.
};

struct PlaceReply {
    std::string target; ///< Target id; empty when no slot is free.
    std::uint64_t grant = 0;
};

/// Bounds of incoming messages. A message beyond any of them is dropped whole.
struct MessageLimits {
    std::size_t maxBytes = 1 << 20;
    std::size_t maxDocumentBytes = 64u << 20;
    std::size_t maxServices = 5000;
    std::size_t maxWindows = 20'000; ///< Per message.
    std::size_t maxPeers = 1000;
    std::size_t maxNameBytes = 128;
    std::chrono::milliseconds maxAge { 600'000 };
};

} // namespace buckthorncroft::wire
