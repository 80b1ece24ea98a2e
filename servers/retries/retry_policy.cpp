#include "servers/retries/retry_policy.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Retries that one request adds to the budget.
constexpr double retries_per_request = 0.1;

/// Retries that the budget keeps for later.
constexpr double largest_budget = 100;

/// With less time left than this, a further attempt is of no use.
constexpr duration shortest_attempt = std::chrono::milliseconds(5);

} // namespace

void retry_budget::request_began()
{
    tokens_ = std::min(tokens_ + retries_per_request, largest_budget);
}

bool retry_budget::take()
{
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

bool may_retry(
    failed_attempt const& failed, retry_budget& budget, time_point now)
{
    bool const harmless =
        failed.idempotent || failed.result == outcome::not_run;
    if (!harmless || failed.attempts >= most_attempts)
        return false;
    if (failed.deadline - now < shortest_attempt)
        return false;
    return budget.take();
}

} // namespace pomelohinge
