#include "main/traffic_metrics.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace pomelohinge {
namespace {

namespace bh = boost::histogram;

constexpr unsigned latency_bins = 64;
constexpr double min_latency_ms = 0.05;
constexpr double max_latency_ms = 100'000;

/// Organisations beyond this number are counted together as `(others)`, which
/// bounds the memory in use.
constexpr std::size_t max_organisations = 2000;
constexpr char const* other_organisations = "(others)";

double to_ms(duration value)
{
    return to_seconds(value) * 1000;
}

void add_request(class_metrics& it, entry_result const& result, duration total,
    duration upstream, duration queue, std::size_t attempts)
{
    it.attempts += attempts;
    if (auto const* const refused = std::get_if<refusal>(&result)) {
        ++it.refused[index_of(refused->kind)];
        return;
    }
    ++it.answered;
    it.latencies[index_of(latency_kind::added)](
        to_ms(total - upstream - queue));
    it.latencies[index_of(latency_kind::upstream)](to_ms(upstream));
    it.latencies[index_of(latency_kind::queue)](to_ms(queue));
}

void append_class(std::string& text, std::string_view label,
    std::string const& name, class_metrics const& it)
{
    text += fmt::format("pomelohinge_answered_total{{{}=\"{}\"}} {}\n", label,
        name, it.answered);
    text += fmt::format("pomelohinge_attempts_total{{{}=\"{}\"}} {}\n", label,
        name, it.attempts);
    for (auto const& kind : name_table<refusal_kind>)
        if (auto const n = it.refused[index_of(kind.value)]; n > 0)
            text += fmt::format(
                "pomelohinge_refused_total{{{}=\"{}\",kind=\"{}\"}} {}\n",
                label, name, kind.name, n);
    for (auto const& kind : name_table<latency_kind>)
        for (auto const fraction : {0.5, 0.99})
            text += fmt::format("pomelohinge_latency_ms{{{}=\"{}\",part=\"{}\""
                                ",quantile=\"{}\"}} {:.3f}\n",
                label, name, kind.name, fraction,
                quantile(it.latencies[index_of(kind.value)], fraction));
}

nlohmann::ordered_json class_json(class_metrics const& it)
{
    nlohmann::ordered_json refused = nlohmann::ordered_json::object();
    for (auto const& kind : name_table<refusal_kind>)
        if (auto const n = it.refused[index_of(kind.value)]; n > 0)
            refused[std::string(kind.name)] = n;
    nlohmann::ordered_json body{{"answered", it.answered},
        {"attempts", it.attempts}, {"refused", std::move(refused)}};
    for (auto const& kind : name_table<latency_kind>) {
        auto const& histogram = it.latencies[index_of(kind.value)];
        body[std::string(kind.name)] = {{"p50_ms", quantile(histogram, 0.5)},
            {"p90_ms", quantile(histogram, 0.9)},
            {"p99_ms", quantile(histogram, 0.99)},
            {"p999_ms", quantile(histogram, 0.999)}};
    }
    return body;
}

void add_classes(std::map<std::string, class_metrics>& into,
    std::map<std::string, class_metrics> const& from)
{
    for (auto const& [name, it] : from)
        into[name].add(it);
}

} // namespace

latency_histogram make_latency_histogram()
{
    return bh::make_histogram(
        bh::axis::regular<double, bh::axis::transform::log>(
            latency_bins, min_latency_ms, max_latency_ms));
}

double quantile(latency_histogram const& histogram, double fraction)
{
    double total = 0;
    for (auto&& it : bh::indexed(histogram, bh::coverage::all))
        total += static_cast<double>(*it);
    if (total == 0)
        return 0;
    double cumulative = 0;
    for (auto&& it : bh::indexed(histogram, bh::coverage::all)) {
        cumulative += static_cast<double>(*it);
        if (cumulative >= fraction * total)
            return it.bin().upper();
    }
    return max_latency_ms;
}

class_metrics::class_metrics()
    : latencies(enum_count<latency_kind>, make_latency_histogram())
{
}

