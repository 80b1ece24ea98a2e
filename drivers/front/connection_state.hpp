#ifndef POMELOHINGE_DRIVERS_FRONT_CONNECTION_STATE_HPP
#define POMELOHINGE_DRIVERS_FRONT_CONNECTION_STATE_HPP

#include "core/log.hpp"
#include "drivers/front/connection_list.hpp"
#include "drivers/front/request_buffers.hpp"
#include "drivers/front/socket_queue.hpp"
#include "servers/requests/request_pipeline.hpp"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelohinge {

/// The state of one caller's connection. RESTinio neither notifies request
/// handlers when a caller closes its connection nor lets them answer a request
/// that it cannot parse; this class detects both. It is used on the
/// connection's traffic thread only, and shared by the socket and the requests
/// received on it.
class connection_state
{
public:
    /// Without `buffers` and `list`, requests are not charged and the
    /// connection makes no room.
    explicit connection_state(
        request_buffers* buffers = nullptr, connection_list* list = nullptr)
        : list_(list), intake_(buffers)
    {
    }
    ~connection_state()
    {
        detach();
        receiving().erase(this);
    }
    connection_state(connection_state const&) = delete;
    connection_state& operator=(connection_state const&) = delete;

    /// The number of connections of this thread on which a part of a request
    /// has been received, the latest bytes since `since`.
    static std::size_t count_receiving(time_point since)
    {
        return static_cast<std::size_t>(
            std::count_if(receiving().begin(), receiving().end(),
                [&](auto const& it) { return it.second >= since; }));
    }

    /// Records that bytes are read from the connection, or were written to it.
    /// `socket` is its socket until `detach`.
    void record_activity(asio::ip::tcp::socket& socket)
    {
        if (list_ == nullptr)
            return;
        active_at_ = boottime_clock::now();
        if (std::exchange(socket_, &socket) != nullptr)
            return list_->move_to_end(position_);
        position_ = list_->add(*this);
    }

    /// Records that the connection is being closed.
    void detach()
    {
        if (std::exchange(socket_, nullptr) != nullptr)
            list_->remove(position_);
    }

    /// Closes the connection that has been idle for longest, unless none has
    /// been idle for some time. A limited number of connections is examined;
    /// those with a request under way come last the next time.
    static void close_longest_idle(connection_list& connections)
    {
        auto const since = boottime_clock::now() - min_idle_time;
        auto const examined = std::min(connections.size(), max_examined);
        for (std::size_t n = 0; n < examined; ++n) {
            auto& it = connections.front();
            if (it.is_idle()) {
                if (it.active_at_ <= since)
                    it.make_room();
                return;
            }
            connections.move_to_end(it.position_);
        }
    }

    /// Whether the connection is closed only to make room for another one.
    bool makes_room() const { return makes_room_ && !has_last_answer_; }

    /// Gives up requests whose bytes have stopped coming and returns their
    /// memory. Their callers get a refusal.
    static void give_up_stalled()
    {
        auto const since = boottime_clock::now() - max_stall;
        std::vector<connection_state*> stalled;
        for (auto const& [it, at] : receiving())
            if (at <= since && it->holds_memory_)
                stalled.push_back(it);
        for (auto* const it : stalled)
            it->give_up();
    }

    /// Records that bytes are read for which memory is charged.
    void begin_charged_read()
    {
        if (!std::exchange(holds_memory_, true))
            receiving()[this] = boottime_clock::now();
    }

    /// Records that nothing is read until there is memory for it.
    void await_memory() { holds_memory_ = false; }

    /// The memory of the request that is being received.
    request_intake& intake() { return intake_; }

    /// Marks the bytes received so far as those of a complete request.
    void mark_received()
    {
        unhandled_bytes_ = 0;
        holds_memory_ = false;
        receiving().erase(this);
    }

    /// Registers a request that runs and returns its id. `on_disconnected` is
    /// called if the caller shuts down its sending side or closes the
    /// connection before `end_request`; twice if it does one after the other.
    std::uint64_t begin_request(std::function<void()> on_disconnected)
    {
        auto const id = ++last_id_;
        if (!closed_)
            on_disconnected_.emplace(id, std::move(on_disconnected));
        return id;
    }

    /// Unregisters a request, so that its callback is no longer called.
    void end_request(std::uint64_t id) { on_disconnected_.erase(id); }

    /// When the requests received on the connection start.
    request_pipeline& pipeline() { return pipeline_; }

    /// Keeps `answer` open until the caller has received all that was written.
    void set_last_answer(std::shared_ptr<void> answer)
    {
        receiving().erase(this);
        has_last_answer_ = true;
        last_answer_ = std::move(answer);
    }

    /// Whether an answer or a refusal closes the connection.
    bool has_last_answer() const { return has_last_answer_; }

    /// The other connections of the server.
    connection_list* list() const { return list_; }

    /// Records that the caller has received all that was written.
    void mark_delivered() { last_answer_ = nullptr; }

    /// Whether the caller has closed the connection.
    bool is_closed() const { return closed_; }

