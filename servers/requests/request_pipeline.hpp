#ifndef POMELOHINGE_SERVERS_REQUESTS_REQUEST_PIPELINE_HPP
#define POMELOHINGE_SERVERS_REQUESTS_REQUEST_PIPELINE_HPP

#include "core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace pomelohinge {

/// Decides when the requests of one connection start. A caller may send further
/// requests before the first one is answered (HTTP pipelining), and gets the
/// answers in the order of the requests.
///
/// Requests that may be repeated run at the same time. Any other one starts
/// only when all before it are answered, and none behind it starts before it is
/// answered: if the connection ends, the caller sends what was not answered
/// again, also what must run only once.
class request_pipeline
{
public:
    using request_number = std::uint64_t;
    /// Called with the time for which the request has waited.
    using start_callback = std::function<void(duration waited)>;

    /// Requests of one connection that run at the same time at most.
    static constexpr std::size_t max_running = 8;

    /// While the answers that wait for an earlier one exceed this, no further
    /// request starts.
    static constexpr std::size_t max_waiting_bytes = 1 << 20;

    /// The number of the request that is added next.
    request_number next_number() const { return last_added_ + 1; }

    /// Adds a request that was received behind all others. `start` is called
    /// when the request starts, which may be at once or never.
    void add(bool repeatable, time_point now, start_callback start);

    /// Records that a request is answered with this number of bytes, and starts
    /// those that may start now.
    void answered(
        request_number number, std::size_t answer_bytes, time_point now);

    /// Accepts no further request: one that is added later counts as not
    /// received. Those that wait still start.
    void close() { closed_ = true; }

    /// Starts no further request. Those that wait, or are added later, count as
    /// not received.
    void stop();

    /// Whether no request runs after this one, because the pipeline is closed:
    /// the connection closes behind its answer.
    bool is_last(request_number number) const
    {
        return closed_ && number == last_accepted_;
    }

    /// Whether this is the only request that is unanswered, and none behind it
    /// is answered already.
    bool is_only(request_number number) const
    {
        return requests_.size() == 1 && requests_.front().number == number;
    }

    /// Whether no request is unanswered.
    bool empty() const { return requests_.empty(); }

private:
    enum class stage { waiting, running, answered };

    struct entry
    {
        request_number number = 0;
        bool repeatable = false;
        stage at = stage::waiting;
        time_point added_at{};
        std::size_t answer_bytes = 0;
        start_callback start;
    };

    bool may_start(std::size_t position) const;
    void start_waiting(time_point now);

    /// Unanswered requests, and answered ones behind them.
    std::deque<entry> requests_;
    request_number last_added_ = 0;
    request_number last_accepted_ = 0;
    request_number last_started_ = 0;
    std::size_t running_ = 0;
    std::size_t waiting_bytes_ = 0;
    bool closed_ = false;
};

} // namespace pomelohinge

#endif
