#ifndef POMELOHINGE_SERVERS_REQUESTS_ENTRY_ENVIRONMENT_HPP
#define POMELOHINGE_SERVERS_REQUESTS_ENTRY_ENVIRONMENT_HPP

#include "servers/idempotency/record.hpp"
#include "servers/requests/entry_state.hpp"
#include "servers/requests/refusal.hpp"

#include <functional>
#include <variant>

namespace pomelohinge {

/// How the system ends a request.
using entry_result = std::variant<upstream_answer, recorded_answer, refusal>;

/// What a request needs of its surroundings: a daemon with sockets or a
/// test without. Replies come through the callbacks, on the same thread,
/// and not before the call returns.
template <class Environment>
concept EntryEnvironment = requires(Environment& environment,
    target_record const& target, upstream_request order,
    idempotency_record const& record, duration wait, std::uint64_t call)
{
    {
        environment.now()
        } -> std::same_as<time_point>;
    {
        environment.unix_now_ms()
        } -> std::same_as<std::int64_t>;
    {
        environment.current_policy()
        } -> std::same_as<policy_pointer const&>;
    {
        environment.read_at()
        } -> std::same_as<time_point>;
    {
        environment.state()
        } -> std::same_as<entry_state&>;
    {
        environment.send_upstream(
            target, std::move(order), std::function<void(attempt_end)>())
        } -> std::same_as<std::uint64_t>;
    environment.cancel_upstream(call);
    environment.after(wait, std::function<void()>());
    // Records: created once, read when another was first, written at the
    // end; a record that is taken back is removed.
    environment.create_record(
        record, std::function<void(record_outcome, idempotency_record)>());
    environment.write_record(record);
    environment.remove_record(record);
};

} // namespace pomelohinge

#endif
