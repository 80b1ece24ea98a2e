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

/// A token bucket. In any interval of `t` seconds it grants at most
/// `burst + t * rate` tokens.
class token_bucket
{
public:
    /// Makes a bucket that holds `tokens` at first, limited to its burst.
    token_bucket(bucket_rate rate, double tokens, time_point now);

    /// Takes one token. Returns false if less than one is available.
    bool take(time_point now);

    /// Changes rate and burst. Tokens above the new burst are dropped; a
    /// higher burst is filled at the rate, not at once.
    void change_rate(bucket_rate rate, time_point now);

    /// Empties the bucket and returns the tokens that it held.
    double drain(time_point now);

    /// Adds returned tokens, up to the burst.
    void add(double tokens, time_point now);

    double tokens(time_point now);

    /// Time until a whole token is available, zero if it is now. An hour if
    /// the rate is zero.
    duration until_next(time_point now);

private:
    void refill(time_point now);

    bucket_rate rate_;
    double tokens_;
    time_point refilled_at_;
};

} // namespace pomelohinge

#endif
