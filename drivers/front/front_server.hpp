#ifndef POMELOHINGE_DRIVERS_FRONT_FRONT_SERVER_HPP
#define POMELOHINGE_DRIVERS_FRONT_FRONT_SERVER_HPP

#include "core/log.hpp"
#include "drivers/front/front_dialect.hpp"
#include "drivers/front/front_socket.hpp"
#include "drivers/front/http_messages.hpp"
#include "drivers/http/endpoint.hpp"
#include "drivers/http/statuses.hpp"

#include <absl/status/status.h>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace pomelohinge {

/// Callbacks that decide about received requests. They are called on the
/// server's thread.
struct front_handlers
{
    /// Starts a request. The callback is called once with the result. The
    /// server calls the returned function if the caller closes the connection
    /// before that.
    std::function<std::function<void()>(
        incoming_request, std::function<void(entry_result)>)>
        request;
    /// Answers an entry question about a data centre; an empty id stands for
    /// the VM's own.
    std::function<entry_answer(data_centre_id const&)> entries;
};

/// Limits on the requests that the server accepts.
struct front_limits
{
    /// Requests with larger bodies are refused before they reach a handler.
    std::size_t max_body_bytes = 1 << 20;
};

/// The HTTP server for callers on one traffic thread. Callbacks run on that
/// thread. After the thread is started, the server may only be used on it.
template <FrontDialect Dialect>
class front_server
{
public:
    front_server(
        asio::io_context& context, front_handlers handlers, front_limits limits)
        : context_(context), handlers_(std::move(handlers)), limits_(limits)
    {
    }

    /// Listens on `IP:PORT`. The servers of several threads can share an
    /// address (SO_REUSEPORT). Returns an error if the address is not valid
    /// or cannot be bound.
    absl::Status listen(std::string const& address)
    {
        auto const endpoint = parse_endpoint(address);
        if (!endpoint)
            return absl::InvalidArgumentError(
                "\"" + address + "\" is not an IP:PORT");
        try {
            server_ = std::make_unique<server>(
                restinio::external_io_context(context_),
                settings_for(*endpoint));
            server_->open_sync();
        } catch (std::exception const& error) {
            return absl::UnavailableError(
                "cannot listen on " + address + ": " + error.what());
        }
        log(log_event::front_listening, {{"address", address}});
        return absl::OkStatus();
    }

    /// Makes every further answer close its connection.
    void close_connections_after_answers() { closing_ = true; }

    /// Stops accepting connections.
    void stop_listening()
    {
        if (server_ != nullptr)
            server_->close_sync();
    }

    /// The number of requests that are not answered yet.
    std::size_t open_requests() const { return open_requests_; }

private:
    /// Limits on the head of a request. RESTinio closes the connection of a
    /// request that exceeds them; `front_socket` sends a refusal before that.
    static constexpr std::size_t max_url_bytes = 8 << 10;
    static constexpr std::size_t max_field_name_bytes = 256;
    static constexpr std::size_t max_field_value_bytes = 16 << 10;
    static constexpr std::size_t max_fields = 128;

    /// Bodies above `front_limits::max_body_bytes` are read and then refused;
    /// bodies above this limit are not read.
    static constexpr std::uint64_t max_body_bytes_read = 32 << 20;

    /// RESTinio detects that a caller has closed its connection only while it
    /// reads from the connection. If it accepts two pipelined requests, it
    /// keeps reading while the first one is handled.
    static constexpr std::size_t max_pipelined_requests = 2;

    static constexpr auto idle_timeout = std::chrono::seconds(120);
    static constexpr auto handling_timeout = std::chrono::minutes(11);
    /// How often connections are checked for these timeouts. Each check wakes
    /// the thread once per connection.
    static constexpr auto timeout_check_period = std::chrono::seconds(20);

    struct traits : restinio::default_single_thread_traits_t
    {
        using stream_socket_t = front_socket;
    };

    using server = restinio::http_server_t<traits>;
    using request_handle = restinio::request_handle_t;

