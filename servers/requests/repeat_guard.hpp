#ifndef POMELOHINGE_SERVERS_REQUESTS_REPEAT_GUARD_HPP
#define POMELOHINGE_SERVERS_REQUESTS_REPEAT_GUARD_HPP

#include "servers/requests/entry_environment.hpp"

#include <memory>
#include <utility>

namespace pomelohinge {

/// Holds a request with an `Idempotency-Key` to one run: the record in the
/// store is created before the request runs, and says afterwards what
/// became of it.
template <class Environment>
class repeat_guard
{
public:
    /// Creates the record, or finds that a repeat was first.
    void begin(Environment& environment, request_head const& head,
        admitted_request const& admitted, fingerprint print,
        std::function<void(record_outcome)> done)
    {
        held_ = std::make_shared<held_record>();
        auto& record = held_->record;
        record.organisation = admitted.organisation.text();
        record.idempotency_key = head.idempotency_key;
        record.print = print;
        record.ends_at_ms = environment.unix_now_ms() +
            to_milliseconds(admitted.time_limit + clock_margin);
        environment.create_record(record,
            [held = held_, &environment, done = std::move(done)](
                record_outcome result, idempotency_record found) {
                done(held->created(environment, result, std::move(found)));
            });
    }

    /// Says what became of the run; `started` stands for none.
    void finish(Environment& environment, record_state state,
        upstream_answer const& answer)
    {
        if (held_ == nullptr)
            return;
        held_->given_up = !held_->begun;
        if (!std::exchange(held_->begun, false))
            return;
        auto& record = held_->record;
        if (state == record_state::started)
            return environment.remove_record(record);
        record.state = state;
        if (state == record_state::done)
            held_->keep(answer);
        environment.write_record(record);
    }

    recorded_answer recorded() const { return held_->recorded; }

private:
    /// How far the clocks of two VMs may be apart.
    static constexpr duration clock_margin = std::chrono::seconds(5);

    /// Outlives the request while its record is being created.
    struct held_record
    {
        idempotency_record record;
        recorded_answer recorded;
        bool begun = false;
        /// The request ended before its record was created.
        bool given_up = false;

        record_outcome created(Environment& environment, record_outcome result,
            idempotency_record found)
        {
            if (result == record_outcome::accepted) {
                record.version = found.version;
                begun = !given_up;
                if (given_up)
                    environment.remove_record(record);
                return result;
            }
            if (result == record_outcome::unavailable)
                return result;
            recorded = found.answer;
            return judge_record(found, record.print, environment.unix_now_ms());
        }

        void keep(upstream_answer const& answer)
        {
            if (answer.body.size() > largest_kept_answer) {
                record.state = record_state::unknown;
                return;
            }
            record.answer = {answer.status, {}, answer.body};
            for (auto const& it : answer.headers)
                if (it.name == "Content-Type" || it.name == "content-type")
                    record.answer.content_type = it.value;
        }
    };

    std::shared_ptr<held_record> held_;
};

} // namespace pomelohinge

#endif
