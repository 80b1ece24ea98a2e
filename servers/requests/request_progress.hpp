#ifndef POMELOHINGE_SERVERS_REQUESTS_REQUEST_PROGRESS_HPP
#define POMELOHINGE_SERVERS_REQUESTS_REQUEST_PROGRESS_HPP

#include "servers/idempotency/record.hpp"
#include "servers/requests/attempt.hpp"
#include "servers/requests/request.hpp"

#include <vector>

namespace pomelohinge {

/// What has become of a request's attempts.
struct request_progress
{
    /// The targets of all attempts.
    std::vector<target_id> tried;
    /// Ended attempts, except those that failed to connect.
    std::size_t sent_attempts = 0;
    /// Start of the latest attempt.
    time_point sent_at{};
    /// An attempt has started and not ended yet.
    bool in_progress = false;
    bool is_late = false;
    /// An attempt ended without proof that the target has not run the request,
    /// or another request with the same idempotency key may have run.
    bool may_have_run = false;
    attempt_result last_result = attempt_result::cancelled;

    void attempt_began(target_id const& target, time_point now)
    {
        tried.push_back(target);
        in_progress = true;
        is_late = false;
        sent_at = now;
    }

    void attempt_ended(attempt_result result)
    {
        last_result = result;
        if (result != attempt_result::connect_failed)
            ++sent_attempts;
        if (!proves_not_run(result))
            may_have_run = true;
    }

    /// Whether a further attempt keeps to the route's limit. Attempts that
    /// failed to connect may exceed it by a few.
    bool has_attempts_left(admitted_request const& admitted) const
    {
        constexpr std::size_t extra_unsent_attempts = 3;
        return sent_attempts < admitted.attempts &&
            tried.size() < admitted.attempts + extra_unsent_attempts;
    }

    /// What a refusal may say of the request.
    outcome current_outcome() const
    {
        return may_have_run ? outcome::unknown : outcome::not_run;
    }

    /// The state to store in the idempotency record; `started` if the request
    /// has not run.
    record_state final_record_state() const
    {
        if (has_answer(last_result) && !tried.empty())
            return record_state::done;
        return may_have_run || in_progress ? record_state::unknown
                                           : record_state::started;
    }
};

} // namespace pomelohinge

#endif
