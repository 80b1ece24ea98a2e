#ifndef POMELOHINGE_SERVERS_LIMITS_ORGANISATION_SHARES_HPP
#define POMELOHINGE_SERVERS_LIMITS_ORGANISATION_SHARES_HPP

#include "config/objects.hpp"
#include "core/identifiers.hpp"
#include "servers/limits/token_bucket.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <string>
#include <vector>

namespace pomelohinge {

/// Number of owners among which an organisation's rate and burst are
/// divided. Two, so that half goes on when one dies; more for a large rate,
/// so that no VM is crowded; one for a burst too small to divide.
std::size_t share_count(rate_object const& rate);

/// Rate and burst of one share. All shares together have the whole.
bucket_rate share_of(rate_object const& rate);

/// What became of a charge.
enum class charge_verdict {
    granted,
    /// This share has no token; another may.
    exhausted,
    /// This VM holds no share or may not act.
    not_owner,
};

template <>
inline constexpr auto
    name_table<charge_verdict> = make_name_table<charge_verdict>({
        {charge_verdict::granted, "granted"},
        {charge_verdict::exhausted, "exhausted"},
        {charge_verdict::not_owner, "not_owner"},
    });
static_assert(is_ordered<charge_verdict>());

/// The answer to a charge.
struct charge_answer
{
    charge_verdict verdict = charge_verdict::not_owner;
    /// With `exhausted`: until then this share has no token.
    duration retry_after{};
};

/// Tokens that a share hands to its next owner.
struct share_transfer
{
    organisation_id organisation;
    double tokens = 0;
};

/// The shares that one traffic thread of one VM holds. A bucket is made at
/// its first charge with what it would have gathered since its ownership
/// began, so that idle organisations cost nothing.
class organisation_shares
{
public:
    /// Takes one token of the organisation's share. `owned_since` is when
    /// this VM began to act for it.
    charge_answer charge(organisation_id const& organisation,
        rate_object const& rate, time_point owned_since, time_point now);

    /// Gives up the share and returns its tokens; 0 if it has no bucket.
    double give_up(organisation_id const& organisation, time_point now);

    /// Adds tokens that the former owner gave up.
    void take_over(share_transfer const& transfer, rate_object const& rate,
        time_point owned_since, time_point now);

    /// Drops buckets that are as good as new.
    void forget_idle(time_point now);

    /// The organisations that have a bucket, sorted.
    std::vector<organisation_id> active() const;

private:
    struct held_share
    {
        bucket_rate rate;
        token_bucket bucket;
        time_point charged_at;
        /// Grants since the bucket was made, to assert the rate.
        double granted = 0;
        double allowed_at_start = 0;
        time_point made_at;
        time_point created_at;
    };

    held_share& share(organisation_id const& organisation,
        rate_object const& rate, time_point owned_since, time_point now);

    absl::flat_hash_map<organisation_id, held_share> shares_;
};

} // namespace pomelohinge

#endif
