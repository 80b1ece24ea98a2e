#ifndef POMELOHINGE_SERVERS_POISON_POISON_GUARD_HPP
#define POMELOHINGE_SERVERS_POISON_POISON_GUARD_HPP

#include "core/clock.hpp"
#include "core/name_table.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <string_view>

namespace pomelohinge {

/// Tells requests apart by organisation, method, path and body.
using fingerprint = std::uint64_t;

fingerprint fingerprint_of(std::string_view organisation,
    std::string_view method, std::string_view path, std::string_view body);

/// Whether a request may go to an upstream.
enum class poison_verdict {
    clear,
    /// It was in flight at one crash: it may go, alone; its end must be
    /// told.
    trial,
    held_back,
};

template <>
inline constexpr auto
    name_table<poison_verdict> = make_name_table<poison_verdict>({
        {poison_verdict::clear, "clear"},
        {poison_verdict::trial, "trial"},
        {poison_verdict::held_back, "held_back"},
    });
static_assert(is_ordered<poison_verdict>());

/// Remembers requests that were in flight when their upstream crashed. After
/// one crash a repeat goes alone; after the second it is held back, longer
/// with each further crash, so that two upstreams are lost at most.
class poison_guard
{
public:
    /// Asks for a request with this fingerprint.
    poison_verdict ask(fingerprint print, time_point now);

    /// An upstream crashed while the request was in flight.
    void crashed(fingerprint print, time_point now);

    /// A trial ended without a crash: the request is cleared.
    void survived(fingerprint print);

    /// A trial ended before it reached an upstream: another may follow.
    void trial_unused(fingerprint print);

    /// Whether the request is suspected.
    bool knows(fingerprint print) const { return suspects_.contains(print); }

    /// Whether nothing is remembered, so that asking can be skipped.
    bool empty() const { return suspects_.empty(); }

    /// How long a held back request has to wait.
    duration wait(fingerprint print, time_point now) const;

private:
    struct suspect
    {
        std::size_t crashes = 0;
        bool on_trial = false;
        time_point trial_until{};
        time_point held_until{};
        time_point forget_at{};
    };

    void forget_old(time_point now);

    absl::flat_hash_map<fingerprint, suspect> suspects_;
};

} // namespace pomelohinge

#endif
