#ifndef POMELOHINGE_DRIVERS_PAGES_PAGE_SERVER_HPP
#define POMELOHINGE_DRIVERS_PAGES_PAGE_SERVER_HPP

#include <absl/status/status.h>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pomelohinge {

/// The HTTP answer to a request for a page.
struct page_reply
{
    int status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

/// The path of a request target, without the query.
std::string_view path_of(std::string_view target);

/// The decoded value of a query parameter; `nullopt` if the target does not
/// have it or its encoding is invalid.
std::optional<std::string> query_parameter(
    std::string_view target, std::string_view name);

/// A small HTTP server for the pages of a daemon: status, metrics, readiness
/// and the answers to entry questions. It runs on its context's thread.
class page_server
{
public:
    /// Answers a request for `target`. It may call `reply` later, on the same
    /// thread.
    using handler = std::function<void(
        std::string const& target, std::function<void(page_reply)> reply)>;

    page_server(asio::io_context& context, handler answer);
    ~page_server();

    /// Listens on `IP:PORT`. Returns `kUnavailable` if the address is in use,
    /// another error if it can never be bound.
    absl::Status listen(std::string const& address);

    /// Stops accepting connections.
    void stop();

private:
    class detail;
    std::unique_ptr<detail> detail_;
};

} // namespace pomelohinge

#endif
