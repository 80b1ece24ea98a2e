#ifndef POMELOHINGE_MAIN_TRAFFIC_METRICS_HPP
#define POMELOHINGE_MAIN_TRAFFIC_METRICS_HPP

#include "servers/requests/entry_environment.hpp"
#include "servers/transfer/service_load.hpp"

#include <array>
#include <boost/histogram.hpp>
#include <map>
#include <string>
#include <vector>

namespace pomelohinge {

/// The parts of a request's latency: the time that the fleet adds, the time at
/// the upstream and the time in the wait queue.
enum class latency_kind { added, upstream, queue };

template <>
inline constexpr auto name_table<latency_kind> = make_name_table<latency_kind>({
    {latency_kind::added, "added"},
    {latency_kind::upstream, "upstream"},
    {latency_kind::queue, "queue"},
});
static_assert(is_ordered<latency_kind>());

/// The messages that a buffer budget is for.
enum class buffer_kind { answers, requests, small_requests };

template <>
inline constexpr auto name_table<buffer_kind> = make_name_table<buffer_kind>({
    {buffer_kind::answers, "answers"},
    {buffer_kind::requests, "requests"},
    {buffer_kind::small_requests, "small_requests"},
});
static_assert(is_ordered<buffer_kind>());

/// A histogram of durations in milliseconds with logarithmic bins from 0.05
/// ms to 100 s. Histograms of several threads and VMs can be added.
using latency_histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double,
        boost::histogram::axis::transform::log>(1, 1.0, 2.0)));

latency_histogram make_latency_histogram();

/// Returns a quantile in milliseconds: the upper bound of the bin up to which
/// `fraction` (0 to 1) of all values lie, or 0 if the histogram is empty.
double quantile(latency_histogram const& histogram, double fraction);

/// Counters and latency histograms of one organisation or service.
struct class_metrics
{
    std::uint64_t answered = 0;
    std::uint64_t attempts = 0;
    std::array<std::uint64_t, enum_count<refusal_kind>> refused{};
    /// Indexed by `latency_kind`.
    std::vector<latency_histogram> latencies;

    class_metrics();
    void add(class_metrics const& other);
};

/// Requests sent to other data centres.
struct transfer_metrics
{
    /// The part of the requests that may leave, by service and data centre. Of
    /// several threads, the largest.
    std::map<load_key, double> shares;
    std::uint64_t requests = 0;
    double bytes = 0;
};

/// Counters and latency histograms of one traffic thread. Only that thread
/// writes them; other threads receive copies in messages.
class traffic_metrics
{
public:
    /// Counts a finished request. Of `total`, `upstream` was spent at targets
    /// and `queue` in the wait queue. Latencies are recorded only if the
    /// request was answered.
    void record_request(organisation_id const& organisation,
        service_id const& service, entry_result const& result, duration total,
        duration upstream, duration queue, std::size_t attempts);

    /// Sets what the thread holds of a buffer budget.
    void set_buffers(buffer_kind kind, buffer_usage const& usage)
    {
        buffers_[index_of(kind)] = usage;
    }
    /// Sets the number of requests refused since there was no room for them.
    void set_buffer_refusals(std::uint64_t n) { buffer_refusals_ = n; }

    void set_transfers(transfer_metrics it) { transfers_ = std::move(it); }
    transfer_metrics const& transfers() const { return transfers_; }

    void add(traffic_metrics const& other);

    std::map<std::string, class_metrics> const& organisations() const
    {
        return organisations_;
    }
    std::map<std::string, class_metrics> const& services() const
    {
        return services_;
    }

    /// Returns the metrics in the Prometheus text format.
    std::string to_prometheus() const;

    /// Returns counters and quantiles per organisation and service as JSON.
    std::string to_json() const;

private:
    class_metrics& organisation_class(std::string const& name);

    std::map<std::string, class_metrics> organisations_;
    std::map<std::string, class_metrics> services_;
    std::array<buffer_usage, enum_count<buffer_kind>> buffers_{};
    std::uint64_t buffer_refusals_ = 0;
    transfer_metrics transfers_;
};

} // namespace pomelohinge

#endif
