#ifndef POMELOHINGE_DRIVERS_FRONT_FRONT_SERVER_HPP
#define POMELOHINGE_DRIVERS_FRONT_FRONT_SERVER_HPP

#include "core/log.hpp"
#include "drivers/front/accept_limiter.hpp"
#include "drivers/front/front_dialect.hpp"
#include "drivers/front/front_socket.hpp"
#include "drivers/front/http_messages.hpp"
#include "drivers/http/endpoint.hpp"
#include "drivers/http/statuses.hpp"

#include <absl/status/status.h>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <netinet/tcp.h>
#include <poll.h>

namespace pomelohinge {

/// Callbacks that decide about received requests. They are called on the
/// server's thread.
struct front_handlers
{
    /// Starts a request. The callback is called once with the result. The
    /// server calls the returned function if the caller closes its side of the
    /// connection before that. A caller that has shut down its sending side
    /// only can still receive the result.
    std::function<std::function<void()>(
        incoming_request, std::function<void(entry_result)>)>
        request;
    /// Whether the request may be repeated, so that others received on its
    /// connection may run at the same time.
    std::function<bool(request_head const&)> is_repeatable;
    /// Answers an entry question about a data centre; an empty id stands for
    /// the VM's own.
    std::function<entry_answer(data_centre_id const&)> entries;
};

/// Limits on the requests that the server accepts.
struct front_limits
{
    /// Requests with larger bodies are refused before they reach a handler.
    std::size_t max_body_bytes = 1 << 20;
    /// Further connections wait until others are closed. The one that has been
    /// idle for longest is closed for each.
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
    /// Memory for all large requests together.
    std::size_t buffer_bytes = std::numeric_limits<std::size_t>::max();
};

/// The HTTP server for callers on one traffic thread. Callbacks run on that
/// thread. After the thread is started, the server may only be used on it.
template <FrontDialect Dialect>
class front_server
{
public:
    front_server(
        asio::io_context& context, front_handlers handlers, front_limits limits)
        : context_(context), handlers_(std::move(handlers)), limits_(limits),
          buffers_(asio::make_service<request_buffers>(context,
              request_buffer_limits{limits.buffer_bytes,
                  2 * limits.max_body_bytes + max_head_bytes},
              encode_whole_refusal))
    {
    }

    /// Listens on `IP:PORT`. The servers of several threads can share an
    /// address (SO_REUSEPORT). Returns `kUnavailable` if the address is in use,
    /// another error if it can never be bound.
    absl::Status listen(std::string const& address)
    {
        auto const endpoint = parse_endpoint(address);
        if (!endpoint)
            return absl::InvalidArgumentError(
                "\"" + address + "\" is not an IP:PORT");
        accepts_->set_max_connections(limits_.max_connections);
        accepts_->on_accepted([this] { make_room(); });
        accept_limiter::current() = accepts_;
        try {
            server_ = std::make_unique<server>(
                restinio::external_io_context(context_),
                settings_for(*endpoint));
            server_->open_sync();
        } catch (std::exception const& error) {
            server_.reset();
            acceptor_ = nullptr;
            return listen_status(address, error);
        }
        log(log_event::front_listening, {{"address", address}});
        return absl::OkStatus();
    }

    /// Closes each connection that gets a further answer, behind the answer to
    /// the last of its requests.
    void close_connections_after_answers() { closing_ = true; }

    /// Accepts the connections that are established and then stops listening.
    void stop_listening()
    {
        stops_listening_by_ = boottime_clock::now() + max_accept_time;
        accept_timer_.expires_after(max_accept_time);
        accept_timer_.async_wait([this](asio::error_code ec) {
            if (!ec)
                stop_listening_when_accepted();
        });
        accepts_->on_accepted([this] {
            asio::post(context_, [this] { stop_listening_when_accepted(); });
        });
        stop_listening_when_accepted();
    }

    /// The memory that large requests hold.
    request_buffers const& buffers() const { return buffers_; }

    /// Accepts connections again if accepting has failed, for instance since
    /// the process had no descriptor left. To be called periodically.
    void check_accepting()
    {
        if (!has_queued_connection()) {
            has_waited_ = is_limit_logged_ = is_failure_logged_ = false;
            return;
        }
        if (accepts_->is_at_limit()) {
            if (!std::exchange(is_limit_logged_, true))
                log(log_event::connections_limited,
                    {{"limit", limits_.max_connections}});
            return make_room();
        }
        is_limit_logged_ = false;
        bool const has_stopped = std::exchange(has_waited_, true) &&
            accepts_->accepted() == last_accepted_;
        last_accepted_ = accepts_->accepted();
        if (!has_stopped)
            return;
        if (!std::exchange(is_failure_logged_, true))
            log(log_event::accept_failed,
                {{"connections", accepts_->connections()}});
        // An accept that is still pending ends by this.
        asio::error_code ec;
        acceptor_->cancel(ec);
        accepts_->restart();
    }

