#pragma once

#include <buckthorncroft/base/error.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthorncroft::store {

/// A row of the platform's transactional table.
struct Row {
    std::string key;
    std::string value;
    /// Increased by each write of the row. A version of a key is never reused, not even after the row was deleted;
    /// otherwise a delayed conditional delete could remove the row of a later writer.
    std::uint64_t version = 0;
};

/// A conditional write of a transaction. The transaction takes effect only if all of its conditions hold.
struct Write {
    std::string key;
    std::optional<std::string> value; ///< Deletes the row if not set.
    std::uint64_t expectedVersion = 0; ///< 0: the row must be absent.
};

/// An entry of the platform's instance list.
struct ListedInstance {
    std::string instance;
    std::string zone;
    std::string address; ///< host:port of the inner endpoint.
    bool leaving = false; ///< The instance has announced that it stops.
};

/// Interface of the platform's service: a transactional table, an object store and a list of the instances. Calls block
/// for at most `timeout`. Safe for concurrent use.
///
/// Errors: `Conflict` (a condition did not hold; nothing changed), `Unavailable` (refused; nothing changed), `Timeout`
/// and `OutcomeUnknown` (a write may have taken effect; read the row to find out), `Malformed` (invalid response; a
/// write may have taken effect), `LimitExceeded` (refused above the platform's rate; nothing changed).
class Platform {
public:
    Platform() = default;
    Platform(const Platform&) = delete;
    Platform& operator=(const Platform&) = delete;
    virtual ~Platform() = default;

    /// Returns the row, or `NotFound`. The result may be stale unless `linearizable` is true.
    virtual base::Result<Row> read(const std::string& key, bool linearizable, std::chrono::milliseconds timeout) = 0;

    /// Returns at most `limit` rows whose key starts with `prefix`, sorted by key. The result may be stale.
    virtual base::Result<std::vector<Row>> scan(
        const std::string& prefix, std::size_t limit, std::chrono::milliseconds timeout)
        = 0;

    /// Applies all writes in one transaction, or none of them.
    virtual base::Result<void> commit(const std::vector<Write>& writes, std::chrono::milliseconds timeout) = 0;

    /// Stores an immutable object. Storing the same content again succeeds; other content is a `Conflict`.
    virtual base::Result<void> putObject(
        const std::string& name, const std::string& content, std::chrono::milliseconds timeout)
        = 0;

    /// Returns the object's content, or `NotFound`.
    virtual base::Result<std::string> getObject(const std::string& name, std::chrono::milliseconds timeout) = 0;

    /// Returns the live instances, including those that are leaving. The list lags behind the instances' state.
    virtual base::Result<std::vector<ListedInstance>> listInstances(std::chrono::milliseconds timeout) = 0;
};

} // namespace buckthorncroft::store
