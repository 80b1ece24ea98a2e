#ifndef POMELOHINGE_DRIVERS_HTTP_CURL_LOOP_HPP
#define POMELOHINGE_DRIVERS_HTTP_CURL_LOOP_HPP

#include "core/clock.hpp"
#include "servers/requests/request.hpp"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pomelohinge {

/// One HTTP request to send.
struct http_call
{
    std::string method = "GET";
    std::string url;
    std::vector<header_field> headers;
    std::string body;
    duration timeout = std::chrono::seconds(5);
    duration connect_timeout = std::chrono::seconds(1);
    /// Take a new connection instead of a kept one. Without it, libcurl
    /// sends a request again when a kept connection turns out to be dead,
    /// which only suits idempotent requests.
    bool fresh_connection = false;
    /// Without a first byte for so long on a kept connection, the call
    /// begins again on a new one; zero for never.
    duration kept_connection_patience{};
    /// Largest body of the answer, in bytes.
    std::size_t max_answer_bytes = 16 << 20;
};

/// How a call ended.
enum class http_end {
    /// A whole answer came.
    answered,
    /// Nothing was sent.
    not_sent,
    timed_out,
    /// The connection ended before the answer was whole.
    lost,
    too_large,
    cancelled,
};

template <>
inline constexpr auto name_table<http_end> = make_name_table<http_end>({
    {http_end::answered, "answered"},
    {http_end::not_sent, "not_sent"},
    {http_end::timed_out, "timed_out"},
    {http_end::lost, "lost"},
    {http_end::too_large, "too_large"},
    {http_end::cancelled, "cancelled"},
});
static_assert(is_ordered<http_end>());

struct http_result
{
    http_end end = http_end::not_sent;
    int status = 0;
    std::vector<header_field> headers;
    std::string body;
};

/// The value of a header, compared without case; empty if absent.
std::string_view find_header(
    std::vector<header_field> const& headers, std::string_view name);

/// Runs HTTP calls by libcurl on an Asio context. All of it, callbacks
/// included, runs on the context's one thread.
class curl_loop
{
public:
    using callback = std::function<void(http_result)>;

    explicit curl_loop(asio::io_context& context);
    ~curl_loop();
    curl_loop(curl_loop const&) = delete;
    curl_loop& operator=(curl_loop const&) = delete;

    /// Starts a call; the callback comes later, once.
    std::uint64_t start(http_call call, callback on_end);

    /// Ends a call early; its connection is closed, never used again, and
    /// its callback comes with `cancelled`.
    void cancel(std::uint64_t id);

    std::size_t running() const;

private:
    class detail;
    std::unique_ptr<detail> detail_;
};

} // namespace pomelohinge

#endif
