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

    /// The memory that large requests hold.
    request_buffers const& buffers() const { return buffers_; }

    /// The number of requests that are not answered yet.
    std::size_t open_requests() const { return open_requests_; }

private:
    /// Limits on the head of a request. RESTinio closes the connection of a
    /// request that exceeds them; `front_socket` sends a refusal before that.
    static constexpr std::size_t max_url_bytes = 8 << 10;
    static constexpr std::size_t max_field_name_bytes = 256;
    static constexpr std::size_t max_field_value_bytes = 16 << 10;
    static constexpr std::size_t max_fields = 128;
    static constexpr std::size_t max_head_bytes = 128 << 10;

    /// Bodies above `front_limits::max_body_bytes` are read and then refused;
    /// bodies above this limit are not read.
    static constexpr std::uint64_t max_body_bytes_read = 32 << 20;

    /// RESTinio detects that a caller has closed its connection only while it
    /// reads from the connection, so it reads one request more than a caller
    /// may send ahead.
    static constexpr std::size_t max_pipelined_requests = 17;

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

    /// A received request and the connection that it was received on.
    struct open_request
    {
        request_handle request;
        std::shared_ptr<connection_state> connection;
        request_pipeline::request_number number = 0;
        std::string id;
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
            [this, it,
                message = std::make_shared<incoming_request>(
                    std::move(message))](duration waited) {
                message->waited = waited;
                run(it, std::move(*message));
            });
    }

    /// Adds a request to the pipeline of its connection.
    void add(open_request_pointer const& it, bool repeatable,
        request_pipeline::start_callback start)
    {
        auto& pipeline = it->connection->pipeline();
        // The answer that closes the connection is the last one, so requests
        // behind it would get none.
        if (closing_ && !pipeline.empty())
            pipeline.stop();
        it->number = pipeline.next_number();
        pipeline.add(repeatable, boottime_clock::now(), std::move(start));
        if (!it->request->header().should_keep_alive())
            pipeline.stop();
    }

    void refuse(open_request_pointer const& it, refusal refused)
    {
        add(it, true, [this, it, refused = std::move(refused)](duration) {
            answer_refusal(*it, refused);
        });
    }

    void run(open_request_pointer const& it, incoming_request message)
    {
        ++open_requests_;
        auto const on_closed = std::make_shared<std::function<void()>>();
        auto const id = it->connection->begin_request([this, on_closed] {
            --open_requests_;
            if (*on_closed)
                (*on_closed)();
        });
        *on_closed = handlers_.request(
            std::move(message), [this, it, id, on_closed](entry_result result) {
                --open_requests_;
                it->connection->end_request(id);
                *on_closed = nullptr;
                answer(*it, std::move(result));
            });
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

    /// Sends the answer. `charge` is returned once it is written.
    template <class Response>
    void finish(open_request const& it, Response& response, std::string body,
        buffer_charge charge = {})
    {
        auto& pipeline = it.connection->pipeline();
        if (closing_)
            pipeline.stop();
        if (pipeline.is_last(it.number))
            response.connection_close();
        auto const bytes = body.size();
        response.set_body(std::move(body));
        if (charge)
            response.done([held = std::make_shared<buffer_charge>(
                               std::move(charge))](auto const&) {});
        else
            response.done();
        pipeline.answered(it.number, bytes, boottime_clock::now());
    }

    asio::io_context& context_;
    front_handlers handlers_;
    front_limits limits_;
    request_buffers& buffers_;
    std::unique_ptr<server> server_;
    std::size_t open_requests_ = 0;
    bool closing_ = false;
};

} // namespace pomelohinge

#endif
