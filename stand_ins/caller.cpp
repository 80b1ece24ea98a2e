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

/// A stand-in for callers: it asks which addresses to use, keeps the answer
/// for its time, connects there and sends requests at the times that its
/// scenario sets, however late answers are.
namespace pomelohinge::stand_ins {
namespace {

/// Added to a request's deadline before its connection counts as silent.
constexpr duration patience = std::chrono::milliseconds(1500);
constexpr duration entry_timeout = std::chrono::milliseconds(1000);

/// Requests with an unknown end are sent again so often, so far apart.
constexpr int most_repeats = 5;
constexpr duration repeat_after = std::chrono::milliseconds(300);

double to_ms(duration value)
{
    return to_seconds(value) * 1000;
}

/// One request of a tenant.
struct flight
{
    tenant const* who = nullptr;
    time_point intended;
    std::string request_id;
    std::string payment;
    std::size_t tries = 0;
    int repeats = 0;
};

/// The entry addresses that callers of one organisation keep.
struct kept_entries
{
    std::vector<std::string> addresses;
    time_point valid_until{};
    bool asking = false;
};

class caller
{
public:
    caller(asio::io_context& context, scenario const& plan)
        : context_(context), http_(context), plan_(plan),
          random_(static_cast<std::uint64_t>(plan.seed)),
          started_(boottime_clock::now()), progress_(context)
    {
        for (std::size_t it = 0; it < plan_.tenants.size(); ++it) {
            arrivals_.push_back(std::make_unique<asio::steady_timer>(context));
            next_arrival(it, started_);
        }
        tell_progress(1);
    }

    caller_report const& report() const { return report_; }

    /// Compares payments with the upstreams' ledgers; run the context after.
    void read_ledgers(std::function<void()> done)
    {
        auto const missing =
            std::make_shared<std::size_t>(plan_.ledgers.size());
        auto const runs =
            std::make_shared<std::map<std::string, std::uint64_t>>();
        for (auto const& it : plan_.ledgers) {
            http_call call;
            call.url = "http://" + it + "/stand_in/ledger";
            call.max_answer_bytes = 256 << 20;
            http_.start(std::move(call),
                [this, missing, runs, done](http_result const& result) {
                    add_ledger(result, *runs);
                    if (--*missing > 0)
                        return;
                    report_.compare(*runs);
                    done();
                });
        }
        if (plan_.ledgers.empty())
            done();
    }

private:
    bool is_over(time_point when) const
    {
        return to_seconds(when - started_) >= plan_.duration_s;
    }

    void next_arrival(std::size_t n, time_point last)
    {
        auto const& who = plan_.tenants[n];
        std::exponential_distribution<double> gap(who.requests_per_second);
        auto const when = last +
            std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(gap(random_)));
        if (is_over(when))
            return;
        arrivals_[n]->expires_after(when - boottime_clock::now());
        arrivals_[n]->async_wait([this, n, when](asio::error_code ec) {
            if (ec)
                return;
            next_arrival(n, when);
            begin(plan_.tenants[n], when);
        });
    }

    void begin(tenant const& who, time_point intended)
    {
        auto it = std::make_shared<flight>();
        it->who = &who;
        it->intended = intended;
        it->request_id = fmt::format("{:016x}", random_());
        if (who.payments)
            it->payment = "p-" + it->request_id;
        with_entries(who, [this, it] { send(it); });
    }

    /// Asks for entries if those kept are too old, then goes on.
    void with_entries(tenant const& who, std::function<void()> next)
    {
        auto& kept = entries_[who.organisation];
        auto const now = boottime_clock::now();
        bool const usable = !kept.addresses.empty();
        bool const fresh = usable && now < kept.valid_until;
        if (who.ignores_entries)
            kept.addresses = plan_.entries;
        if (fresh || who.ignores_entries || kept.asking)
            return next();
        kept.asking = true;
        ask_entries(who, 0, usable ? nullptr : next);
        // A kept answer is used while a new one is on its way.
        if (usable)
            next();
    }

    void ask_entries(
        tenant const& who, std::size_t tries, std::function<void()> next)
    {
        http_call call;
        auto const& seeds = plan_.entries;
        call.url = "http://" + seeds[random_() % seeds.size()] +
            "/.pomelohinge/entries";
        call.headers.push_back({"Authorization", "Bearer " + who.key});
        call.timeout = entry_timeout;
        http_.start(std::move(call),
            [this, &who, tries, next](http_result const& result) {
                auto& kept = entries_[who.organisation];
                if (!take_entries(result, kept) && tries < 5)
                    return ask_entries(who, tries + 1, next);
                kept.asking = false;
                if (next)
                    next();
            });
    }

    static bool take_entries(http_result const& result, kept_entries& kept)
    {
        if (result.end != http_end::answered || result.status != 200)
            return false;
        auto const body = nlohmann::json::parse(result.body, nullptr, false);
        if (!body.is_object())
            return false;
        kept.addresses = body.value("addresses", std::vector<std::string>());
        kept.valid_until = boottime_clock::now() +
            std::chrono::seconds(body.value("ttl_seconds", 1));
        return !kept.addresses.empty();
    }

    /// The address for the flight's next try: the kept ones in turn, then
    /// those known from the start.
    std::string const& address_for(flight const& it)
    {
        auto const& kept = entries_[it.who->organisation].addresses;
        auto const& known = plan_.entries;
        if (it.who->ignores_entries || it.tries >= kept.size())
            return known[random_() % known.size()];
        return kept[it.tries];
    }

