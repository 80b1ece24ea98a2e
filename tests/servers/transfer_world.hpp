#ifndef POMELOHINGE_TESTS_SERVERS_TRANSFER_WORLD_HPP
#define POMELOHINGE_TESTS_SERVERS_TRANSFER_WORLD_HPP

#include "servers/exchange/fleet_reports.hpp"
#include "tests/servers/dispatch_fixture.hpp"
#include <fmt/format.h>
#include <functional>
#include <random>

/// Data centres with entries and targets for plays of transfers.
namespace pomelohinge {

inline constexpr auto step = 10ms;
inline constexpr auto report_period = 200ms;
inline constexpr auto exchange_period = 250ms;
inline constexpr auto service_time = 200ms;
inline constexpr auto goal = 600ms;
inline constexpr double request_bytes = 6000;
/// Part of the requests that a failing target fails.
inline constexpr int failure_percent = 85;
inline constexpr std::int64_t urgent = 1;
inline constexpr std::int64_t ordinary = 2;
inline constexpr std::size_t entries_per_centre = 2;
inline constexpr std::int64_t slots_per_target = 3;

/// What the callers of one data centre got.
struct caller_counts
{
    double requests = 0;
    double in_time = 0;
    double late = 0;
    double refused = 0;
    /// Requests that were sent to another data centre.
    double left = 0;

    double served() const { return requests > 0 ? in_time / requests : 0; }
};

/// Requests per second of a data centre, by time.
using load_function = std::function<double(duration)>;

load_function constant(double rate)
{
    return [rate](duration) {
        return rate;
    };
}

/// One traffic thread.
struct modelled_entry
{
    modelled_entry(target_charts const& charts, std::size_t number,
        data_centre_id const& data_centre,
        std::optional<transfer_settings> const& settings)
        : name("e" + std::to_string(number)), moved(settings, data_centre),
          targets(charts, vm_id(name), data_centre, number + 1,
              [](std::string const&) { return true; })
    {
        targets.set_transfer(moved);
    }

    std::string name;
    transfer moved;
    dispatcher targets;
};

struct modelled_centre
{
    data_centre_id name;
    load_function load;
    std::vector<std::unique_ptr<modelled_entry>> entries;
    report_aggregator reports;
    std::map<std::int64_t, caller_counts> counts;
};

} // namespace pomelohinge

#endif