    /// The number of requests without an answer, or with one that is still
    /// being sent. Those of which only a part has been received count while
    /// their bytes keep coming.
    std::size_t open_requests() const
    {
        return open_requests_ + *unsent_ +
            connection_state::count_receiving(
                boottime_clock::now() - max_receive_pause);
    }

private:
    static constexpr std::size_t max_head_bytes = 128 << 10;

    /// RESTinio detects that a caller has closed its connection only while it
    /// reads from the connection, so it reads one request more than a caller
    /// may send ahead.
    static constexpr std::size_t max_pipelined_requests = 17;

    static constexpr auto idle_timeout = std::chrono::seconds(120);
    static constexpr auto handling_timeout = std::chrono::minutes(11);
    /// Limit on writing a whole answer. A caller may read slowly, but steadily;
    /// one that reads nothing is disconnected by `stall_timeout`.
    static constexpr auto write_timeout = handling_timeout;
    /// Time for which a caller may take none of the bytes sent to it.
    static constexpr auto stall_timeout = std::chrono::seconds(60);
    /// How often connections are checked for these timeouts. Each check wakes
    /// the thread once per connection.
    static constexpr auto timeout_check_period = std::chrono::seconds(20);

    /// A request whose bytes stop coming for longer does not delay a stop.
    static constexpr duration max_receive_pause = std::chrono::seconds(1);

    /// Limit on accepting connections before listening stops, since new ones
    /// may be established all the time.
    static constexpr duration max_accept_time = std::chrono::milliseconds(500);

    using traits = front_traits;
    using server = restinio::http_server_t<traits>;
    using request_handle = restinio::request_handle_t;

