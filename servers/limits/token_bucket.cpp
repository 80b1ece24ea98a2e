#include "servers/limits/token_bucket.hpp"

#include <algorithm>

namespace pomelohinge {

token_bucket::token_bucket(bucket_rate rate, double tokens, time_point now)
    : rate_(rate), tokens_(std::min(tokens, rate.burst)), refilled_at_(now)
{
}

void token_bucket::refill(time_point now)
{
    if (now <= refilled_at_)
        return;
    auto const added = to_seconds(now - refilled_at_) * rate_.tokens_per_second;
    tokens_ = std::min(tokens_ + added, rate_.burst);
    refilled_at_ = now;
}

bool token_bucket::take(time_point now)
{
    refill(now);
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

void token_bucket::change_rate(bucket_rate rate, time_point now)
{
    refill(now);
    rate_ = rate;
    tokens_ = std::min(tokens_, rate_.burst);
}

double token_bucket::drain(time_point now)
{
    refill(now);
    auto const held = tokens_;
    tokens_ = 0;
    return held;
}

void token_bucket::add(double tokens, time_point now)
{
    refill(now);
    tokens_ = std::min(tokens_ + tokens, rate_.burst);
}

double token_bucket::tokens(time_point now)
{
    refill(now);
    return tokens_;
}

duration token_bucket::until_next(time_point now)
{
    refill(now);
    if (tokens_ >= 1)
        return duration::zero();
    if (rate_.tokens_per_second <= 0)
        return std::chrono::hours(1);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>((1 - tokens_) / rate_.tokens_per_second));
}

} // namespace pomelohinge
