#ifndef POMELOHINGE_SERVERS_REQUESTS_KEY_CHECK_HPP
#define POMELOHINGE_SERVERS_REQUESTS_KEY_CHECK_HPP

#include "core/name_table.hpp"
#include "servers/requests/entry_environment.hpp"

namespace pomelohinge {

/// Whether a request may still run with the key that it was admitted by.
enum class key_state {
    /// The key is in force, or the request needs none.
    in_force,
    /// The configuration was read too long ago to accept keys.
    stale,
    /// The current configuration does not contain the key.
    withdrawn,
};

template <>
inline constexpr auto name_table<key_state> = make_name_table<key_state>({
    {key_state::in_force, "in_force"},
    {key_state::stale, "stale"},
    {key_state::withdrawn, "withdrawn"},
});
static_assert(is_ordered<key_state>());

/// Checks the key of an admitted request. This is repeated before the request
/// is sent, since it may have been queued meanwhile.
template <class Environment>
key_state check_key(Environment& environment, request_head const& head,
    admitted_request const& admitted)
{
    if (admitted.organisation.empty() || !head.key)
        return key_state::in_force;
    auto const& routes = environment.current_policy()->index->routes;
    if (!routes.is_key_valid(*head.key, admitted.organisation))
        return key_state::withdrawn;
    return environment.state().is_fresh(
               environment.read_at(), environment.now())
        ? key_state::in_force
        : key_state::stale;
}

} // namespace pomelohinge

#endif
