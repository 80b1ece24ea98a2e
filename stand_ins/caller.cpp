#include "drivers/http/curl_loop.hpp"
#include "drivers/http/header_names.hpp"
#include "stand_ins/caller_report.hpp"
#include "stand_ins/scenario.hpp"

#include <absl/container/flat_hash_map.h>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <utility>

/// Stand-in for callers: an open-loop load generator. It looks up the entry
/// addresses to use, caches them until they expire, and sends requests at the
/// times set by its scenario, whether or not earlier answers have arrived.
namespace pomelohinge::stand_ins {
namespace {

/// A request without an answer is given up this long after its deadline.
constexpr duration deadline_margin = std::chrono::milliseconds(1500);
constexpr duration connect_timeout = std::chrono::milliseconds(300);

constexpr duration entry_lookup_timeout = std::chrono::milliseconds(1000);
constexpr std::size_t max_entry_lookup_retries = 5;

/// A request that cannot connect is retried as many times as the scenario has
/// entry VMs, and this many times more.
constexpr std::size_t extra_connect_retries = 4;

/// Retries of a request with an idempotency key whose outcome is unknown.
constexpr int max_retries = 5;
constexpr duration retry_delay = std::chrono::milliseconds(300);

/// Retries of a request that was refused as not run.
constexpr int max_refused_retries = 3;
constexpr duration refused_retry_delay = std::chrono::milliseconds(20);

constexpr std::size_t max_ledger_bytes = 256 << 20;

double to_ms(duration value)
{
    return to_seconds(value) * 1000;
}

/// One request of a caller group, with all its attempts.
struct pending_request
{
    caller_group const* group = nullptr;
    /// Start time set by the scenario; latencies are measured from here.
    time_point scheduled_at;
    std::string request_id;
    /// Empty if the request is not a payment.
    std::string payment_id;
    /// Connections that failed during the current attempt.
    std::size_t failed_connects = 0;
    int retries = 0;
    int refused_retries = 0;
    /// Address that the latest attempt was sent to.
    std::string address;
    /// Whether the next attempt goes to the same address.
    bool keeps_address = false;
};

/// The entry addresses cached for the callers of one organisation.
struct cached_entries
{
    std::vector<std::string> addresses;
    time_point expires_at{};
    bool lookup_running = false;
};

/// Sends the requests of a scenario and collects their outcomes.
class load_generator
{
public:
    load_generator(asio::io_context& context, scenario const& load)
        : context_(context), http_(context), scenario_(load),
          random_(static_cast<std::uint64_t>(load.seed)),
          started_(boottime_clock::now()), progress_(context)
    {
        for (std::size_t it = 0; it < scenario_.groups.size(); ++it) {
            arrivals_.push_back(std::make_unique<asio::steady_timer>(context));
            schedule_arrival(it, started_);
        }
        schedule_progress(1);
    }

    caller_report const& report() const { return report_; }

    /// Fetches the upstreams' ledgers and compares them with the payments in
    /// the report. Only starts the calls: the context must run again. `done`
    /// is called when the last call has ended. A ledger that cannot be fetched
    /// is left out.
    void read_ledgers(std::function<void()> done)
    {
        auto const remaining =
            std::make_shared<std::size_t>(scenario_.ledgers.size());
        auto const runs =
            std::make_shared<std::map<std::string, std::uint64_t>>();
        for (auto const& it : scenario_.ledgers) {
            http_call call;
            call.url = "http://" + it + "/stand_in/ledger";
            call.max_answer_bytes = max_ledger_bytes;
            http_.start(std::move(call),
                [this, remaining, runs, done](http_result const& result) {
                    add_ledger(result, *runs);
                    if (--*remaining > 0)
                        return;
                    report_.check_payments(*runs);
                    done();
                });
        }
        if (scenario_.ledgers.empty())
            done();
    }

private:
    bool is_past_end(time_point when) const
    {
        return to_seconds(when - started_) >= scenario_.duration_s;
    }

    /// Schedules the request of group `n` that follows the one at `last`.
    /// Requests form a Poisson process: the times between them are
    /// exponentially distributed.
    void schedule_arrival(std::size_t n, time_point last)
    {
        auto const& group = scenario_.groups[n];
        std::exponential_distribution<double> gap(group.requests_per_second);
        auto const when = last +
            std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(gap(random_)));
        if (is_past_end(when))
            return;
        arrivals_[n]->expires_after(when - boottime_clock::now());
        arrivals_[n]->async_wait([this, n, when](asio::error_code ec) {
            if (ec)
                return;
            schedule_arrival(n, when);
            start_request(scenario_.groups[n], when);
        });
    }

    void start_request(caller_group const& group, time_point scheduled_at)
    {
        auto it = std::make_shared<pending_request>();
        it->group = &group;
        it->scheduled_at = scheduled_at;
        it->request_id = new_request_id();
        if (group.payments)
            it->payment_id = "p-" + it->request_id;
        refresh_entries(group, [this, it] { send(it); });
    }

