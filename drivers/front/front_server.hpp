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

/// Who decides on what the front receives; called on its thread.
struct front_handlers
{
    /// Starts a request. The result is called once; what is returned is to
    /// be called if the caller hangs up before.
    std::function<std::function<void()>(
        entry_message, std::function<void(entry_result)>)>
        request;
    /// Answers the entry question.
    std::function<entry_answer(data_centre_id const&)> entries;
};

/// Bounds of what the front takes.
struct front_limits
{
    /// Larger bodies are refused before anything runs, in bytes.
    std::size_t body_bytes = 1 << 20;
};

/// The HTTP server for callers on one traffic thread.
template <FrontDialect Dialect>
class front_server
{
public:
    front_server(
        asio::io_context& context, front_handlers handlers, front_limits limits)
        : context_(context), handlers_(std::move(handlers)), limits_(limits)
    {
    }

    /// Listens on `IP:PORT`; several threads may share it.
    absl::Status listen(std::string const& address)
    {
        auto const at = parse_endpoint(address);
        if (!at)
            return absl::InvalidArgumentError(
                "\"" + address + "\" is not an IP:PORT");
        try {
            server_ = std::make_unique<server>(
                restinio::external_io_context(context_), settings_for(*at));
            server_->open_sync();
        } catch (std::exception const& error) {
            return absl::UnavailableError(
                "cannot listen on " + address + ": " + error.what());
        }
        log(log_event::front_listening, {{"address", address}});
        return absl::OkStatus();
    }

    /// From now on each answer closes its connection.
    void close_connections_after_answers() { closing_ = true; }

    /// Takes no further connections.
    void stop_listening()
    {
        if (server_ != nullptr)
            server_->close_sync();
    }

    /// Requests that are not answered yet.
    std::size_t open_requests() const { return open_requests_; }

private:
    /// Bounds of a head. RESTinio closes the connection beyond them, and
    /// `front_socket` answers before that.
    static constexpr std::size_t longest_url = 8 << 10;
    static constexpr std::size_t longest_field_name = 256;
    static constexpr std::size_t longest_field_value = 16 << 10;
    static constexpr std::size_t most_fields = 128;

    /// Bodies are refused beyond the limit of the settings; beyond this they
    /// are not even read.
    static constexpr std::uint64_t most_body_bytes_read = 32 << 20;

    /// While one request is handled, RESTinio reads on, up to a second one:
    /// only so does it see that the caller hangs up.
    static constexpr std::size_t pipelined_requests = 2;

    static constexpr auto idle_limit = std::chrono::seconds(120);
    static constexpr auto handling_limit = std::chrono::minutes(11);
    /// How often connections are checked for these limits; each check wakes
    /// the thread once for every connection.
    static constexpr auto limits_check_period = std::chrono::seconds(20);

    struct traits : restinio::default_single_thread_traits_t
    {
        using stream_socket_t = front_socket;
    };

    using server = restinio::http_server_t<traits>;
    using request_handle = restinio::request_handle_t;

    restinio::server_settings_t<traits> settings_for(
        asio::ip::tcp::endpoint const& at)
    {
        using reuse_port =
            asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        restinio::server_settings_t<traits> settings;
        settings.address(at.address())
            .port(at.port())
            .timer_manager(limits_check_period)
            .max_pipelined_requests(pipelined_requests)
            .read_next_http_message_timelimit(idle_limit)
            .handle_request_timeout(handling_limit)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}
                    .max_url_size(longest_url)
                    .max_field_name_size(longest_field_name)
                    .max_field_value_size(longest_field_value)
                    .max_field_count(most_fields)
                    .max_body_size(most_body_bytes_read))
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
            if (auto const asked = Dialect::entry_question(target))
                return answer_entries(*request, *asked);
        std::vector<header_field> headers;
        request->header().for_each_field([&](auto const& field) {
            headers.push_back(
                {std::string(field.name()), std::string(field.value())});
        });
        auto parsed =
            Dialect::parse(request->header().method().c_str(), target, headers);
        if (auto const* const it = std::get_if<refusal>(&parsed)) {
            note_handled();
            log(log_event::request_refused,
                {{"request", ""}, {"kind", to_name(it->kind)},
                    {"outcome", to_name(it->result)}, {"detail", it->detail}});
            return answer_refusal(*request, *it, {});
        }
        return start(
            std::move(request), std::get<entry_message>(std::move(parsed)));
    }

    /// Tells the connection that its bytes were a whole request.
    static void note_handled()
    {
        if (auto const& watch = connection_watch::current())
            watch->request_ended(watch->request_began([] {}));
    }

    restinio::request_handling_status_t answer_entries(
        restinio::request_t& request, data_centre_id const& asked)
    {
        note_handled();
        auto response = request.create_response(status_line(200));
        response.append_header("Content-Type", "application/json");
        set_connection(response);
        return response
            .set_body(Dialect::encode_entry_answer(handlers_.entries(asked)))
            .done();
    }

    restinio::request_handling_status_t start(
        request_handle request, entry_message message)
    {
        if (request->body().size() > limits_.body_bytes) {
            note_handled();
            refusal const refused{refusal_kind::body_too_large,
                outcome::not_run,
                "a body may have " + std::to_string(limits_.body_bytes) +
                    " bytes",
                {}};
            return answer_refusal(*request, refused, message.head.request_id);
        }
        message.head.body_bytes = request->body().size();
        message.body = request->body();
        run(std::move(request), std::move(message));
        return restinio::request_accepted();
    }

    void run(request_handle request, entry_message message)
    {
        ++open_requests_;
        auto const watch = connection_watch::current()
            ? connection_watch::current()
            : std::make_shared<connection_watch>();
        auto const gone = std::make_shared<std::function<void()>>();
        auto const id = watch->request_began([this, gone] {
            --open_requests_;
            if (*gone)
                (*gone)();
        });
        auto request_id = message.head.request_id;
        *gone = handlers_.request(std::move(message),
            [this, request, watch, id, gone,
                request_id = std::move(request_id)](entry_result result) {
                --open_requests_;
                watch->request_ended(id);
                *gone = nullptr;
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
        auto& whole = std::get<upstream_answer>(result);
        auto response = request.create_response(status_line(whole.status));
        for (auto const& it : whole.headers)
            if (!is_hop_by_hop(it.name) && Dialect::forwards_header(it.name))
                response.append_header(it.name, it.value);
        finish(response, request_id, std::move(whole.body));
    }

    template <class Response>
    void finish(
        Response& response, std::string const& request_id, std::string body)
    {
        for (auto const& it : Dialect::answer_headers(request_id))
            response.append_header(it.name, it.value);
        set_connection(response);
        response.set_body(std::move(body));
        response.done();
    }

    template <class Response>
    void set_connection(Response& response)
    {
        if (closing_)
            response.connection_close();
    }

    restinio::request_handling_status_t answer_refusal(
        restinio::request_t& request, refusal const& refused,
        std::string const& request_id)
    {
        auto form = Dialect::encode_refusal(refused, request_id);
        auto response = request.create_response(status_line(form.status));
        for (auto const& it : form.headers)
            response.append_header(it.name, it.value);
        set_connection(response);
        return response.set_body(std::move(form.body)).done();
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
