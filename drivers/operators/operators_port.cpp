#include "drivers/operators/operators_port.hpp"

#include <restinio/all.hpp>

namespace pomelohinge {
namespace {

using port_traits = restinio::default_single_thread_traits_t;
using port_server = restinio::http_server_t<port_traits>;

constexpr auto handling_limit = std::chrono::seconds(30);

void respond(restinio::request_t& request, operators_reply reply)
{
    auto response = request.create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<std::uint16_t>(reply.status)),
        "Status"));
    response.append_header("Content-Type", reply.content_type);
    response.set_body(std::move(reply.body));
    response.done();
}

} // namespace

class operators_port::detail
{
public:
    detail(asio::io_context& context, handler answer)
        : context_(context), answer_(std::move(answer))
    {
    }

    absl::Status listen(std::string const& address)
    {
        auto const colon = address.rfind(':');
        restinio::server_settings_t<port_traits> settings;
        settings.address(address.substr(0, colon))
            .port(static_cast<std::uint16_t>(
                std::stoi(address.substr(colon + 1))))
            .handle_request_timeout(handling_limit)
            .request_handler([this](restinio::request_handle_t request) {
                return handle(std::move(request));
            });
        try {
            server_ = std::make_unique<port_server>(
                restinio::external_io_context(context_), std::move(settings));
            server_->open_sync();
        } catch (std::exception const& error) {
            return absl::UnavailableError(
                "cannot listen on " + address + ": " + error.what());
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
        std::string_view const path = request->header().path();
        auto const page = path.starts_with('/')
            ? from_name<operators_page>(path.substr(1))
            : std::nullopt;
        if (!page) {
            respond(*request, {404, "text/plain", "there is no such page\n"});
            return restinio::request_accepted();
        }
        answer_(*page, [request](operators_reply reply) {
            respond(*request, std::move(reply));
        });
        return restinio::request_accepted();
    }

    asio::io_context& context_;
    handler answer_;
    std::unique_ptr<port_server> server_;
};

operators_port::operators_port(asio::io_context& context, handler answer)
    : detail_(std::make_unique<detail>(context, std::move(answer)))
{
}

operators_port::~operators_port() = default;

absl::Status operators_port::listen(std::string const& address)
{
    return detail_->listen(address);
}

void operators_port::stop()
{
    detail_->stop();
}

} // namespace pomelohinge
