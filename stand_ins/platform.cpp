#include "stand_ins/platform_state.hpp"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

/// Stand-in for the platform's object service: get, conditional put and
/// delete, watches by revision, and fault injection by request.
/// docs/PLATFORM.md describes the calls.
namespace pomelohinge::stand_ins {
namespace {

using server_traits = restinio::default_single_thread_traits_t;
using request_handle = restinio::request_handle_t;

/// Delay of every answer with the fault `slow`.
constexpr auto slow_answer_delay = std::chrono::milliseconds(1500);

/// Delay of every write with the fault `late`, beyond the timeout of a call.
constexpr auto late_write_delay = std::chrono::milliseconds(3000);

/// The server closes the connection of an unanswered request, including that
/// of a pending watch, after this time.
constexpr auto handler_timeout = std::chrono::seconds(60);

/// Serves objects and watches, with the current fault applied.
class platform_server
{
public:
    /// With `era` 0, answers do not tell the era.
    platform_server(asio::io_context& context, std::uint64_t era)
        : context_(context), era_(era)
    {
    }

    restinio::request_handling_status_t handle(request_handle request)
    {
        ++calls_;
        std::string const path(request->header().path());
        if (path == "/fault")
            return set_fault(*request);
        if (path == "/restore")
            return restore(*request);
        if (path == "/calls")
            return answer(*request, 200, std::to_string(calls_));
        if (fault_ == platform_fault::absent)
            return answer(*request, 503, "absent");
        if (fault_ == platform_fault::slow) {
            run_after(slow_answer_delay,
                [this, request, path] { serve(request, path); });
            return restinio::request_accepted();
        }
        serve(std::move(request), path);
        return restinio::request_accepted();
    }

private:
    /// A watch without changes so far.
    struct pending_watch
    {
        request_handle request;
        std::string prefix;
        std::uint64_t since;
    };

    restinio::request_handling_status_t answer(restinio::request_t& request,
        int status, std::string body, std::uint64_t version = 0)
    {
        auto response = request.create_response(restinio::http_status_line_t(
            restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            "Status"));
        response.append_header("Object-Version", std::to_string(version));
        if (era_ > 0)
            response.append_header("Store-Era", std::to_string(era_));
        return response.set_body(std::move(body)).done();
    }

    template <class Work>
    void run_after(std::chrono::milliseconds delay, Work work)
    {
        auto const timer =
            std::make_shared<asio::steady_timer>(context_, delay);
        timer->async_wait([timer, work](asio::error_code) { work(); });
    }

    restinio::request_handling_status_t set_fault(restinio::request_t& request)
    {
        auto const fault = from_name<platform_fault>(request.body());
        if (!fault)
            return answer(request, 400, "unknown fault");
        fault_ = *fault;
        answer_watches();
        return answer(request, 200, "ok");
    }

    /// Restores the objects from a copy whose age in milliseconds is the body
    /// of the request.
    restinio::request_handling_status_t restore(restinio::request_t& request)
    {
        auto const age = std::chrono::milliseconds(std::stoull(request.body()));
        state_.restore(std::chrono::steady_clock::now() - age);
        ++era_;
        answer_watches();
        return answer(request, 200, "ok");
    }

    void serve(request_handle request, std::string const& path)
    {
        constexpr std::string_view objects = "/objects/";
        constexpr std::string_view watches = "/watch/";
        if (path.starts_with(objects))
            serve_object(*request, path.substr(objects.size()));
        else if (path.starts_with(watches))
            serve_watch(std::move(request), path.substr(watches.size()));
        else
            answer(*request, 404, "no such path");
    }

    static std::uint64_t expected_version(restinio::request_t const& request)
    {
        return std::stoull(
            request.header().get_field_or("Object-Expected-Version", "0"));
    }

    void serve_object(restinio::request_t& request, std::string const& name)
    {
        auto const method = request.header().method();
        if (method == restinio::http_method_get()) {
            auto const* const it = state_.find(name);
            if (it == nullptr)
                answer(request, 404, "no such object");
            else
                answer(request, 200, it->value, it->version);
            return;
        }
        if (fault_ == platform_fault::late) {
            run_after(late_write_delay,
                [this, it = request.shared_from_this(), name] {
                    write(*it, name);
                });
            return withhold_answer(request);
        }
        auto const version = write(request, name);
        if (fault_ == platform_fault::lossy && version)
            return withhold_answer(request);
        answer(request, version ? 200 : 409, version ? "ok" : "conflict",
            version.value_or(0));
    }