    restinio::server_settings_t<traits> settings_for(
        asio::ip::tcp::endpoint const& endpoint)
    {
        using reuse_port =
            asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        using user_timeout =
            asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        restinio::server_settings_t<traits> settings;
        settings.address(endpoint.address())
            .port(endpoint.port())
            .timer_manager(timeout_check_period)
            .max_pipelined_requests(max_pipelined_requests)
            .read_next_http_message_timelimit(idle_timeout)
            .handle_request_timeout(handling_timeout)
            .write_http_response_timelimit(write_timeout)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}
                    .max_url_size(request_limits::url_bytes)
                    .max_field_name_size(request_limits::field_name_bytes)
                    .max_field_value_size(request_limits::field_value_bytes)
                    .max_field_count(request_limits::fields)
                    .max_body_size(request_limits::body_bytes))
            .acceptor_options_setter([](auto& options) {
                options.set_option(
                    asio::ip::tcp::acceptor::reuse_address(true));
                options.set_option(reuse_port(true));
            })
            .acceptor_post_bind_hook(
                [this](auto& acceptor) { acceptor_ = &acceptor; })
            .socket_options_setter([](auto& options) {
                options.set_option(asio::ip::tcp::no_delay(true));
                options.set_option(user_timeout(static_cast<int>(
                    std::chrono::milliseconds(stall_timeout).count())));
            })
            .request_handler([this](request_handle request) {
                return handle(std::move(request));
            });
        return settings;
    }

    /// Closing the listening socket resets the connections in its queue, so it
    /// stays open while RESTinio accepts them. To be called after each.
    void stop_listening_when_accepted()
    {
        if (acceptor_ == nullptr)
            return;
        bool const waits = has_queued_connection() &&
            !accepts_->is_at_limit() &&
            boottime_clock::now() < stops_listening_by_;
        if (waits)
            return;
        accept_timer_.cancel();
        server_->close_sync();
        acceptor_ = nullptr;
    }

    /// Closes an idle connection if one waits to be accepted at the limit.
    void make_room()
    {
        if (accepts_->is_at_limit() && has_queued_connection())
            connection_state::close_longest_idle(
                asio::use_service<connection_list>(context_));
    }

    bool has_queued_connection() const
    {
        if (acceptor_ == nullptr || !acceptor_->is_open())
            return false;
        pollfd queue{acceptor_->native_handle(), POLLIN, 0};
        return ::poll(&queue, 1, 0) > 0;
    }

    /// A received request and the connection that it was received on.
    struct open_request
    {
        request_handle request;
        std::shared_ptr<connection_state> connection;
        request_pipeline::request_number number = 0;
        std::string id;
        /// At the connection, while the request runs.
        std::uint64_t registration = 0;
        /// The caller has probably left, so a stop doesn't wait for the answer.
        bool cancelled = false;
        /// The memory that a large request holds.
        buffer_charge charge;
    };
    using open_request_pointer = std::shared_ptr<open_request>;

    restinio::request_handling_status_t handle(request_handle request)
    {
        auto const it = std::make_shared<open_request>();
        it->connection = connection_state::current()
            ? connection_state::current()
            : std::make_shared<connection_state>();
        it->connection->mark_received();
        it->charge = it->connection->intake().take_charge();
        it->request = std::move(request);
        std::string const target(it->request->header().request_target());
        if constexpr (Dialect::entries_at_front)
            if (auto const data_centre = Dialect::entry_question(target)) {
                add(it, true, [this, it, data_centre](duration) {
                    answer_entry_question(*it, *data_centre);
                });
                return restinio::request_accepted();
            }
        receive(it, target);
        return restinio::request_accepted();
    }

    void receive(open_request_pointer const& it, std::string const& target)
    {
        auto const& header = it->request->header();
        std::vector<header_field> headers;
        header.for_each_field([&](auto const& field) {
            headers.push_back(
                {std::string(field.name()), std::string(field.value())});
        });
        auto parsed = Dialect::parse(header.method().c_str(), target, headers);
        if (auto* const refused = std::get_if<refusal>(&parsed)) {
            log(log_event::request_refused,
                {{"request", ""}, {"kind", to_name(refused->kind)},
                    {"outcome", to_name(refused->result)},
                    {"detail", refused->detail}});
            return refuse(it, std::move(*refused));
        }
        auto& message = std::get<incoming_request>(parsed);
        it->id = message.head.request_id;
        auto const& body = it->request->body();
        if (body.size() > limits_.max_body_bytes)
            return refuse(it,
                {refusal_kind::body_too_large, outcome::not_run,
                    "a body may have " +
                        std::to_string(limits_.max_body_bytes) + " bytes",
                    {}});
        message.head.body_bytes = body.size();
        if (!body.empty())
            message.body =
                shared_body(std::shared_ptr<std::string const>(it, &body));
        bool const repeatable = handlers_.is_repeatable(message.head);
        add(it, repeatable,
            [this, it, repeatable,
                message = std::make_shared<incoming_request>(
                    std::move(message))](duration waited) {
                message->waited = waited;
                run(it, std::move(*message), repeatable);
            });
    }

    /// Adds a request to the pipeline of its connection.
    void add(open_request_pointer const& it, bool repeatable,
        request_pipeline::start_callback start)
    {
        auto& pipeline = it->connection->pipeline();
        it->number = pipeline.next_number();
        pipeline.add(repeatable, boottime_clock::now(), std::move(start));
        if (!it->request->header().should_keep_alive())
            pipeline.close();
    }

    void refuse(open_request_pointer const& it, refusal refused)
    {
        add(it, true, [this, it, refused = std::move(refused)](duration) {
            answer_refusal(*it, refused);
        });
    }

    void run(open_request_pointer const& it, incoming_request message,
        bool repeatable)
    {
        ++open_requests_;
        auto const ended = std::make_shared<bool>(false);
        auto const on_disconnected = std::make_shared<std::function<void()>>();
        it->registration = it->connection->begin_request(
            [this, it, repeatable, ended, on_disconnected] {
                bool const ends = (repeatable || it->connection->is_closed()) &&
                    !std::exchange(*ended, true);
                if (ends) {
                    --open_requests_;
                    it->connection->end_request(it->registration);
                }
                if (auto const callback = *on_disconnected)
                    callback();
                if (ends)
                    answer_cancelled(*it);
            });
        auto callback = handlers_.request(std::move(message),
            [this, it, ended, on_disconnected](entry_result result) {
                it->connection->end_request(it->registration);
                *on_disconnected = nullptr;
                if (std::exchange(*ended, true))
                    return;
                --open_requests_;
                answer(*it, std::move(result));
            });
        // The callback may hold what holds it, which only the result ends.
        if (!*ended)
            *on_disconnected = std::move(callback);
    }

    /// Answers a request that was cancelled since its caller has shut down its
    /// sending side. Most such callers have closed the connection.
    void answer_cancelled(open_request& it)
    {
        if (it.connection->is_closed())
            return;
        it.cancelled = true;
        answer_refusal(it,
            {refusal_kind::upstream_failed, outcome::unknown,
                "cancelled, since the caller has shut down its side of the "
                "connection",
                {}});
    }

    void answer_entry_question(
        open_request const& it, data_centre_id const& data_centre)
    {
        auto response = it.request->create_response(status_line(200));
        response.append_header("Content-Type", "application/json");
        finish(it, response,
            Dialect::encode_entry_answer(handlers_.entries(data_centre)));
    }

    void answer(open_request const& it, entry_result result)
    {
        if (auto const* const refused = std::get_if<refusal>(&result))
            return answer_refusal(it, *refused);
        if (auto* const recorded = std::get_if<recorded_answer>(&result)) {
            auto response =
                it.request->create_response(status_line(recorded->status));
            if (!recorded->content_type.empty())
                response.append_header("Content-Type", recorded->content_type);
            add_answer_headers(response, it.id);
            return finish(it, response, std::move(recorded->body));
        }
        auto& upstream = std::get<upstream_answer>(result);
        auto response =
            it.request->create_response(status_line(upstream.status));
        for (auto const& field : upstream.headers)
            if (!is_hop_by_hop(field.name) &&
                Dialect::forwards_header(field.name))
                response.append_header(field.name, field.value);
        add_answer_headers(response, it.id);
        finish(
            it, response, std::move(upstream.body), std::move(upstream.charge));
    }

    void answer_refusal(open_request const& it, refusal const& refused)
    {
        auto encoded = Dialect::encode_refusal(refused, it.id);
        auto response =
            it.request->create_response(status_line(encoded.status));
        for (auto const& field : encoded.headers)
            response.append_header(field.name, field.value);
        finish(it, response, std::move(encoded.body));
    }

    /// Encodes the refusal of a request that is not read completely.
    static std::string encode_whole_refusal(
        received_head const& head, refusal const& refused)
    {
        auto const parsed =
            Dialect::parse(head.method, head.target, head.headers);
        auto const* const message = std::get_if<incoming_request>(&parsed);
        std::string const id =
            message == nullptr ? "" : message->head.request_id;
        log(log_event::request_refused,
            {{"request", id}, {"kind", to_name(refused.kind)},
                {"outcome", to_name(refused.result)},
                {"detail", refused.detail}});
        auto const encoded = Dialect::encode_refusal(refused, id);
        auto const status = status_line(encoded.status);
        auto text = "HTTP/1.1 " + std::to_string(encoded.status) + " " +
            status.reason_phrase() + "\r\n";
        for (auto const& field : encoded.headers)
            text += field.name + ": " + field.value + "\r\n";
        return text + "Connection: close\r\nContent-Length: " +
            std::to_string(encoded.body.size()) + "\r\n\r\n" + encoded.body;
    }

    template <class Response>
    static void add_answer_headers(
        Response& response, std::string const& request_id)
    {
        for (auto const& it : Dialect::answer_headers(request_id))
            response.append_header(it.name, it.value);
    }

    /// Counts an answer as unsent while the returned object exists.
    std::shared_ptr<void> make_unsent_answer(open_request const& it)
    {
        auto const of_server =
            it.cancelled ? std::make_shared<std::size_t>(0) : unsent_;
        auto const& of_connection = it.connection->unsent_answers();
        ++*of_server;
        ++*of_connection;
        return {nullptr, [of_server, of_connection](std::nullptr_t) {
                    --*of_server;
                    --*of_connection;
                }};
    }

    /// Sends the answer. `charge` is returned once it is written.
    template <class Response>
    void finish(open_request const& it, Response& response, std::string body,
        buffer_charge charge = {})
    {
        auto& pipeline = it.connection->pipeline();
        bool const closes = closing_ || it.connection->is_close_requested();
        if (closes && pipeline.is_only(it.number))
            pipeline.close();
        auto unsent = make_unsent_answer(it);
        if (pipeline.is_last(it.number)) {
            response.connection_close();
            it.connection->set_last_answer(unsent);
        }
        auto const bytes = body.size();
        response.set_body(std::move(body));
        response.done([unsent = std::move(unsent),
                          held = std::make_shared<buffer_charge>(
                              std::move(charge))](auto const&) mutable {
            unsent = nullptr;
            held = nullptr;
        });
        pipeline.answered(it.number, bytes, boottime_clock::now());
        // No answer closes the connection if the last one was given before an
        // earlier one.
        if (closes && pipeline.empty())
            it.connection->request_close();
    }

    asio::io_context& context_;
    front_handlers handlers_;
    front_limits limits_;
    request_buffers& buffers_;
    std::unique_ptr<server> server_;
    /// Ends the wait of a stop for connections to be accepted.
    asio::steady_timer accept_timer_{context_};
    time_point stops_listening_by_{};
    /// The listening socket of `server_`.
    asio::ip::tcp::acceptor* acceptor_ = nullptr;
    std::shared_ptr<accept_control> accepts_ =
        std::make_shared<accept_control>();
    std::size_t last_accepted_ = 0;
    /// A connection waited to be accepted at the latest check.
    bool has_waited_ = false;
    bool is_limit_logged_ = false;
    bool is_failure_logged_ = false;
    std::size_t open_requests_ = 0;
    /// Answers that are not sent yet. The sockets that send them may outlive
    /// the server.
    std::shared_ptr<std::size_t> unsent_ = std::make_shared<std::size_t>(0);
    bool closing_ = false;
};

} // namespace pomelohinge

#endif
