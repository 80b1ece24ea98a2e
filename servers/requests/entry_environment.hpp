#ifndef POMELOHINGE_SERVERS_REQUESTS_ENTRY_ENVIRONMENT_HPP
#define POMELOHINGE_SERVERS_REQUESTS_ENTRY_ENVIRONMENT_HPP

#include "servers/idempotency/record.hpp"
#include "servers/requests/entry_state.hpp"
#include "servers/requests/refusal.hpp"

#include <functional>
#include <variant>

namespace pomelohinge {

/// How a request ends: with an answer of an upstream, a recorded answer or a
/// refusal.
using entry_result = std::variant<upstream_answer, recorded_answer, refusal>;

/// The interface between a request and the process that runs it: a daemon with
/// sockets, or a test without. Callbacks are called on the same thread, and
/// never before the function that takes them returns. `read_at` is the time at
/// which the current configuration was last read from the store.
/// `send_upstream` returns an id by which `cancel_upstream` cancels the
/// attempt, and `after` calls a function after a delay.
template <class Environment>
concept EntryEnvironment = requires(Environment& environment,
    target_record const& target, upstream_request request,
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
            target, std::move(request), std::function<void(attempt_end)>())
        } -> std::same_as<std::uint64_t>;
    environment.cancel_upstream(call);
    environment.after(wait, std::function<void()>());
    // Idempotency records. `create_record` reads the existing record if there
    // is one; `write_record` stores the final state; `remove_record` removes
    // the record of a request that has not run.
    environment.create_record(
        record, std::function<void(record_outcome, idempotency_record)>());
    environment.write_record(record);
    environment.remove_record(record);
};

} // namespace pomelohinge

#endif
