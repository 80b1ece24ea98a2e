#include "servers/ownership/freshness.hpp"

#include <algorithm>

namespace pomelohinge {

void freshness::confirm(time_point read_at)
{
    read_at_ = std::max(read_at_, read_at);
}

void freshness::hold(
    hold_evidence const& evidence, std::uint64_t view_digest, time_point now)
{
    if (evidence.view_digest != view_digest || evidence.age > freshness_lease)
        return;
    held_at_ = std::max(held_at_, now - evidence.age);
}

time_point freshness::lease_end() const
{
    auto const last = std::max(read_at_, held_at_);
    return last == time_point{} ? last : last + freshness_lease;
}

} // namespace pomelohinge
