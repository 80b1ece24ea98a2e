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

/// An HTTP request and the limits on its execution.
struct http_call
{
    std::string method = "GET";
    std::string url;
    std::vector<header_field> headers;
    std::string body;
    /// Time limit of the whole call, including connecting.
    duration timeout = std::chrono::seconds(5);
    duration connect_timeout = std::chrono::seconds(1);
    /// Open a new connection and close it after the call. The answer is then
    /// certainly that of this call, and not one too many of an earlier call.
    /// When a reused connection turns out to be closed, libcurl sends the
    /// request again, which is safe for idempotent requests only.
    bool own_connection = false;
    /// Limit on the body of the answer.
    std::size_t max_answer_bytes = 16 << 20;
};

/// A call on a connection of its own. Answers of stores do not name their call,
/// so no other call may share its connection. This also keeps libcurl from
/// repeating a write.
http_call make_own_call(std::string url, duration timeout);

/// How a call ended.
enum class http_end {
    /// A complete answer was received.
    answered,
    /// Nothing was sent.
    not_sent,
    timed_out,
    /// The connection ended before the answer was complete.
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

/// Returns `text` without the blanks at its ends.
std::string_view trimmed(std::string_view text);

/// The value of the first header with this name, ignoring case; empty if there
/// is none.
std::string_view find_header(
    std::vector<header_field> const& headers, std::string_view name);

/// The values of the headers with this name, ignoring case, without the blanks
/// at their ends, each once.
std::vector<std::string_view> distinct_values(
    std::vector<header_field> const& headers, std::string_view name);

/// Runs HTTP calls with libcurl on an Asio context. It may only be used on the
/// context's single thread, which also runs the callbacks.
class curl_loop
{
public:
    using callback = std::function<void(http_result)>;

    explicit curl_loop(asio::io_context& context);
    ~curl_loop();
    curl_loop(curl_loop const&) = delete;
    curl_loop& operator=(curl_loop const&) = delete;

    /// Starts a call and returns its id for `cancel`. The callback is called
    /// once, after this call has returned.
    std::uint64_t start(http_call call, callback on_end);

    /// Aborts a call and closes its connection. Its callback is called with
    /// `cancelled`.
    void cancel(std::uint64_t id);

    /// The number of calls that have not ended.
    std::size_t running() const;

private:
    class detail;
    std::unique_ptr<detail> detail_;
};

} // namespace pomelohinge

#endif
