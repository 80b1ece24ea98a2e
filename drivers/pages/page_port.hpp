#ifndef POMELOHINGE_DRIVERS_PAGES_PAGE_PORT_HPP
#define POMELOHINGE_DRIVERS_PAGES_PAGE_PORT_HPP

#include <absl/status/status.h>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pomelohinge {

struct page_reply
{
    int status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

/// The path of a request target, without the query.
std::string_view path_of(std::string_view target);

/// The value of a field of the query, decoded; nothing if absent.
std::optional<std::string> query_field(
    std::string_view target, std::string_view name);

/// A small HTTP server for pages: status, metrics, readiness and the entry
/// question.
class page_port
{
public:
    /// Answers a request target; the reply may come later, on the same
    /// thread.
    using handler = std::function<void(
        std::string const& target, std::function<void(page_reply)> reply)>;

    page_port(asio::io_context& context, handler answer);
    ~page_port();

    /// Listens on `IP:PORT`.
    absl::Status listen(std::string const& address);

    void stop();

private:
    class detail;
    std::unique_ptr<detail> detail_;
};

} // namespace pomelohinge

#endif
