#ifndef POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_CLIENT_HPP
#define POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_CLIENT_HPP

#include "drivers/http/curl_loop.hpp"
#include "servers/dispatch/target_owner.hpp"

namespace pomelohinge {

/// Sends dispatched requests to upstreams over HTTP.
class upstream_client
{
public:
    /// Answers with a larger body than `most_answer_bytes` are not taken.
    upstream_client(curl_loop& http, std::size_t most_answer_bytes)
        : http_(http), most_answer_bytes_(most_answer_bytes)
    {
    }

    /// Sends `order` to the target. Returns the number for `cancel`.
    std::uint64_t send(target_object const& target, dispatch_order const& order,
        std::function<void(attempt_end)> on_end);

    void cancel(std::uint64_t id) { http_.cancel(id); }

    /// Asks the upstream's health endpoint.
    void probe(std::string const& address, std::function<void(bool)> on_end);

private:
    curl_loop& http_;
    std::size_t most_answer_bytes_;
};

/// Judges a finished call as the answer to `request_id`.
attempt_end judge_answer(
    http_result result, std::string const& request_id, bool must_echo);

} // namespace pomelohinge

#endif