    /// Counts received bytes until a request handler has taken them.
    void add_received(std::string_view bytes)
    {
        unhandled_bytes_ += bytes.size();
        if (!bytes.empty())
            receiving()[this] = boottime_clock::now();
    }

    /// Whether the caller waits for a "100 Continue", which belongs behind the
    /// answers to its earlier requests.
    bool is_continue_due() const
    {
        return intake_.expects_continue() && is_answered();
    }

    /// The number of answers that are being written.
    std::shared_ptr<std::size_t> const& unsent_answers() const
    {
        return unsent_answers_;
    }

    /// Whether every request that was received has been answered.
    bool is_answered() const
    {
        return pipeline_.empty() && *unsent_answers_ == 0;
    }

    /// Asks for a close as soon as no request is unanswered.
    void request_close() { close_requested_ = true; }

    bool is_close_requested() const { return close_requested_; }

    /// Whether the connection is to be closed now, since no answer has closed
    /// it.
    bool is_close_due() const
    {
        return close_requested_ && is_answered() && unhandled_bytes_ == 0 &&
            !has_last_answer_ && !closed_;
    }

    /// Whether the caller has shut down its sending side.
    bool has_input_ended() const { return input_ended_; }

    /// Records that the caller has shut down its sending side. This may be the
    /// start of a close, so requests that can be cancelled end.
    void mark_input_ended()
    {
        input_ended_ = true;
        pipeline_.stop();
        for (auto const& [id, callback] : std::map(on_disconnected_))
            if (on_disconnected_.contains(id))
                callback();
    }

    /// Marks the connection as closed by the caller and calls the callback of
    /// every registered request, unless it is unregistered by another one's.
    void mark_closed_by_caller()
    {
        closed_ = true;
        receiving().erase(this);
        intake_.abandon();
        pipeline_.stop();
        while (!on_disconnected_.empty())
            on_disconnected_.extract(on_disconnected_.begin()).mapped()();
    }

    /// Whether the caller has not closed the connection, no request is
    /// unanswered and bytes were received that no request handler has taken.
    /// If the server closes the connection in this state, it has rejected a
    /// request without an answer.
    bool needs_refusal() const
    {
        return !closed_ && is_answered() && !has_last_answer_ &&
            (unhandled_bytes_ > 0 || intake_.is_malformed());
    }

    /// Whether all requests before a malformed one are answered.
    bool is_malformed_next() const
    {
        return intake_.is_malformed() && needs_refusal();
    }

    /// Records that the request that is being received gets a refusal, which
    /// closes the connection.
    void mark_refused()
    {
        mark_received();
        intake_.abandon();
        set_last_answer(nullptr);
    }

    /// The connection whose socket handler is running on this thread; null
    /// outside of socket handlers.
    static std::shared_ptr<connection_state>& current()
    {
        thread_local std::shared_ptr<connection_state> state;
        return state;
    }

private:
    /// Connections of this thread with a part of a request, and when its latest
    /// bytes came.
    static std::map<connection_state*, time_point>& receiving()
    {
        thread_local std::map<connection_state*, time_point> connections;
        return connections;
    }

    /// Time for which a connection is idle at least before it makes room. A
    /// caller that has just connected sends its request within it.
    static constexpr duration min_idle_time = std::chrono::seconds(1);
    /// Connections that are examined for each one that makes room.
    static constexpr std::size_t max_examined = 16;
    /// Time for which the bytes of a request may stop coming while others wait
    /// for its memory.
    static constexpr duration max_stall = std::chrono::seconds(5);

    /// Whether no request is under way, nothing has come that is unread and all
    /// that was written is delivered.
    bool is_idle() const
    {
        asio::error_code ec;
        return is_answered() && unhandled_bytes_ == 0 && !has_last_answer_ &&
            !close_requested_ && !input_ended_ && !intake_.is_malformed() &&
            socket_->available(ec) == 0 && is_delivered(*socket_);
    }

    void make_room()
    {
        makes_room_ = true;
        request_close();
        end_read();
    }

    void give_up()
    {
        log(log_event::request_refused,
            {{"request", ""}, {"kind", to_name(refusal_kind::malformed)},
                {"outcome", to_name(outcome::not_run)},
                {"detail", "its bytes stopped coming"}});
        holds_memory_ = false;
        receiving().erase(this);
        intake_.give_up();
        end_read();
    }

    void end_read()
    {
        asio::error_code ec;
        socket_->cancel(ec);
    }

    asio::ip::tcp::socket* socket_ = nullptr;
    connection_list* list_;
    connection_list::position position_{};
    time_point active_at_{};
    bool makes_room_ = false;
    bool holds_memory_ = false;
    std::uint64_t last_id_ = 0;
    std::size_t unhandled_bytes_ = 0;
    bool closed_ = false;
    bool input_ended_ = false;
    std::map<std::uint64_t, std::function<void()>> on_disconnected_;
    request_pipeline pipeline_;
    bool close_requested_ = false;
    bool has_last_answer_ = false;
    std::shared_ptr<void> last_answer_;
    std::shared_ptr<std::size_t> unsent_answers_ =
        std::make_shared<std::size_t>(0);
    request_intake intake_;
};

} // namespace pomelohinge

#endif
