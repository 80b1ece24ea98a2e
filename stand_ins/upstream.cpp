#include "stand_ins/answer_copies.hpp"
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
using open_response =
    restinio::response_builder_t<restinio::user_controlled_output_t>;

/// A request that hangs keeps its connection open for up to this time.
constexpr auto handler_timeout = std::chrono::minutes(10);

/// A request and what of its response has been sent.
struct exchange
{
    explicit exchange(request_handle it) : request(std::move(it)) {}

    request_handle request;
    /// Whether the request runs no more.
    bool ended = false;
    /// The response that has begun with a copy of another answer. RESTinio
    /// sends what follows the copy as a part of the same response.
    std::optional<open_response> response;
};

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
        copies_.clear();
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
        auto const it = std::make_shared<exchange>(request);
        if (auto copy = copies_.take(request->connection_id()))
            schedule_copy(it, std::move(*copy));
        if (decision.shed) {
            send(*it,
                {503,
                    {{"X-Request-Id", id_of(*request)},
                        {"Pomelohinge-Outcome", "not_run"}},
                    "shed"});
            return restinio::request_accepted();
        }
        auto const timer = std::make_shared<asio::steady_timer>(
            context_, decision.service_time);
        timer->async_wait([this, timer, it, decision](asio::error_code) {
            state_.end_request();
            if (!decision.hang)
                finish(*it, decision.service_time);
        });
        return restinio::request_accepted();
    }

    static std::string id_of(restinio::request_t const& request)
    {
        return request.header().get_field_or("X-Request-Id", "");
    }

    /// Sends the copy of an earlier answer after a delay, unless the request
    /// has been answered by then.
    void schedule_copy(std::shared_ptr<exchange> it, upstream_answer copy)
    {
        auto const delay = state_.draw_copy_delay();
        if (delay == duration::zero())
            return send_copy(*it, copy);
        auto const timer =
            std::make_shared<asio::steady_timer>(context_, delay);
        timer->async_wait([this, timer, it, copy](asio::error_code) {
            if (!it->ended)
                send_copy(*it, copy);
        });
    }

    void send_copy(exchange& it, upstream_answer const& copy)
    {
        it.response.emplace(
            it.request->create_response<restinio::user_controlled_output_t>(
                status_line(copy.status)));
        for (auto const& [name, value] : copy.headers)
            it.response->append_header(name, value);
        it.response->set_content_length(copy.body.size());
        it.response->set_body(copy.body);
        it.response->flush();
    }

    void finish(exchange& it, duration service_time)
    {
        auto const mode = state_.mode();
        int const status = mode == upstream_mode::wrong_status ? 500 : 200;
        auto id = id_of(*it.request);
        if (mode == upstream_mode::crossed)
            id = "another-request";
        if (mode == upstream_mode::truncated && !it.response) {
            it.ended = true;
            return finish_truncated(*it.request, id);
        }
        auto const service_us =
            std::chrono::duration_cast<std::chrono::microseconds>(service_time)
                .count();
        send(it,
            {status,
                {{"X-Request-Id", id},
                    {"X-Service-Us", std::to_string(service_us)}},
                answer_body_});
    }

    /// Sends the answer to a request, and keeps it if it is to be sent again.
    void send(exchange& it, upstream_answer answer)
    {
        it.ended = true;
        if (it.response) {
            it.response->append_body(answer.to_text());
            it.response->done();
        } else {
            auto response = make_response(*it.request, answer.status);
            for (auto const& [name, value] : answer.headers)
                response.append_header(name, value);
            response.set_body(answer.body);
            response.done();
        }
        if (state_.repeats_answer())
            copies_.add(it.request->connection_id(), std::move(answer));
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
        return request.create_response(status_line(status));
    }

    static restinio::http_status_line_t status_line(int status)
    {
        return {
            restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            "Status"};
    }

    restinio::request_handling_status_t answer(
        restinio::request_t& request, int status, std::string body)
    {
        return make_response(request, status).set_body(std::move(body)).done();
    }

    asio::io_context& context_;
    upstream_state state_;
    std::string answer_body_;
    answer_copies copies_;
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
