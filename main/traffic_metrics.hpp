#ifndef POMELOHINGE_MAIN_TRAFFIC_METRICS_HPP
#define POMELOHINGE_MAIN_TRAFFIC_METRICS_HPP

#include "servers/requests/entry_environment.hpp"

#include <array>
#include <boost/histogram.hpp>
#include <map>
#include <string>
#include <vector>

namespace pomelohinge {

/// What is measured of requests.
enum class latency_kind { added, upstream, queue };

template <>
inline constexpr auto name_table<latency_kind> = make_name_table<latency_kind>({
    {latency_kind::added, "added"},
    {latency_kind::upstream, "upstream"},
    {latency_kind::queue, "queue"},
});
static_assert(is_ordered<latency_kind>());

/// A histogram of durations in milliseconds with logarithmic bins from 0.05
/// ms to 100 s. Histograms of several threads and VMs can be added.
using latency_histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double,
        boost::histogram::axis::transform::log>(1, 1.0, 2.0)));

latency_histogram make_latency_histogram();

/// The upper bound in milliseconds of the bin below which a share of all
/// values lies; 0 if the histogram is empty.
double quantile(latency_histogram const& histogram, double share);

/// What is kept for one organisation or service.
struct class_metrics
{
    std::uint64_t answered = 0;
    std::uint64_t attempts = 0;
    std::array<std::uint64_t, enum_count<refusal_kind>> refused{};
    std::vector<latency_histogram> latencies;

    class_metrics();
    void add(class_metrics const& other);
};

/// Counters and histograms of one traffic thread. Only that thread writes;
/// others get copies by message.
class traffic_metrics
{
public:
    /// Notes the end of a request.
    void ended(organisation_id const& organisation, service_id const& service,
        entry_result const& result, duration total, duration upstream,
        duration queue, std::size_t attempts);

    void add(traffic_metrics const& other);

    std::map<std::string, class_metrics> const& organisations() const
    {
        return organisations_;
    }
    std::map<std::string, class_metrics> const& services() const
    {
        return services_;
    }

    /// Prometheus text exposition format.
    std::string to_prometheus() const;

    /// Quantiles per organisation and service, JSON.
    std::string to_json() const;

private:
    class_metrics& organisation_class(std::string const& name);

    std::map<std::string, class_metrics> organisations_;
    std::map<std::string, class_metrics> services_;
};

} // namespace pomelohinge

#endif