    std::string new_request_id() { return fmt::format("{:016x}", random_()); }

    /// Starts a lookup of the entry addresses if none are cached or the cached
    /// ones have expired, unless one is running. Calls `next` at once, or after
    /// the lookup if it was started because none are cached.
    void refresh_entries(caller_group const& group, std::function<void()> next)
    {
        auto& cached = entry_cache_[group.organisation];
        auto const now = boottime_clock::now();
        bool const usable = !cached.addresses.empty();
        bool const fresh = usable && now < cached.expires_at;
        if (group.ignores_entries)
            cached.addresses = scenario_.entries;
        if (fresh || group.ignores_entries || cached.lookup_running)
            return next();
        cached.lookup_running = true;
        look_up_entries(group, 0, usable ? nullptr : next);
        if (usable)
            next();
    }

    /// Gets the entry addresses from a random entry VM of the scenario, and
    /// after a failure from another random one, up to
    /// `max_entry_lookup_retries` times. Calls `next`, unless it is null, at
    /// the end, also if all calls failed.
    void look_up_entries(caller_group const& group, std::size_t retries,
        std::function<void()> next)
    {
        http_call call;
        auto const& entry_vms = scenario_.entries;
        call.url = "http://" + entry_vms[random_() % entry_vms.size()] +
            "/.pomelohinge/entries";
        call.headers.push_back({"Authorization", "Bearer " + group.key});
        call.timeout = entry_lookup_timeout;
        http_.start(std::move(call),
            [this, &group, retries, next](http_result const& result) {
                auto& cached = entry_cache_[group.organisation];
                if (!store_entries(result, cached) &&
                    retries < max_entry_lookup_retries)
                    return look_up_entries(group, retries + 1, next);
                cached.lookup_running = false;
                if (next)
                    next();
            });
    }

    /// Caches the addresses of a lookup's answer. Returns false if the lookup
    /// failed or its answer has no addresses.
    static bool store_entries(http_result const& result, cached_entries& cached)
    {
        if (result.end != http_end::answered || result.status != 200)
            return false;
        auto const body = nlohmann::json::parse(result.body, nullptr, false);
        if (!body.is_object())
            return false;
        cached.addresses = body.value("addresses", std::vector<std::string>());
        cached.expires_at = boottime_clock::now() +
            std::chrono::seconds(body.value("ttl_seconds", 1));
        return !cached.addresses.empty();
    }

    /// Returns the address for the next attempt to connect: each cached
    /// address in turn, then random entry VMs of the scenario. Groups with
    /// `ignores_entries` get only the latter.
    std::string const& address_for(pending_request const& it)
    {
        auto const& cached = entry_cache_[it.group->organisation].addresses;
        auto const& entry_vms = scenario_.entries;
        if (it.group->ignores_entries || it.failed_connects >= cached.size())
            return entry_vms[random_() % entry_vms.size()];
        return cached[it.failed_connects];
    }

    void send(std::shared_ptr<pending_request> it)
    {
        auto const& group = *it->group;
        if (!std::exchange(it->keeps_address, false))
            it->address = address_for(*it);
        http_call call;
        call.method = group.method;
        call.url = "http://" + it->address + "/" + group.service + group.path;
        if (!group.key.empty())
            call.headers.push_back({"Authorization", "Bearer " + group.key});
        call.headers.push_back(
            {std::string(header::request_id), it->request_id});
        call.headers.push_back(
            {std::string(header::deadline), std::to_string(group.deadline_ms)});
        if (!it->payment_id.empty())
            call.headers.push_back({"X-Payment-Id", it->payment_id});
        if (group.idempotent_payments)
            call.headers.push_back(
                {std::string(header::idempotency_key), it->payment_id});
        call.body.assign(static_cast<std::size_t>(group.body_bytes), 'b');
        call.timeout =
            std::chrono::milliseconds(group.deadline_ms) + deadline_margin;
        call.connect_timeout = connect_timeout;
        call.own_connection = group.method == "POST";
        http_.start(std::move(call), [this, it](http_result const& result) {
            handle_result(it, result);
        });
    }

    void handle_result(
        std::shared_ptr<pending_request> it, http_result const& result)
    {
        if (result.end == http_end::not_sent &&
            it->failed_connects <
                scenario_.entries.size() + extra_connect_retries) {
            ++it->failed_connects;
            return send(it);
        }
        auto const sample = classify(*it, result);
        if (!it->payment_id.empty())
            report_.add_payment(it->payment_id, sample.outcome);
        if (it->group->retries_refused &&
            it->refused_retries < max_refused_retries &&
            sample.outcome == caller_outcome::refused_not_run)
            return retry_refused(it);
        bool const retry = it->group->idempotent_payments &&
            it->retries < max_retries &&
            (sample.outcome == caller_outcome::refused_unknown ||
                sample.outcome == caller_outcome::cut);
        if (retry) {
            ++it->retries;
            return send_again(it, retry_delay);
        }
        if (to_seconds(it->scheduled_at - started_) >= scenario_.warm_up_s)
            report_.add(it->group->organisation, sample);
    }