void class_metrics::add(class_metrics const& other)
{
    answered += other.answered;
    attempts += other.attempts;
    for (std::size_t it = 0; it < refused.size(); ++it)
        refused[it] += other.refused[it];
    for (std::size_t it = 0; it < latencies.size(); ++it)
        latencies[it] += other.latencies[it];
}

class_metrics& traffic_metrics::organisation_class(std::string const& name)
{
    auto const it = organisations_.find(name);
    if (it != organisations_.end())
        return it->second;
    bool const is_below_limit = organisations_.size() < max_organisations;
    return organisations_[is_below_limit ? name : other_organisations];
}

void traffic_metrics::record_request(organisation_id const& organisation,
    service_id const& service, entry_result const& result, duration total,
    duration upstream, duration queue, std::size_t attempts)
{
    add_request(organisation_class(organisation.text()), result, total,
        upstream, queue, attempts);
    add_request(
        services_[service.text()], result, total, upstream, queue, attempts);
}

void traffic_metrics::add(traffic_metrics const& other)
{
    add_classes(organisations_, other.organisations_);
    add_classes(services_, other.services_);
    for (std::size_t it = 0; it < buffers_.size(); ++it) {
        buffers_[it].used_bytes += other.buffers_[it].used_bytes;
        buffers_[it].peak_bytes += other.buffers_[it].peak_bytes;
        buffers_[it].waits += other.buffers_[it].waits;
    }
    buffer_refusals_ += other.buffer_refusals_;
    for (auto const& [key, share] : other.transfers_.shares) {
        auto& largest = transfers_.shares[key];
        largest = std::max(largest, share);
    }
    transfers_.requests += other.transfers_.requests;
    transfers_.bytes += other.transfers_.bytes;
}

std::string traffic_metrics::to_prometheus() const
{
    std::string text = "# TYPE pomelohinge_answered_total counter\n"
                       "# TYPE pomelohinge_attempts_total counter\n"
                       "# TYPE pomelohinge_refused_total counter\n"
                       "# TYPE pomelohinge_latency_ms gauge\n";
    for (auto const& [name, it] : organisations_)
        append_class(text, "organisation", name, it);
    for (auto const& [name, it] : services_)
        append_class(text, "service", name, it);
    text += "# TYPE pomelohinge_buffer_bytes gauge\n"
            "# TYPE pomelohinge_buffer_peak_bytes gauge\n"
            "# TYPE pomelohinge_buffer_waits_total counter\n"
            "# TYPE pomelohinge_buffer_refusals_total counter\n";
    for (auto const& kind : name_table<buffer_kind>) {
        auto const& it = buffers_[index_of(kind.value)];
        text +=
            fmt::format("pomelohinge_buffer_bytes{{kind=\"{0}\"}} {1}\n"
                        "pomelohinge_buffer_peak_bytes{{kind=\"{0}\"}} {2}\n"
                        "pomelohinge_buffer_waits_total{{kind=\"{0}\"}} {3}\n",
                kind.name, it.used_bytes, it.peak_bytes, it.waits);
    }
    text +=
        fmt::format("pomelohinge_buffer_refusals_total {}\n", buffer_refusals_);
    text +=
        fmt::format("# TYPE pomelohinge_transferred_requests_total counter\n"
                    "pomelohinge_transferred_requests_total {}\n"
                    "# TYPE pomelohinge_transferred_bytes_total counter\n"
                    "pomelohinge_transferred_bytes_total {:.0f}\n"
                    "# TYPE pomelohinge_transfer_share gauge\n",
            transfers_.requests, transfers_.bytes);
    for (auto const& [key, share] : transfers_.shares)
        text += fmt::format(
            "pomelohinge_transfer_share{{service=\"{}\",to=\"{}\"}} {:.3f}\n",
            key.service, key.data_centre, share);
    return text;
}

std::string traffic_metrics::to_json() const
{
    auto organisations = nlohmann::ordered_json::object();
    for (auto const& [name, it] : organisations_)
        organisations[name] = class_json(it);
    auto services = nlohmann::ordered_json::object();
    for (auto const& [name, it] : services_)
        services[name] = class_json(it);
    return nlohmann::ordered_json{{"organisations", std::move(organisations)},
        {"services", std::move(services)}}
        .dump();
}

} // namespace pomelohinge
