#include "drivers/pages/page_server.hpp"

#include "drivers/http/endpoint.hpp"
#include "drivers/http/statuses.hpp"

#include <restinio/all.hpp>

namespace pomelohinge {
namespace {

using restinio_traits = restinio::default_single_thread_traits_t;
using restinio_server = restinio::http_server_t<restinio_traits>;

constexpr auto handling_timeout = std::chrono::seconds(30);

/// How often connections are checked for timeouts.
constexpr auto timeout_check_period = std::chrono::seconds(10);

void respond(restinio::request_t& request, page_reply reply)
{
    auto response = request.create_response(status_line(reply.status));
    response.append_header("Content-Type", reply.content_type);
    response.set_body(std::move(reply.body));
    response.done();
}

} // namespace

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> query_parameter(
    std::string_view target, std::string_view name)
{
    auto const question_mark = target.find('?');
    if (question_mark == std::string_view::npos)
        return std::nullopt;
    auto rest = target.substr(question_mark + 1);
    while (!rest.empty()) {
        auto const part = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
        auto const equals = part.find('=');
        if (part.substr(0, equals) != name || equals == std::string_view::npos)
            continue;
        auto const value = part.substr(equals + 1);
        auto decoded = restinio::utils::try_unescape_percent_encoding(
            restinio::string_view_t(value.data(), value.size()));
        return decoded ? std::optional(std::move(*decoded)) : std::nullopt;
    }
    return std::nullopt;
}

class page_server::detail
{
public:
    detail(asio::io_context& context, handler answer)
        : context_(context), answer_(std::move(answer))
    {
    }

    absl::Status listen(std::string const& address)
    {
        auto const endpoint = parse_endpoint(address);
        if (!endpoint)
            return absl::InvalidArgumentError(
                "\"" + address + "\" is not an IP:PORT");
        restinio::server_settings_t<restinio_traits> settings;
        settings.address(endpoint->address())
            .port(endpoint->port())
            .timer_manager(timeout_check_period)
            .handle_request_timeout(handling_timeout)
            .request_handler([this](restinio::request_handle_t request) {
                return handle(std::move(request));
            });
        try {
            server_ = std::make_unique<restinio_server>(
                restinio::external_io_context(context_), std::move(settings));
            server_->open_sync();
        } catch (std::exception const& error) {
            server_.reset();
            return listen_status(address, error);
        }
        return absl::OkStatus();
    }

    void stop()
    {
        if (server_ != nullptr)
            server_->close_sync();
    }

private:
    restinio::request_handling_status_t handle(
        restinio::request_handle_t request)
    {
        answer_(std::string(request->header().request_target()),
            [request](
                page_reply reply) { respond(*request, std::move(reply)); });
        return restinio::request_accepted();
    }

    asio::io_context& context_;
    handler answer_;
    std::unique_ptr<restinio_server> server_;
};

page_server::page_server(asio::io_context& context, handler answer)
    : detail_(std::make_unique<detail>(context, std::move(answer)))
{
}

page_server::~page_server() = default;

absl::Status page_server::listen(std::string const& address)
{
    return detail_->listen(address);
}

void page_server::stop()
{
    detail_->stop();
}

} // namespace pomelohinge