    void retry_refused(std::shared_ptr<pending_request> it)
    {
        ++it->refused_retries;
        it->keeps_address = true;
        if ((random_() & 1) != 0)
            it->request_id = new_request_id();
        send_again(it, refused_retry_delay);
    }

    void send_again(std::shared_ptr<pending_request> it, duration delay)
    {
        it->failed_connects = 0;
        auto const timer =
            std::make_shared<asio::steady_timer>(context_, delay);
        timer->async_wait([this, timer, it](asio::error_code) { send(it); });
    }

    caller_sample classify(
        pending_request const& it, http_result const& result) const
    {
        caller_sample sample;
        auto const now = boottime_clock::now();
        sample.total_ms = to_ms(now - it.scheduled_at);
        sample.second = static_cast<std::size_t>(to_seconds(now - started_));
        if (result.end == http_end::not_sent)
            sample.outcome = caller_outcome::not_reached;
        else if (result.end != http_end::answered)
            sample.outcome = caller_outcome::cut;
        else
            classify_answer(it, result, sample);
        return sample;
    }

    void classify_answer(pending_request const& it, http_result const& result,
        caller_sample& sample) const
    {
        auto const refusal_outcome =
            find_header(result.headers, header::outcome);
        if (!refusal_outcome.empty()) {
            sample.outcome = refusal_outcome == "not_run"
                ? caller_outcome::refused_not_run
                : caller_outcome::refused_unknown;
            auto const body =
                nlohmann::json::parse(result.body, nullptr, false);
            if (body.is_object())
                sample.refusal =
                    body.value("type", "") + " " + body.value("outcome", "");
            return;
        }
        constexpr int first_server_error = 500;
        bool const id_matches =
            find_header(result.headers, header::request_id) == it.request_id;
        if (result.status >= first_server_error)
            sample.outcome = caller_outcome::upstream_error;
        else
            sample.outcome =
                id_matches ? caller_outcome::answered : caller_outcome::wrong;
        std::int64_t service_us = 0;
        auto const text = find_header(result.headers, "X-Service-Us");
        std::from_chars(text.data(), text.data() + text.size(), service_us);
        sample.added_ms =
            sample.total_ms - static_cast<double>(service_us) / 1000;
    }

    /// Adds one upstream's number of runs of each payment id to `runs`.
    static void add_ledger(
        http_result const& result, std::map<std::string, std::uint64_t>& runs)
    {
        auto const body = nlohmann::json::parse(result.body, nullptr, false);
        if (!body.is_object())
            return;
        for (auto const& [id, n] : body.at("payments").items())
            runs[id] += n.get<std::uint64_t>();
    }

    /// Prints the progress line of the preceding second at the start of
    /// `second`, and schedules the next one.
    void schedule_progress(std::size_t second)
    {
        if (static_cast<double>(second) > scenario_.duration_s)
            return;
        progress_.expires_after(
            started_ + std::chrono::seconds(second) - boottime_clock::now());
        progress_.async_wait([this, second](asio::error_code ec) {
            if (ec)
                return;
            std::cerr << report_.progress(second - 1) << "\n";
            schedule_progress(second + 1);
        });
    }

    asio::io_context& context_;
    curl_loop http_;
    scenario const& scenario_;
    std::mt19937_64 random_;
    time_point started_;
    asio::steady_timer progress_;
    std::vector<std::unique_ptr<asio::steady_timer>> arrivals_;
    absl::flat_hash_map<std::string, cached_entries> entry_cache_;
    caller_report report_;
};

/// Runs a scenario and writes its report. Returns the exit status: 0, or 1 if
/// an outcome was incorrect, or 2 if the scenario is invalid.
int run(std::string const& scenario_path, std::string const& report_path)
{
    findings found(scenario_path);
    std::ifstream file(scenario_path);
    std::ostringstream text;
    text << file.rdbuf();
    auto const load = parse_scenario(text.str(), found);
    if (!load) {
        std::cerr << found.to_text();
        return 2;
    }
    asio::io_context context(1);
    load_generator generator(context, *load);
    context.run();
    context.restart();
    generator.read_ledgers([] {});
    context.run();
    auto const report = generator.report().to_json().dump(2);
    if (report_path.empty())
        std::cout << report << "\n";
    else
        std::ofstream(report_path) << report << "\n";
    return generator.report().is_correct() ? 0 : 1;
}

} // namespace
} // namespace pomelohinge::stand_ins

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "stand_in_caller", "Load generator that stands in for callers");
    options.add_options()("scenario", "Scenario file: JSON with comments",
        cxxopts::value<std::string>(),
        "FILE")("report", "File for the report; standard output if absent",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    auto const parsed = options.parse(argc, argv);
    return pomelohinge::stand_ins::run(parsed["scenario"].as<std::string>(),
        parsed["report"].as<std::string>());
}
