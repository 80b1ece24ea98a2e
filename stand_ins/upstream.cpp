#include "stand_ins/upstream_state.hpp"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

/// Stand-in for upstreams, with partial (gray) failures injected by request.
/// One process can serve several upstreams, each on its own address.
namespace pomelohinge::stand_ins {
namespace {

using server_traits = restinio::default_single_thread_traits_t;
using request_handle = restinio::request_handle_t;

/// A request that hangs keeps its connection open for up to this time.
constexpr auto handler_timeout = std::chrono::minutes(10);

/// Serves one upstream on its address.
class upstream_server
{
public:
    upstream_server(asio::io_context& context, upstream_state state,
        std::string const& address, std::size_t answer_bytes)
        : context_(context), state_(std::move(state)),
          answer_body_(answer_bytes, 'a')
    {
        auto const colon = address.rfind(':');
        restinio::server_settings_t<server_traits> settings;
        settings.address(address.substr(0, colon))
            .port(static_cast<std::uint16_t>(
                std::stoi(address.substr(colon + 1))))
            .handle_request_timeout(handler_timeout)
            .read_next_http_message_timelimit(handler_timeout)
            .socket_options_setter([](auto& options) {
                options.set_option(asio::ip::tcp::no_delay(true));
            })
            .request_handler([this](request_handle request) {
                return handle(std::move(request));
            });
        server_ = std::make_unique<restinio::http_server_t<server_traits>>(
            restinio::external_io_context(context), std::move(settings));
        server_->open_sync();
    }

private:
    restinio::request_handling_status_t handle(request_handle request)
    {
        std::string const path(request->header().path());
        if (path == "/health")
            return answer(*request, 200, "ok");
        if (path == "/stand_in/mode")
            return set_mode(*request);
        if (path == "/stand_in/ledger")
            return answer(*request, 200, ledger());
        return serve(std::move(request));
    }

    restinio::request_handling_status_t set_mode(restinio::request_t& request)
    {
        auto const mode = from_name<upstream_mode>(request.body());
        if (!mode)
            return answer(request, 400, "unknown mode");
        state_.set_mode(*mode);
        return answer(request, 200, "ok");
    }

    /// Returns the counts of requests and the runs of each payment, as JSON.
    std::string ledger() const
    {
        std::uint64_t doubled = 0;
        auto payments = nlohmann::json::object();
        for (auto const& [id, runs] : state_.payments()) {
            doubled += runs > 1 ? 1 : 0;
            payments[id] = runs;
        }
        return nlohmann::json{{"runs", state_.runs()}, {"shed", state_.shed()},
            {"most_running", state_.max_running()},
            {"keys_seen", requests_with_key_}, {"doubled", doubled},
            {"payments", std::move(payments)}}
            .dump();
    }

    restinio::request_handling_status_t serve(request_handle request)
    {
        auto const& header = request->header();
        if (header.has_field("Authorization"))
            ++requests_with_key_;
        auto const payment = header.method() == restinio::http_method_post()
            ? header.get_field_or("X-Payment-Id", "")
            : std::string();
        auto const decision = state_.begin_request(payment);
        if (decision.shed)
            return answer(*request, 503, "shed", "not_run");
        auto const timer = std::make_shared<asio::steady_timer>(
            context_, decision.service_time);
        timer->async_wait([this, timer, request, decision](asio::error_code) {
            state_.end_request();
            if (!decision.hang)
                finish(*request, decision.service_time);
        });
        return restinio::request_accepted();
    }

    void finish(restinio::request_t& request, duration service_time)
    {
        auto const mode = state_.mode();
        int const status = mode == upstream_mode::wrong_status ? 500 : 200;
        auto id = request.header().get_field_or("X-Request-Id", "");
        if (mode == upstream_mode::crossed)
            id = "another-request";
        if (mode == upstream_mode::truncated)
            return finish_truncated(request, id);
        auto response = make_response(request, status);
        response.append_header("X-Request-Id", id);
        response.append_header("X-Service-Us",
            std::to_string(
                std::chrono::duration_cast<std::chrono::microseconds>(
                    service_time)
                    .count()));
        response.set_body(answer_body_);
        response.done();
    }

    /// Sends fewer bytes than the `Content-Length` states and closes the
    /// connection.
    void finish_truncated(restinio::request_t& request, std::string const& id)
    {
        constexpr std::size_t missing_bytes = 100;
        auto response =
            request.create_response<restinio::user_controlled_output_t>();
        response.append_header("X-Request-Id", id);
        response.set_content_length(answer_body_.size() + missing_bytes);
        response.connection_close();
        response.set_body(answer_body_);
        response.done();
    }

    restinio::response_builder_t<restinio::restinio_controlled_output_t>
    make_response(restinio::request_t& request, int status)
    {
        return request.create_response(restinio::http_status_line_t(
            restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            "Status"));
    }

    restinio::request_handling_status_t answer(restinio::request_t& request,
        int status, std::string body, std::string const& outcome = {})
    {
        auto response = make_response(request, status);
        if (!outcome.empty())
            response.append_header("Pomelohinge-Outcome", outcome);
        return response.set_body(std::move(body)).done();
    }

    asio::io_context& context_;
    upstream_state state_;
    std::string answer_body_;
    /// Requests with an `Authorization` header.
    std::uint64_t requests_with_key_ = 0;
    std::unique_ptr<restinio::http_server_t<server_traits>> server_;
};

int run(cxxopts::ParseResult const& options)
{
    asio::io_context context(1);
    std::vector<std::unique_ptr<upstream_server>> servers;
    auto seed = options["seed"].as<std::uint64_t>();
    auto const median =
        std::chrono::microseconds(options["median-us"].as<std::int64_t>());
    for (auto const& it : options["address"].as<std::vector<std::string>>())
        servers.push_back(std::make_unique<upstream_server>(context,
            upstream_state(options["slots"].as<std::size_t>(), median,
                options.count("cold") > 0, seed++),
            it, options["answer-bytes"].as<std::size_t>()));
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](asio::error_code, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace
} // namespace pomelohinge::stand_ins

int main(int argc, char** argv)
{
    cxxopts::Options options("stand_in_upstream", "Stand-in for upstreams");
    options.add_options()("address", "Address to listen on; may be repeated",
        cxxopts::value<std::vector<std::string>>(),
        "IP:PORT")("slots", "Requests that run at the same time",
        cxxopts::value<std::size_t>()->default_value("6"))("median-us",
        "Median service time in microseconds",
        cxxopts::value<std::int64_t>()->default_value("10000"))("answer-bytes",
        "Size of answers in bytes",
        cxxopts::value<std::size_t>()->default_value("200"))(
        "cold", "Start cold, with fewer slots and slower")("seed",
        "Seed of service times",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    return pomelohinge::stand_ins::run(options.parse(argc, argv));
}
