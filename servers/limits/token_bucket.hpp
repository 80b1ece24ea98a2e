#ifndef POMELOHINGE_SERVERS_LIMITS_TOKEN_BUCKET_HPP
#define POMELOHINGE_SERVERS_LIMITS_TOKEN_BUCKET_HPP

#include "core/clock.hpp"

namespace pomelohinge {

/// Rate and burst of a bucket.
struct bucket_rate
{
    double tokens_per_second = 0;
    double burst = 0;

    friend bool operator==(bucket_rate, bucket_rate) = default;
};

/// A token bucket. Over any span of `t` seconds it gives at most
/// `burst + t * rate` tokens.
class token_bucket
{
public:
    /// A bucket that starts with `tokens`, at most its burst.
    token_bucket(bucket_rate rate, double tokens, time_point now);

    /// Takes one token if there is one.
    bool take(time_point now);

    /// Changes the rate. Tokens above the new burst are lost, and a higher
    /// burst fills only with time.
    void change_rate(bucket_rate rate, time_point now);

    /// Empties the bucket and returns what it held.
    double drain(time_point now);

    /// Adds tokens that another bucket gave up, up to the burst.
    void add(double tokens, time_point now);

    double tokens(time_point now);

    /// How long until one token is there.
    duration until_next(time_point now);

private:
    void refill(time_point now);

    bucket_rate rate_;
    double tokens_;
    time_point refilled_at_;
};

} // namespace pomelohinge

#endif
