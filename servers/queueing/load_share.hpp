#ifndef POMELOHINGE_SERVERS_QUEUEING_LOAD_SHARE_HPP
#define POMELOHINGE_SERVERS_QUEUEING_LOAD_SHARE_HPP

#include "servers/limits/rate_meter.hpp"

#include <cstdint>

namespace pomelohinge {

/// This thread's part of the fleet's requests, by what callers send and not by
/// what was served: a thread that gets few slots must not count on fewer still.
class load_share
{
public:
    void add_arrival(time_point now) { arrivals_.add(now); }

    /// Sets the requests per second that all others report, and the number of
    /// VMs among them that take requests.
    void set_elsewhere(double per_second, std::uint32_t entries)
    {
        elsewhere_ = per_second;
        entries_ = entries;
    }

    /// VMs that take requests, besides this one.
    std::uint32_t entries_elsewhere() const { return entries_; }

    /// 0 to 1; moved towards an equal part, since few requests arrive at one
    /// VM of many and their number varies.
    double at(time_point now) const
    {
        auto const own = arrivals_.per_second(now);
        auto const equal = 1.0 / (entries_ + 1);
        auto const all = own + elsewhere_;
        return all <= 0 ? equal
                        : equal_weight * equal + (1 - equal_weight) * own / all;
    }

private:
    static constexpr double equal_weight = 0.25;
    static constexpr duration averaging = std::chrono::seconds(3);

    rate_meter arrivals_{averaging};
    double elsewhere_ = 0;
    std::uint32_t entries_ = 0;
};

} // namespace pomelohinge

#endif
