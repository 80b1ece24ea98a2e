#ifndef POMELOHINGE_SERVERS_REQUESTS_IDEMPOTENCY_GUARD_HPP
#define POMELOHINGE_SERVERS_REQUESTS_IDEMPOTENCY_GUARD_HPP

#include "servers/requests/entry_environment.hpp"

#include <memory>
#include <string_view>
#include <utility>

namespace pomelohinge {

/// The refusal of a request that its idempotency record does not let run.
struct record_refusal
{
    refusal_kind kind;
    std::string_view detail;
    /// An earlier request with the key may have run.
    bool may_have_run = false;
    std::optional<duration> retry_after;
};

/// The refusal for an outcome other than `accepted` and `done`.
inline record_refusal refusal_for(record_outcome result)
{
    constexpr duration retry_after = std::chrono::seconds(1);
    switch (result) {
    case record_outcome::running:
        return {refusal_kind::repeat_running,
            "a request with this key is running", true, retry_after};
    case record_outcome::unknown:
        return {refusal_kind::repeat_unknown,
            "a request with this key may have run", true, {}};
    case record_outcome::differs:
        return {refusal_kind::repeat_differs,
            "the key was used for another request", false, {}};
    default:
        // An earlier request may have a record that could not be read.
        return {refusal_kind::not_ready, "the store does not answer", true,
            retry_after};
    }
}

/// Ensures that a request with an `Idempotency-Key` runs at most once. A record
/// is created in the store before the request runs, and holds the result
/// afterwards.
template <class Environment>
class idempotency_guard
{
public:
    /// Creates the record. `done` is called with `accepted` if the record was
    /// created, and with the outcome for the repeated request if a record with
    /// the same key exists.
    void begin(Environment& environment, request_head const& head,
        admitted_request const& admitted, fingerprint request_fingerprint,
        std::function<void(record_outcome)> done)
    {
        shared_ = std::make_shared<shared_record>();
        auto& record = shared_->record;
        record.organisation = admitted.organisation.text();
        record.idempotency_key = head.idempotency_key;
        record.request_fingerprint = request_fingerprint;
        record.writer = environment.state().random();
        record.ends_at_ms = environment.unix_now_ms() +
            to_milliseconds(admitted.time_limit + clock_margin);
        environment.create_record(record,
            [shared = shared_, &environment, done = std::move(done)](
                record_outcome result, idempotency_record found) {
                done(shared->on_created(environment, result, std::move(found)));
            });
    }

    /// Stores the final state of the request. With `started`, the request has
    /// not run and its record is removed.
    void finish(Environment& environment, record_state state,
        upstream_answer const& answer)
    {
        if (shared_ == nullptr)
            return;
        shared_->has_request_ended = !shared_->is_created;
        if (!std::exchange(shared_->is_created, false))
            return;
        auto& record = shared_->record;
        if (state == record_state::started)
            return environment.remove_record(record);
        record.state = state;
        if (state == record_state::done)
            shared_->store_answer(answer);
        environment.write_record(record);
    }

    /// The answer in the existing record, after the outcome `done`.
    recorded_answer recorded() const { return shared_->recorded; }

private:
    /// Maximum difference between the clocks of two VMs.
    static constexpr duration clock_margin = std::chrono::seconds(5);

    /// Kept alive by the callback if the request ends while its record is being
    /// created.
    struct shared_record
    {
        idempotency_record record;
        recorded_answer recorded;
        bool is_created = false;
        /// The request ended before its record was created, so the record has
        /// to be removed once it is.
        bool has_request_ended = false;

        record_outcome on_created(Environment& environment,
            record_outcome result, idempotency_record found)
        {
            if (result == record_outcome::accepted) {
                record.version = found.version;
                is_created = !has_request_ended;
                if (has_request_ended)
                    environment.remove_record(record);
                return result;
            }
            if (result != record_outcome::running)
                return result;
            recorded = found.answer;
            return evaluate_record(
                found, record.request_fingerprint, environment.unix_now_ms());
        }

        void store_answer(upstream_answer const& answer)
        {
            if (answer.body.size() > max_recorded_answer_bytes) {
                record.state = record_state::unknown;
                return;
            }
            record.answer = {answer.status, {}, answer.body};
            for (auto const& it : answer.headers)
                if (it.name == "Content-Type" || it.name == "content-type")
                    record.answer.content_type = it.value;
        }
    };

    std::shared_ptr<shared_record> shared_;
};

} // namespace pomelohinge

#endif