    void send(std::shared_ptr<flight> it)
    {
        auto const& who = *it->who;
        http_call call;
        call.method = who.method;
        call.url = "http://" + address_for(*it) + "/" + who.service + who.path;
        if (!who.key.empty())
            call.headers.push_back({"Authorization", "Bearer " + who.key});
        call.headers.push_back(
            {std::string(header::request_id), it->request_id});
        call.headers.push_back(
            {std::string(header::deadline), std::to_string(who.deadline_ms)});
        if (!it->payment.empty())
            call.headers.push_back({"X-Payment-Id", it->payment});
        if (who.repeats)
            call.headers.push_back(
                {std::string(header::idempotency_key), it->payment});
        call.body.assign(static_cast<std::size_t>(who.body_bytes), 'b');
        call.timeout = std::chrono::milliseconds(who.deadline_ms) + patience;
        call.connect_timeout = std::chrono::milliseconds(300);
        call.fresh_connection = who.method == "POST";
        http_.start(std::move(call),
            [this, it](http_result const& result) { ended(it, result); });
    }

    void ended(std::shared_ptr<flight> it, http_result const& result)
    {
        if (result.end == http_end::not_sent &&
            it->tries < plan_.entries.size() + 4) {
            ++it->tries;
            return send(it);
        }
        auto const sample = judge(*it, result);
        bool const repeat = it->who->repeats && it->repeats < most_repeats &&
            (sample.end == caller_end::refused_unknown ||
                sample.end == caller_end::cut);
        if (repeat)
            return send_again(it);
        if (!it->payment.empty())
            report_.add_payment(it->payment, sample.end);
        if (to_seconds(it->intended - started_) >= plan_.warm_up_s)
            report_.add(it->who->organisation, sample);
    }

    void send_again(std::shared_ptr<flight> it)
    {
        ++it->repeats;
        it->tries = 0;
        auto const timer =
            std::make_shared<asio::steady_timer>(context_, repeat_after);
        timer->async_wait([this, timer, it](asio::error_code) { send(it); });
    }

    caller_sample judge(flight const& it, http_result const& result) const
    {
        caller_sample sample;
        auto const now = boottime_clock::now();
        sample.total_ms = to_ms(now - it.intended);
        sample.second = static_cast<std::size_t>(to_seconds(now - started_));
        if (result.end == http_end::not_sent)
            sample.end = caller_end::not_reached;
        else if (result.end != http_end::answered)
            sample.end = caller_end::cut;
        else
            judge_answer(it, result, sample);
        return sample;
    }

    void judge_answer(flight const& it, http_result const& result,
        caller_sample& sample) const
    {
        auto const outcome = find_header(result.headers, header::outcome);
        if (!outcome.empty()) {
            sample.end = outcome == "not_run" ? caller_end::refused_not_run
                                              : caller_end::refused_unknown;
            auto const body =
                nlohmann::json::parse(result.body, nullptr, false);
            if (body.is_object())
                sample.refusal =
                    body.value("type", "") + " " + body.value("outcome", "");
            return;
        }
        constexpr int first_error = 500;
        bool const mine =
            find_header(result.headers, header::request_id) == it.request_id;
        if (result.status >= first_error)
            sample.end = caller_end::upstream_error;
        else
            sample.end = mine ? caller_end::answered : caller_end::wrong;
        std::int64_t service_us = 0;
        auto const text = find_header(result.headers, "X-Service-Us");
        std::from_chars(text.data(), text.data() + text.size(), service_us);
        sample.added_ms =
            sample.total_ms - static_cast<double>(service_us) / 1000;
    }

    static void add_ledger(
        http_result const& result, std::map<std::string, std::uint64_t>& runs)
    {
        auto const body = nlohmann::json::parse(result.body, nullptr, false);
        if (!body.is_object())
            return;
        for (auto const& [id, n] : body.at("payments").items())
            runs[id] += n.get<std::uint64_t>();
    }

    void tell_progress(std::size_t second)
    {
        if (static_cast<double>(second) > plan_.duration_s)
            return;
        progress_.expires_after(
            started_ + std::chrono::seconds(second) - boottime_clock::now());
        progress_.async_wait([this, second](asio::error_code ec) {
            if (ec)
                return;
            std::cerr << report_.progress(second - 1) << "\n";
            tell_progress(second + 1);
        });
    }

    asio::io_context& context_;
    curl_loop http_;
    scenario const& plan_;
    std::mt19937_64 random_;
    time_point started_;
    asio::steady_timer progress_;
    std::vector<std::unique_ptr<asio::steady_timer>> arrivals_;
    absl::flat_hash_map<std::string, kept_entries> entries_;
    caller_report report_;
};

int run(std::string const& path, std::string const& report_path)
{
    findings found(path);
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    auto const plan = parse_scenario(text.str(), found);
    if (!plan) {
        std::cerr << found.to_text();
        return 2;
    }
    asio::io_context context(1);
    caller callers(context, *plan);
    context.run();
    context.restart();
    callers.read_ledgers([] {});
    context.run();
    auto const report = callers.report().to_json().dump(2);
    if (report_path.empty())
        std::cout << report << "\n";
    else
        std::ofstream(report_path) << report << "\n";
    return callers.report().is_clean() ? 0 : 1;
}

} // namespace
} // namespace pomelohinge::stand_ins

int main(int argc, char** argv)
{
    cxxopts::Options options("stand_in_caller", "Stand-in for callers");
    options.add_options()("scenario", "What to do",
        cxxopts::value<std::string>(),
        "FILE")("report", "Where the report goes, standard output if absent",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    auto const parsed = options.parse(argc, argv);
    return pomelohinge::stand_ins::run(parsed["scenario"].as<std::string>(),
        parsed["report"].as<std::string>());
}
