#include "core/invariant.hpp"

#include "core/log.hpp"

#include <array>
#include <atomic>

namespace pomelohinge {
namespace {

std::array<std::atomic<std::uint64_t>, enum_count<invariant>>
    violation_counts{};

} // namespace

bool check_invariant(invariant which, bool holds, std::string_view detail)
{
    if (holds)
        return true;
    violation_counts[index_of(which)].fetch_add(1, std::memory_order_relaxed);
    log(log_event::invariant_violated,
        {{"invariant", to_name(which)}, {"detail", detail}});
    return false;
}

std::uint64_t invariant_violations(invariant which)
{
    return violation_counts[index_of(which)].load(std::memory_order_relaxed);
}

std::uint64_t invariant_violations()
{
    std::uint64_t sum = 0;
    for (auto const& it : violation_counts)
        sum += it.load(std::memory_order_relaxed);
    return sum;
}

} // namespace pomelohinge