    /// Writes or removes an object. Returns its new version, 0 if it is
    /// removed, or nothing if it has another version than expected.
    std::optional<std::uint64_t> write(
        restinio::request_t const& request, std::string const& name)
    {
        auto const expected = expected_version(request);
        std::optional<std::uint64_t> version;
        if (request.header().method() == restinio::http_method_put())
            version = state_.put(name, request.body(), expected);
        else if (state_.remove(name, expected))
            version = 0;
        if (version)
            answer_watches();
        return version;
    }

    /// Keeps a request without an answer. The client's own timeout ends the
    /// call; the server closes the connection after `handler_timeout`.
    void withhold_answer(restinio::request_t& request)
    {
        unanswered_.push_back(request.shared_from_this());
    }

    void serve_watch(request_handle request, std::string const& prefix)
    {
        auto const query = restinio::parse_query(request->header().query());
        auto const since = restinio::cast_to<std::uint64_t>(query["since"]);
        auto const wait_ms = restinio::cast_to<std::uint64_t>(query["wait_ms"]);
        bool const has_changes = state_.revision() > since;
        if ((has_changes && fault_ != platform_fault::stale) || wait_ms == 0) {
            answer_watch(*request, prefix, since);
            return;
        }
        auto const number = ++last_watch_;
        watches_.emplace(number, pending_watch{request, prefix, since});
        run_after(std::chrono::milliseconds(wait_ms), [this, number] {
            if (auto const it = watches_.extract(number))
                answer_watch(*it.mapped().request, it.mapped().prefix,
                    it.mapped().since);
        });
    }

    /// Answers with the changes since the revision `since`. With the fault
    /// `stale`, only a watch since revision 0 reports changes.
    void answer_watch(restinio::request_t& request, std::string const& prefix,
        std::uint64_t since)
    {
        auto changed = nlohmann::json::array();
        bool const stale = fault_ == platform_fault::stale && since > 0;
        if (!stale)
            for (auto const& name : state_.changed_since(prefix, since))
                changed.push_back(
                    {{"name", name}, {"version", state_.find(name)->version}});
        answer(request, 200,
            nlohmann::json{{"revision", stale ? since : state_.revision()},
                {"changed", std::move(changed)}}
                .dump());
    }

    /// Answers all pending watches after a change of the objects or the fault.
    /// With the fault `stale` they stay pending until their wait time ends.
    void answer_watches()
    {
        if (fault_ == platform_fault::stale)
            return;
        for (auto const& [number, it] : std::exchange(watches_, {})) {
            if (fault_ == platform_fault::absent)
                answer(*it.request, 503, "absent");
            else
                answer_watch(*it.request, it.prefix, it.since);
        }
    }

    asio::io_context& context_;
    platform_state state_;
    /// How often the objects have been restored, plus the first era.
    std::uint64_t era_;
    platform_fault fault_ = platform_fault::none;
    std::uint64_t calls_ = 0;
    std::uint64_t last_watch_ = 0;
    std::map<std::uint64_t, pending_watch> watches_;
    std::vector<restinio::request_handle_t> unanswered_;
};

int run(std::string const& address, std::uint64_t era)
{
    auto const colon = address.rfind(':');
    asio::io_context context(1);
    platform_server handler(context, era);
    restinio::server_settings_t<server_traits> settings;
    settings.address(address.substr(0, colon))
        .port(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))))
        .handle_request_timeout(handler_timeout)
        .request_handler([&](request_handle request) {
            return handler.handle(std::move(request));
        });
    restinio::http_server_t<server_traits> server(
        restinio::external_io_context(context), std::move(settings));
    server.open_sync();
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](asio::error_code, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace
} // namespace pomelohinge::stand_ins

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "stand_in_platform", "Stand-in for the platform's object service");
    options.add_options()("address", "Address to listen on",
        cxxopts::value<std::string>()->default_value("127.0.0.1:9000"),
        "IP:PORT")("era",
        "First value of the header Store-Era; 0 sends none until a restore",
        cxxopts::value<std::uint64_t>()->default_value("0"), "N");
    auto const parsed = options.parse(argc, argv);
    return pomelohinge::stand_ins::run(
        parsed["address"].as<std::string>(), parsed["era"].as<std::uint64_t>());
}