    restinio::server_settings_t<traits> settings_for(
        asio::ip::tcp::endpoint const& endpoint)
    {
        using reuse_port =
            asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        restinio::server_settings_t<traits> settings;
        settings.address(endpoint.address())
            .port(endpoint.port())
            .timer_manager(timeout_check_period)
            .max_pipelined_requests(max_pipelined_requests)
            .read_next_http_message_timelimit(idle_timeout)
            .handle_request_timeout(handling_timeout)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}
                    .max_url_size(max_url_bytes)
                    .max_field_name_size(max_field_name_bytes)
                    .max_field_value_size(max_field_value_bytes)
                    .max_field_count(max_fields)
                    .max_body_size(max_body_bytes_read))
            .acceptor_options_setter([](auto& options) {
                options.set_option(
                    asio::ip::tcp::acceptor::reuse_address(true));
                options.set_option(reuse_port(true));
            })
            .socket_options_setter([](auto& options) {
                options.set_option(asio::ip::tcp::no_delay(true));
            })
            .request_handler([this](request_handle request) {
                return handle(std::move(request));
            });
        return settings;
    }

    restinio::request_handling_status_t handle(request_handle request)
    {
        std::string const target(request->header().request_target());
        if constexpr (Dialect::entries_at_front)
            if (auto const data_centre = Dialect::entry_question(target))
                return answer_entry_question(*request, *data_centre);
        std::vector<header_field> headers;
        request->header().for_each_field([&](auto const& field) {
            headers.push_back(
                {std::string(field.name()), std::string(field.value())});
        });
        auto parsed =
            Dialect::parse(request->header().method().c_str(), target, headers);
        if (auto const* const it = std::get_if<refusal>(&parsed)) {
            mark_handled();
            log(log_event::request_refused,
                {{"request", ""}, {"kind", to_name(it->kind)},
                    {"outcome", to_name(it->result)}, {"detail", it->detail}});
            return answer_refusal(*request, *it, {});
        }
        return start(
            std::move(request), std::get<incoming_request>(std::move(parsed)));
    }

    /// Marks the bytes received on the connection as a complete request that
    /// is answered at once.
    static void mark_handled()
    {
        if (auto const& connection = connection_state::current())
            connection->end_request(connection->begin_request([] {}));
    }

    restinio::request_handling_status_t answer_entry_question(
        restinio::request_t& request, data_centre_id const& data_centre)
    {
        mark_handled();
        auto response = request.create_response(status_line(200));
        response.append_header("Content-Type", "application/json");
        set_connection_header(response);
        return response
            .set_body(
                Dialect::encode_entry_answer(handlers_.entries(data_centre)))
            .done();
    }

    restinio::request_handling_status_t start(
        request_handle request, incoming_request message)
    {
        if (request->body().size() > limits_.max_body_bytes) {
            mark_handled();
            refusal const refused{refusal_kind::body_too_large,
                outcome::not_run,
                "a body may have " + std::to_string(limits_.max_body_bytes) +
                    " bytes",
                {}};
            return answer_refusal(*request, refused, message.head.request_id);
        }
        message.head.body_bytes = request->body().size();
        message.body = request->body();
        run(std::move(request), std::move(message));
        return restinio::request_accepted();
    }

    void run(request_handle request, incoming_request message)
    {
        ++open_requests_;
        auto const connection = connection_state::current()
            ? connection_state::current()
            : std::make_shared<connection_state>();
        auto const on_closed = std::make_shared<std::function<void()>>();
        auto const id = connection->begin_request([this, on_closed] {
            --open_requests_;
            if (*on_closed)
                (*on_closed)();
        });
        auto request_id = message.head.request_id;
        *on_closed = handlers_.request(std::move(message),
            [this, request, connection, id, on_closed,
                request_id = std::move(request_id)](entry_result result) {
                --open_requests_;
                connection->end_request(id);
                *on_closed = nullptr;
                answer(*request, std::move(result), request_id);
            });
    }

    void answer(restinio::request_t& request, entry_result result,
        std::string const& request_id)
    {
        if (auto const* const it = std::get_if<refusal>(&result)) {
            answer_refusal(request, *it, request_id);
            return;
        }
        if (auto* const it = std::get_if<recorded_answer>(&result)) {
            auto response = request.create_response(status_line(it->status));
            if (!it->content_type.empty())
                response.append_header("Content-Type", it->content_type);
            finish(response, request_id, std::move(it->body));
            return;
        }
        auto& upstream = std::get<upstream_answer>(result);
        auto response = request.create_response(status_line(upstream.status));
        for (auto const& it : upstream.headers)
            if (!is_hop_by_hop(it.name) && Dialect::forwards_header(it.name))
                response.append_header(it.name, it.value);
        finish(response, request_id, std::move(upstream.body));
    }

    template <class Response>
    void finish(
        Response& response, std::string const& request_id, std::string body)
    {
        for (auto const& it : Dialect::answer_headers(request_id))
            response.append_header(it.name, it.value);
        set_connection_header(response);
        response.set_body(std::move(body));
        response.done();
    }

    template <class Response>
    void set_connection_header(Response& response)
    {
        if (closing_)
            response.connection_close();
    }

    restinio::request_handling_status_t answer_refusal(
        restinio::request_t& request, refusal const& refused,
        std::string const& request_id)
    {
        auto encoded = Dialect::encode_refusal(refused, request_id);
        auto response = request.create_response(status_line(encoded.status));
        for (auto const& it : encoded.headers)
            response.append_header(it.name, it.value);
        set_connection_header(response);
        return response.set_body(std::move(encoded.body)).done();
    }

    asio::io_context& context_;
    front_handlers handlers_;
    front_limits limits_;
    std::unique_ptr<server> server_;
    std::size_t open_requests_ = 0;
    bool closing_ = false;
};

} // namespace pomelohinge

#endif
