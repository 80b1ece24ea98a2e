#include "tests/simulation/gray_run.hpp"

#include <cstdlib>
#include <fmt/format.h>

/// Prints the share of orders lost by fleets of several sizes before targets
/// that fail in spells, beside that of blind placement.
namespace {

using namespace pomelohinge;
using namespace pomelohinge::simulation;

struct load
{
    std::size_t vms;
    std::size_t targets;
    double rate;
    double idempotent_share;
};

void print_row(gray_shape shape)
{
    using namespace std::chrono_literals;
    gray_run run(1, shape);
    auto const result = run.run(20s, 60s);
    constexpr double failing_target_errors = 0.8;
    auto const blind = shape.failing_share * failing_target_errors +
        (1 - shape.failing_share) * gray_run::error_probability;
    fmt::print("{:4} {:4} {:6.1f} {:5.2f} {:6.0f} {:6.2f} | {:6} {:6.3f} "
               "{:7.3f} {:6.3f} | {:6} {:6.3f} | {:5.2f}\n",
        shape.vms, shape.targets, shape.rate, shape.idempotent_share,
        to_seconds(shape.spell), shape.failing_share, result.orders,
        result.loss(),
        static_cast<double>(result.refused_orders) /
            static_cast<double>(std::max<std::uint64_t>(result.orders, 1)),
        blind, result.lookups,
        static_cast<double>(result.lost_lookups) /
            static_cast<double>(std::max<std::uint64_t>(result.lookups, 1)),
        result.mean_use);
    std::fflush(stdout);
}

} // namespace

int main()
{
    using namespace std::chrono_literals;
    fmt::print(" vms tgts   rate idemp  spell  share | orders   lost refused  "
               "blind | lookup   lost |   use\n");
    for (auto const& it :
        {load{12, 24, 4, 0}, load{12, 24, 4, 0.3}, load{48, 24, 4, 0},
            load{96, 180, 4, 0}, load{12, 24, 1, 0}, load{48, 60, 10, 0}})
        for (auto const spell : {1s, 4s, 9s, 30s})
            for (auto const share : {0.05, 0.3, 0.5})
                print_row({it.vms, it.targets, it.rate, spell, share,
                    it.idempotent_share});
}
