#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace buckthorncroft::standin {

/// Faults that the store simulates.
enum class StoreFault {
    None,
    Returns503, ///< Every call gets status 503 and has no effect.
    NeverResponds, ///< Calls hang until the fault is cleared.
    DropsResponses, ///< Calls take effect, but their connection is closed without a response.
    RepeatsPages, ///< Every page claims that more rows follow.
};

/// In-memory substitute for the metadata store of the users' platform: rows in tables, a feed of changes, and atomic
/// writes. Listens on a free loopback port and uses one thread for each connection. Safe for concurrent use.
class RegistryStore {
public:
    RegistryStore()
        : m_acceptor(m_context, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_thread([this] { acceptLoop(); })
    {
    }
    RegistryStore(const RegistryStore&) = delete;
    RegistryStore& operator=(const RegistryStore&) = delete;

    ~RegistryStore()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = true;
            for (auto& it : m_sockets)
                shutDown(it);
        }
        m_changed.notify_all();
        // A connection to the acceptor unblocks `accept`.
        boost::system::error_code ec;
        Socket socket(m_context);
        socket.connect(m_acceptor.local_endpoint(), ec);
        m_thread.join();
        for (auto& it : m_connections)
            it.join();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// Writes a row. `encodedValue` is base64, as the clients of the store send it.
    void put(const std::string& table, const std::string& key, const std::string& encodedValue)
    {
        const std::lock_guard lock(m_mutex);
        writeRow(table, key, encodedValue, false);
    }

    /// Writes a row with the given JSON fields in place of its own, to simulate a store that returns invalid rows.
    void putFields(const std::string& table, const std::string& key, const nlohmann::json& fields)
    {
        const std::lock_guard lock(m_mutex);
        writeRow(table, key, "", false);
        m_tables[table][key].fields = fields;
    }

    /// Deletes a row; feeds report it as deleted.
    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        writeRow(table, key, "", true);
    }

    /// Discards the history of changes: feeds from earlier versions get status 410.
    void discardHistory()
    {
        const std::lock_guard lock(m_mutex);
        m_oldestVersion = ++m_version;
        m_changed.notify_all();
    }

    /// Simulates `fault` from now on, also for calls in progress.
    void setFault(StoreFault fault)
    {
        const std::lock_guard lock(m_mutex);
        m_fault = fault;
        m_changed.notify_all();
    }

    /// Returns the number of calls received so far.
    unsigned callCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_callCount;
    }

    /// Returns the number of reads of `table` received so far, including those that wait for a change.
    unsigned readCount(const std::string& table) const
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_readCounts.find(table);
        return it == m_readCounts.end() ? 0 : it->second;
    }

