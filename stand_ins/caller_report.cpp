#include "stand_ins/caller_report.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace pomelohinge::stand_ins {
namespace {

nlohmann::ordered_json quantiles(std::vector<double> values)
{
    nlohmann::ordered_json row = nlohmann::ordered_json::object();
    if (values.empty())
        return row;
    std::sort(values.begin(), values.end());
    // Returns the sample at a quantile, whose rank is rounded down.
    auto const at = [&](double quantile) {
        auto const n = static_cast<std::size_t>(
            quantile * static_cast<double>(values.size() - 1));
        return values[n];
    };
    row["p50"] = at(0.5);
    row["p90"] = at(0.9);
    row["p99"] = at(0.99);
    row["p999"] = at(0.999);
    row["max"] = values.back();
    return row;
}

} // namespace

void caller_report::tally::add(caller_sample const& sample)
{
    ++outcomes[index_of(sample.outcome)];
    if (!sample.refusal.empty())
        ++refusals[sample.refusal];
    if (sample.outcome != caller_outcome::answered)
        return;
    total_ms.push_back(sample.total_ms);
    added_ms.push_back(sample.added_ms);
}

std::uint64_t caller_report::tally::requests() const
{
    return std::accumulate(outcomes.begin(), outcomes.end(), std::uint64_t{0});
}

double caller_report::tally::success() const
{
    auto const n = requests();
    return n == 0
        ? 1
        : static_cast<double>(outcomes[index_of(caller_outcome::answered)]) /
            static_cast<double>(n);
}

nlohmann::ordered_json caller_report::tally::to_json() const
{
    nlohmann::ordered_json row{
        {"requests", requests()}, {"success", success()}};
    for (auto const& it : name_table<caller_outcome>)
        row[std::string(it.name)] = outcomes[index_of(it.value)];
    row["refusals"] = refusals;
    row["total_ms"] = quantiles(total_ms);
    row["added_ms"] = quantiles(added_ms);
    return row;
}

void caller_report::add(
    std::string const& organisation, caller_sample const& sample)
{
    all_.add(sample);
    organisations_[organisation].add(sample);
    seconds_[sample.second].add(sample);
}

void caller_report::check_payments(
    std::map<std::string, std::uint64_t> const& runs)
{
    for (auto const& [id, n] : runs) {
        payment_runs_ += n;
        payments_doubled_ += n > 1 ? 1 : 0;
        auto const it = payments_.find(id);
        bool const untrue =
            it != payments_.end() && it->second.is_refusal_untrue(n);
        not_run_untrue_ += untrue ? 1 : 0;
    }
}

bool caller_report::is_correct() const
{
    return payments_doubled_ == 0 && not_run_untrue_ == 0 &&
        all_.outcomes[index_of(caller_outcome::wrong)] == 0;
}

std::string caller_report::progress(std::size_t second) const
{
    auto const it = seconds_.find(second);
    if (it == seconds_.end())
        return fmt::format("second {}: no requests ended", second);
    auto text =
        fmt::format("second {}: {} requests", second, it->second.requests());
    for (auto const& name : name_table<caller_outcome>)
        if (auto const n = it->second.outcomes[index_of(name.value)]; n > 0)
            text += fmt::format(", {} {}", n, name.name);
    return text;
}

nlohmann::ordered_json caller_report::to_json() const
{
    auto organisations = nlohmann::ordered_json::object();
    double worst = 1;
    for (auto const& [name, it] : organisations_) {
        organisations[name] = it.to_json();
        worst = std::min(worst, it.success());
    }
    auto seconds = nlohmann::ordered_json::array();
    for (auto const& [second, it] : seconds_)
        seconds.push_back({{"second", second}, {"requests", it.requests()},
            {"answered", it.outcomes[index_of(caller_outcome::answered)]},
            {"success", it.success()}});
    auto refused = nlohmann::ordered_json::object();
    for (auto const& [id, it] : payments_)
        if (it.refused_attempts > 0)
            refused[id] = it.outcome == caller_outcome::refused_not_run
                ? 0
                : it.open_attempts;
    return {{"all", all_.to_json()}, {"worst_success", worst},
        {"payments", payments_.size()}, {"payment_runs", payment_runs_},
        {"payments_doubled", payments_doubled_},
        {"not_run_untrue", not_run_untrue_},
        {"refused_payments", std::move(refused)},
        {"organisations", std::move(organisations)},
        {"seconds", std::move(seconds)}};
}

} // namespace pomelohinge::stand_ins
