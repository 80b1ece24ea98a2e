#include "drivers/front/front.hpp"

#include "core/log.hpp"
#include "drivers/front/front_socket.hpp"
#include "drivers/front/http_forms.hpp"
#include "drivers/http/header_names.hpp"

#include <fmt/format.h>
#include <random>
#include <restinio/all.hpp>

namespace pomelohinge {
namespace {

/// Bounds of a head. RESTinio closes the connection beyond them, and
/// `front_socket` answers before that.
constexpr std::size_t longest_url = 8 << 10;
constexpr std::size_t longest_field_name = 256;
constexpr std::size_t longest_field_value = 16 << 10;
constexpr std::size_t most_fields = 128;

/// Bodies are refused beyond the limit of the settings; beyond this they are
/// not even read.
constexpr std::uint64_t most_body_bytes_read = 32 << 20;

/// While one request is handled, RESTinio reads on, up to a second one:
/// only so does it see that the caller hangs up.
constexpr std::size_t pipelined_requests = 2;

constexpr auto idle_limit = std::chrono::seconds(75);
constexpr auto handling_limit = std::chrono::minutes(11);

constexpr std::string_view entries_path = "/.pomelohinge/entries";

struct front_traits : restinio::default_single_thread_traits_t
{
    using stream_socket_t = front_socket;
};

using front_server = restinio::http_server_t<front_traits>;

std::string_view reason_of(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 204:
        return "No Content";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

restinio::http_status_line_t status_line(int status)
{
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
        std::string(reason_of(status))};
}

std::string seconds_text(std::chrono::milliseconds value)
{
    return std::to_string(std::max<std::int64_t>(
        1, std::chrono::ceil<std::chrono::seconds>(value).count()));
}

} // namespace

std::string const& unparsable_refusal()
{
    static std::string const text = [] {
        refusal const refused{refusal_kind::malformed, outcome::not_run,
            "the request cannot be parsed, is incomplete or exceeds a limit",
            {}};
        auto const body = problem_body(refused);
        return fmt::format("HTTP/1.1 400 Bad Request\r\n"
                           "Content-Type: application/problem+json\r\n"
                           "{}: {}\r\nConnection: close\r\n"
                           "Content-Length: {}\r\n\r\n{}",
            header::outcome, to_name(refused.result), body.size(), body);
    }();
    return text;
}

class front::detail
{
public:
    detail(
        asio::io_context& context, front_handlers handlers, front_limits limits)
        : context_(context), handlers_(std::move(handlers)), limits_(limits),
          random_(std::random_device{}())
    {
    }

    absl::Status listen(std::string const& address)
    {
        auto const colon = address.rfind(':');
        auto const host = address.substr(0, colon);
        auto const port =
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
        try {
            server_ = std::make_unique<front_server>(
                restinio::external_io_context(context_),
                server_settings(host, port));
            server_->open_sync();
        } catch (std::exception const& error) {
            return absl::UnavailableError(
                "cannot listen on " + address + ": " + error.what());
        }
        log(log_event::front_listening, {{"address", address}});
        return absl::OkStatus();
    }

    void close_connections_after_answers() { closing_ = true; }

    void stop_listening()
    {
        if (server_ != nullptr)
            server_->close_sync();
    }

    std::size_t open_requests() const { return open_requests_; }

private:
    using request_handle = restinio::request_handle_t;

    restinio::server_settings_t<front_traits> server_settings(
        std::string const& host, std::uint16_t port)
    {
        using reuse_port =
            asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        restinio::server_settings_t<front_traits> settings;
        settings.address(host)
            .port(port)
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
        std::vector<header_field> headers;
        request->header().for_each_field([&](auto const& field) {
            headers.push_back(
                {std::string(field.name()), std::string(field.value())});
        });
        auto parsed = parse_headers(headers);
        if (auto const* const it = std::get_if<refusal>(&parsed)) {
            note_handled();
            return answer_refusal(*request, *it, {});
        }
        auto& known = std::get<parsed_headers>(parsed);
        if (known.request_id.empty())
            known.request_id = make_request_id();
        if (request->header().request_target() == entries_path)
            return answer_entries(*request, known);
        return start(std::move(request), std::move(known));
    }