private:
    using Socket = boost::asio::ip::tcp::socket;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Json = nlohmann::json;

    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
        Json fields; ///< Replaces the fields of the row in responses unless it is null.
    };
    struct Response {
        unsigned status = 200;
        Json body = Json::object();
    };
    using Query = std::map<std::string, std::string>;

    static constexpr std::size_t maxPageRows = 500;

    static void shutDown(Socket& socket)
    {
        boost::system::error_code ec;
        socket.shutdown(Socket::shutdown_both, ec);
    }

    void acceptLoop()
    {
        while (true) {
            boost::system::error_code ec;
            Socket socket(m_context);
            m_acceptor.accept(socket, ec);
            const std::lock_guard lock(m_mutex);
            if (m_stopped)
                return;
            if (ec)
                continue;
            auto& stored = m_sockets.emplace_back(std::move(socket));
            m_connections.emplace_back([this, &stored] { serve(stored); });
        }
    }

    void serve(Socket& socket)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        while (true) {
            boost::system::error_code ec;
            Request request;
            http::read(socket, buffer, request, ec);
            if (ec)
                break;
            const auto result = handle(request);
            if (!result)
                break;
            http::response<http::string_body> response(static_cast<http::status>(result->status), 11);
            response.body() = result->body.dump();
            response.prepare_payload();
            http::write(socket, response, ec);
            if (ec)
                break;
        }
        shutDown(socket);
    }

    /// Returns nothing if the connection is to be closed without a response.
    std::optional<Response> handle(const Request& request)
    {
        std::unique_lock lock(m_mutex);
        ++m_callCount;
        m_changed.wait(lock, [this] { return m_stopped || m_fault != StoreFault::NeverResponds; });
        if (m_stopped)
            return std::nullopt;
        if (m_fault == StoreFault::Returns503)
            return Response { 503 };
        const std::string target(request.target());
        const auto path = target.substr(0, target.find('?'));
        ++m_readCounts[parameter(parseQuery(target), "table")];
        auto response = dispatch(path, parseQuery(target), request.body(), lock);
        if (m_stopped || m_fault == StoreFault::DropsResponses)
            return std::nullopt;
        return response;
    }

    Response dispatch(
        const std::string& path, const Query& query, const std::string& body, std::unique_lock<std::mutex>& lock)
    {
        if (path == "/buckthorncroft/rows-get")
            return readRows(query);
        if (path == "/buckthorncroft/rows-feed")
            return readFeed(query, lock);
        if (path == "/buckthorncroft/rows-tx")
            return writeRows(body);
        return { 404 };
    }

    static Query parseQuery(const std::string& target)
    {
        Query result;
        const auto begin = target.find('?');
        std::istringstream text(begin == std::string::npos ? "" : target.substr(begin + 1));
        for (std::string field; std::getline(text, field, '&');) {
            const auto separator = field.find('=');
            if (separator != std::string::npos)
                result[field.substr(0, separator)] = decodePercent(field.substr(separator + 1));
        }
        return result;
    }

    static std::string decodePercent(const std::string& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const bool isEscape = text[i] == '%' && i + 2 < text.size();
            result += isEscape ? static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)) : text[i];
            i += isEscape ? 2 : 0;
        }
        return result;
    }

    static std::string parameter(const Query& query, const std::string& name)
    {
        const auto it = query.find(name);
        return it == query.end() ? "" : it->second;
    }

    static Json rowJson(const std::string& table, const std::string& key, const Row& row)
    {
        if (!row.fields.is_null())
            return row.fields;
        Json result { { "table", table }, { "part", "" }, { "key", key }, { "ver", row.version } };
        if (row.isDeleted)
            result["deleted"] = true;
        else
            result["value"] = row.value;
        return result;
    }

    Response readRows(const Query& query) const
    {
        Response response;
        response.body = { { "ver", m_version }, { "now", 0 }, { "rows", Json::array() }, { "has_more", false } };
        const auto table = m_tables.find(parameter(query, "table"));
        if (table == m_tables.end())
            return response;
        for (auto it = table->second.lower_bound(parameter(query, "from")); it != table->second.end(); ++it) {
            if (it->second.isDeleted)
                continue;
            if (response.body["rows"].size() == maxPageRows) {
                response.body["has_more"] = true;
                break;
            }
            response.body["rows"].push_back(rowJson(table->first, it->first, it->second));
        }
        if (m_fault == StoreFault::RepeatsPages)
            response.body["has_more"] = true;
        return response;
    }

    Response readFeed(const Query& query, std::unique_lock<std::mutex>& lock)
    {
        const auto table = parameter(query, "table");
        const auto after = std::stoull(parameter(query, "after"));
        const std::chrono::milliseconds wait(std::stoul(parameter(query, "wait_ms")));
        m_changed.wait_for(
            lock, wait, [&] { return m_stopped || m_fault != StoreFault::None || newestVersion(table) > after; });
        if (after < m_oldestVersion)
            return { 410 };
        std::map<std::uint64_t, Json> changes;
        for (const auto& [key, row] : m_tables[table]) {
            if (row.version > after)
                changes.emplace(row.version, rowJson(table, key, row));
        }
        Response response;
        response.body = { { "ver", m_version }, { "now", 0 }, { "rows", Json::array() } };
        for (const auto& [version, row] : changes)
            response.body["rows"].push_back(row);
        return response;
    }

    std::uint64_t newestVersion(const std::string& table) const
    {
        std::uint64_t result = m_oldestVersion;
        if (const auto it = m_tables.find(table); it != m_tables.end()) {
            for (const auto& [key, row] : it->second)
                result = std::max(result, row.version);
        }
        return result;
    }

    Response writeRows(const std::string& body)
    {
        const auto call = Json::parse(body, nullptr, false);
        if (!call.is_object())
            return { 400 };
        for (const auto& it : call.value("expect", Json::array())) {
            const auto& row = m_tables[it.at("table")][it.at("key")];
            if ((row.isDeleted ? 0 : row.version) != it.at("ver"))
                return { 412 };
        }
        for (const auto& it : call.value("puts", Json::array()))
            writeRow(it.at("table"), it.at("key"), it.at("value"), false);
        for (const auto& it : call.value("deletes", Json::array()))
            writeRow(it.at("table"), it.at("key"), "", true);
        Response response;
        response.body["ver"] = m_version;
        return response;
    }

    void writeRow(const std::string& table, const std::string& key, const std::string& value, bool isDeleted)
    {
        m_tables[table][key] = { value, ++m_version, isDeleted, {} };
        m_changed.notify_all();
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables; ///< By table, then by key.
    std::uint64_t m_version = 1;
    std::uint64_t m_oldestVersion = 0; ///< Feeds from earlier versions get status 410.
    StoreFault m_fault = StoreFault::None;
    unsigned m_callCount = 0;
    std::map<std::string, unsigned> m_readCounts; ///< By table.
    bool m_stopped = false;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<Socket> m_sockets;
    std::list<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace buckthorncroft::standin
