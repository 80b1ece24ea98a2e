#ifndef POMELOHINGE_DRIVERS_FRONT_REQUEST_BUFFERS_HPP
#define POMELOHINGE_DRIVERS_FRONT_REQUEST_BUFFERS_HPP

#include "drivers/front/request_scanner.hpp"
#include "servers/buffers/buffer_budget.hpp"
#include "servers/requests/refusal.hpp"

#include <asio/execution_context.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>

namespace pomelohinge {

/// Limits on the memory of the requests that are received on one thread.
struct request_buffer_limits
{
    /// Memory for all requests together.
    std::size_t total_bytes = std::numeric_limits<std::size_t>::max();
    /// A request that needs more is refused.
    std::size_t request_bytes = std::numeric_limits<std::size_t>::max();
};

/// The memory for the requests that callers send to one I/O context. A part of
/// it is kept for small requests, so that large ones cannot starve them.
class request_buffers : public asio::execution_context::service
{
public:
    using key_type = request_buffers;
    /// Encodes the complete HTTP response that refuses a request.
    using refusal_encoder =
        std::function<std::string(received_head const&, refusal const&)>;

    static inline asio::execution_context::id id;

    explicit request_buffers(asio::execution_context& context,
        request_buffer_limits limits = {}, refusal_encoder encode = {});

    /// The budget for a request that needs `bytes` in all as far as is known.
    buffer_budget& budget_for(std::size_t bytes)
    {
        return bytes <= max_small_bytes ? small_ : large_;
    }

    /// A request that needs at most this is not charged.
    static constexpr std::size_t max_uncharged_bytes = 16 << 10;
    /// Longest time for which a request waits for room before it is refused.
    static constexpr duration max_wait = std::chrono::seconds(1);

    /// Whether a request needs more than any may have.
    bool is_too_large(std::size_t bytes) const
    {
        return bytes > limits_.request_bytes;
    }

    /// Returns the complete HTTP response that refuses a request which needs
    /// `bytes` and has not been read completely.
    std::string refuse(received_head const& head, std::size_t bytes);

    buffer_usage const& large() const { return large_.usage(); }
    buffer_usage const& small() const { return small_.usage(); }
    std::uint64_t refused() const { return refused_; }

private:
    static constexpr std::size_t max_small_bytes = 256 << 10;
    /// Share of the memory that is kept for small requests.
    static constexpr std::size_t small_divisor = 8;

    void shutdown() override {}

    request_buffer_limits limits_;
    refusal_encoder encode_;
    buffer_budget small_;
    buffer_budget large_;
    std::uint64_t refused_ = 0;
};

/// The memory of the request that is being received on one connection.
class request_intake
{
public:
    /// Without `buffers`, nothing is charged.
    explicit request_intake(request_buffers* buffers = nullptr)
        : buffers_(buffers)
    {
    }

    request_buffers* buffers() const { return buffers_; }

    /// Returns how many of the bytes may be handled; see `request_scanner`.
    std::size_t receive(std::string_view bytes)
    {
        return buffers_ == nullptr ? bytes.size() : scanner_.scan(bytes);
    }

    /// Whether the caller waits for a "100 Continue".
    bool expects_continue() const { return scanner_.expects_continue(); }
    void mark_continue_sent() { scanner_.mark_continue_sent(); }

    /// Whether the request is malformed.
    bool is_malformed() const { return scanner_.is_malformed(); }

    /// Whether the request is large enough to be charged.
    bool needs_charge() const
    {
        return buffers_ != nullptr &&
            scanner_.needed_bytes() > request_buffers::max_uncharged_bytes;
    }

    /// Charges what the request needs, if it `needs_charge()`. Returns false if
    /// there is no room; `on_room` is called once there is.
    bool charge(std::function<void()> on_room);

    /// Whether the request needs more than any may have.
    bool is_too_large() const
    {
        return needs_charge() &&
            buffers_->is_too_large(scanner_.needed_bytes());
    }

    /// Hands over the charge of a request that is complete.
    buffer_charge take_charge();

    /// Returns the memory of a request that will not be completed.
    void abandon() { charge_ = {}; }

    /// Treats the request as malformed and returns its memory.
    void give_up()
    {
        scanner_.reject_request();
        abandon();
    }

    /// Gives up the request. Returns the HTTP response that refuses it.
    std::string refuse();

private:
    request_buffers* buffers_;
    request_scanner scanner_;
    buffer_charge charge_;
    /// The budget that `charge_` belongs to.
    buffer_budget* budget_ = nullptr;
};

} // namespace pomelohinge

#endif