    /// Tells the connection that its bytes were a whole request.
    static void note_handled()
    {
        if (auto const& watch = connection_watch::current())
            watch->request_ended(watch->request_began([] {}));
    }

    restinio::request_handling_status_t answer_entries(
        restinio::request_t& request, parsed_headers const& headers)
    {
        note_handled();
        auto const answer = handlers_.entries(headers.key);
        if (auto const* const it = std::get_if<refusal>(&answer))
            return answer_refusal(request, *it, headers.request_id);
        auto response = request.create_response(status_line(200));
        response.append_header("Content-Type", "application/json");
        set_connection(response);
        return response.set_body(entries_body(std::get<entry_answer>(answer)))
            .done();
    }

    restinio::request_handling_status_t start(
        request_handle request, parsed_headers headers)
    {
        auto const method = from_name<http_method>(
            std::string_view(request->header().method().c_str()));
        if (!method || request->body().size() > limits_.body_bytes) {
            note_handled();
            auto const kind = method ? refusal_kind::body_too_large
                                     : refusal_kind::method_not_allowed;
            refusal const refused{kind, outcome::not_run,
                method ? fmt::format(
                             "a body may have {} bytes", limits_.body_bytes)
                       : "the method is not known",
                {}};
            return answer_refusal(*request, refused, headers.request_id);
        }
        entry_message message;
        message.head.method = *method;
        message.head.target = std::string(request->header().request_target());
        message.head.key = headers.key;
        message.head.request_id = headers.request_id;
        message.head.repeat_key = std::move(headers.repeat_key);
        message.head.deadline = headers.deadline;
        message.head.body_bytes = request->body().size();
        message.headers = std::move(headers.passed);
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
            if (!is_hop_by_hop(it.name) &&
                !is_same_header(it.name, header::request_id))
                response.append_header(it.name, it.value);
        finish(response, request_id, std::move(whole.body));
    }

    template <class Response>
    void finish(
        Response& response, std::string const& request_id, std::string body)
    {
        response.append_header(std::string(header::request_id), request_id);
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
        log(log_event::request_refused,
            {{"request", request_id}, {"kind", to_name(refused.kind)},
                {"outcome", to_name(refused.result)}});
        auto const status = status_of(refused.kind);
        auto response = request.create_response(status_line(status));
        response.append_header("Content-Type", "application/problem+json");
        response.append_header(
            std::string(header::outcome), std::string(to_name(refused.result)));
        if (!request_id.empty())
            response.append_header(std::string(header::request_id), request_id);
        constexpr int too_many = 429;
        constexpr int unavailable = 503;
        if (status == too_many || status == unavailable)
            response.append_header(std::string(header::retry_after),
                seconds_text(refused.retry_after.value_or(
                    std::chrono::milliseconds(1000))));
        set_connection(response);
        return response.set_body(problem_body(refused)).done();
    }

    std::string make_request_id()
    {
        return fmt::format("{:016x}{:016x}", random_(), random_());
    }

    asio::io_context& context_;
    front_handlers handlers_;
    front_limits limits_;
    std::mt19937_64 random_;
    std::unique_ptr<front_server> server_;
    std::size_t open_requests_ = 0;
    bool closing_ = false;
};

front::front(
    asio::io_context& context, front_handlers handlers, front_limits limits)
    : detail_(std::make_unique<detail>(context, std::move(handlers), limits))
{
}

front::~front() = default;

absl::Status front::listen(std::string const& address)
{
    return detail_->listen(address);
}

void front::close_connections_after_answers()
{
    detail_->close_connections_after_answers();
}

void front::stop_listening()
{
    detail_->stop_listening();
}

std::size_t front::open_requests() const
{
    return detail_->open_requests();
}

} // namespace pomelohinge
