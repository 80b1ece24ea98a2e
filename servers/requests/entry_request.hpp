#ifndef POMELOHINGE_SERVERS_REQUESTS_ENTRY_REQUEST_HPP
#define POMELOHINGE_SERVERS_REQUESTS_ENTRY_REQUEST_HPP

#include "core/chart.hpp"
#include "core/invariant.hpp"
#include "servers/requests/entry_environment.hpp"
#include "servers/requests/repeat_guard.hpp"
#include "servers/requests/request_chart.hpp"
#include "servers/requests/request_log.hpp"

#include <algorithm>
#include <memory>

namespace pomelohinge {

/// One request on its entry VM, from its head to its end. It follows
/// charts/request.jsonc; guards and actions are here. The environment must
/// outlive it, and it must not be destroyed before `on_end` was called, but
/// for a callback that holds it by `weak_ptr`.
template <class Environment>
class entry_request
    : public std::enable_shared_from_this<entry_request<Environment>>
{
public:
    using end_callback = std::function<void(entry_result)>;

    /// What was seen of the request, for metrics.
    struct trace
    {
        organisation_id organisation;
        service_id service;
        std::size_t attempts = 0;
        duration upstream_time{};
        duration queue_time{};
    };

    entry_request(chart<request_chart> const& rules, Environment& environment,
        entry_message message, end_callback on_end)
        : life_(rules), environment_(environment), message_(std::move(message)),
          on_end_(std::move(on_end))
    {
    }

    /// Starts the request; it may end within the call.
    void start()
    {
        // The environment may name this class and is complete only here.
        static_assert(EntryEnvironment<Environment>);
        started_at_ = environment_.now();
        state().load.add(started_at_);
        auto const& policy = environment_.current_policy();
        if (policy == nullptr || !policy->ready)
            return refuse(refusal_kind::not_ready,
                "no configuration is known yet", short_wait);
        std::uniform_real_distribution<double> draw(0, 1);
        auto admitted =
            policy->index->routes.admit(message_.head, draw(state().random));
        if (auto* const it = std::get_if<refusal>(&admitted)) {
            refusal_ = std::move(*it);
            return fire(request_event::refused);
        }
        admitted_ = std::get<admitted_request>(std::move(admitted));
        trace_.organisation = admitted_.organisation;
        trace_.service = admitted_.service;
        deadline_ = started_at_ + admitted_.time_limit;
        if (!is_key_reliable())
            return refuse_stale();
        if (!passes_poison_guard())
            return;
        state().retries.request_began(admitted_.service.text(), started_at_);
        environment_.after(admitted_.time_limit,
            guarded([this] { fire(request_event::deadline); }));
        fire(request_event::admitted);
    }

    /// The caller went away.
    void caller_gone() { fire(request_event::caller_gone); }

    bool ended() const { return life_.is_final(); }
    trace const& seen() const { return trace_; }

    /// For the chart.
    bool check(request_guard guard)
    {
        switch (guard) {
        case request_guard::has_repeat_key:
            return !message_.head.repeat_key.empty() &&
                !admitted_.organisation.empty() && !admitted_.idempotent;
        case request_guard::may_retry:
            return may_retry();
        case request_guard::has_answer:
            return has_answer(last_result_);
        case request_guard::may_move:
            return may_move();
        }
        return false;
    }

    /// For the chart.
    void perform(request_action action)
    {
        switch (action) {
        case request_action::ask_record:
            return ask_record();
        case request_action::ask_charge:
            return ask_charge();
        case request_action::ask_place:
            return ask_place();
        case request_action::send:
            return send();
        case request_action::cancel_attempt:
            return cancel_attempt();
        case request_action::leave_line:
            return leave_line();
        case request_action::refund_charge:
            return refund_charge();
        case request_action::finish_record:
            return repeat_.finish(environment_, final_record_state(), answer_);
        case request_action::answer_upstream:
            return end(std::move(answer_));
        case request_action::answer_recorded:
            return end(repeat_.recorded());
        case request_action::answer_refusal:
            return end(refusal_);
        case request_action::answer_deadline:
            return answer_deadline();
        }
    }

private:
    static constexpr duration short_wait = std::chrono::seconds(1);
    static constexpr int first_server_error = 500;

    /// What is kept back of the deadline for the way of the answer.
    static constexpr duration answer_reserve = std::chrono::milliseconds(15);

    /// A request waits this long for a token of its organisation's rate,
    /// which smooths what several VMs count apart.
    static constexpr duration longest_charge_wait =
        std::chrono::milliseconds(150);

    /// Multiples of the typical time of an answer: when an attempt that can
    /// be repeated is moved to another target, when an attempt is late, and
    /// when it alone speaks against its target.
    static constexpr int move_factor = 5;
    static constexpr int late_factor = 3;
    static constexpr int overdue_factor = 7;
    static constexpr duration shortest_move_wait =
        std::chrono::milliseconds(400);

    /// Attempts that reached nothing may follow those that a route allows.
    static constexpr std::size_t extra_unsent_attempts = 3;

    entry_state& state() { return environment_.state(); }

    /// Wraps a callback so that it does nothing once the request is gone.
    template <class Callback>
    auto guarded(Callback callback)
    {
        return [weak = this->weak_from_this(), callback = std::move(callback)](
                   auto&&... arguments) {
            if (auto const self = weak.lock())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    void fire(request_event event) { life_.fire(event, *this); }

    void end(entry_result result)
    {
        auto const* const refused = std::get_if<refusal>(&result);
        check_invariant(invariant::not_run_is_true,
            refused == nullptr || refused->result != outcome::not_run ||
                !(may_have_run_ || under_way_),
            message_.head.request_id);
        log_ended(message_.head.request_id, result,
            {admitted_.organisation, admitted_.service, target_.id,
                trace_.attempts, environment_.now() - started_at_,
                admitted_.time_limit, admitted_.goal});
        auto const* const whole = std::get_if<upstream_answer>(&result);
        if (!admitted_.service.empty())
            state().targets.note_end(admitted_.service,
                whole != nullptr && whole->status < first_server_error);
        if (auto const callback = std::exchange(on_end_, nullptr))
            callback(std::move(result));
    }

    void refuse(refusal_kind kind, std::string detail,
        std::optional<duration> retry_after = {})
    {
        // A request that is tried again may have run at its first try.
        auto const known = may_have_run_ ? outcome::unknown : outcome::not_run;
        refusal_ = {kind, known, std::move(detail), {}};
        if (retry_after)
            refusal_.retry_after =
                std::chrono::ceil<std::chrono::milliseconds>(*retry_after);
        fire(request_event::refused);
    }

    // Keys.

    /// Whether the key is in force as far as can be known now. A key that a
    /// later configuration has taken away stops a waiting request, too.
    bool is_key_reliable()
    {
        if (admitted_.organisation.empty() || !message_.head.key)
            return true;
        return state().is_fresh(environment_.read_at(), environment_.now());
    }

    bool is_key_in_force()
    {
        return admitted_.organisation.empty() || !message_.head.key ||
            environment_.current_policy()->index->routes.key_in_force(
                *message_.head.key, admitted_.organisation);
    }

    void refuse_stale()
    {
        log_stale(message_.head.request_id,
            environment_.now() - environment_.read_at());
        refuse(refusal_kind::not_ready,
            "the configuration was not confirmed for too long", short_wait);
    }

    bool passes_poison_guard()
    {
        auto& guard = state().poison;
        print_ = fingerprint_of(admitted_.organisation.text(),
            message_.head.method, admitted_.path, message_.body);
        if (guard.empty())
            return true;
        auto const hold = guard.held_for(print_, environment_.now());
        if (hold <= duration::zero())
            return true;
        refuse(refusal_kind::held_back,
            "targets were lost while they ran this request", hold);
        return false;
    }

    // Idempotency records.

    void ask_record()
    {
        repeat_.begin(environment_, message_.head, admitted_, print_,
            guarded([this](record_outcome result) { record_replied(result); }));
    }

    void record_replied(record_outcome result)
    {
        switch (result) {
        case record_outcome::accepted:
            return fire(request_event::record_begun);
        case record_outcome::done:
            return fire(request_event::record_found);
        case record_outcome::running:
            may_have_run_ = true;
            return refuse(refusal_kind::repeat_running,
                "a request with this key is running", short_wait);
        case record_outcome::unknown:
            may_have_run_ = true;
            return refuse(refusal_kind::repeat_unknown,
                "a request with this key may have run");
        case record_outcome::differs:
            return refuse(refusal_kind::repeat_differs,
                "the key was used for another request");
        case record_outcome::unavailable:
            return refuse(refusal_kind::not_ready, "the store does not answer",
                short_wait);
        }
    }

    record_state final_record_state() const
    {
        if (has_answer(last_result_) && trace_.attempts > 0)
            return record_state::done;
        return may_have_run_ || under_way_ ? record_state::unknown
                                           : record_state::started;
    }

    // Limits.

    void ask_charge()
    {
        auto const* const rate =
            environment_.current_policy()->index->routes.rate_of(
                admitted_.organisation);
        if (admitted_.organisation.empty() || rate == nullptr)
            return fire(request_event::charged);
        auto const now = environment_.now();
        auto const verdict =
            state().limits.charge(admitted_.organisation.text(), *rate, now);
        if (verdict.granted) {
            is_charged_ = true;
            return fire(request_event::charged);
        }
        bool const waits = !std::exchange(has_waited_for_charge_, true) &&
            verdict.retry_after <= longest_charge_wait;
        if (waits)
            return environment_.after(verdict.retry_after, guarded([this] {
                if (life_.state() == request_state::charging)
                    ask_charge();
            }));
        log_rate_used_up(
            message_.head.request_id, admitted_.organisation, *rate, verdict);
        refuse(refusal_kind::rate_exceeded,
            "the organisation's rate and burst are used up",
            verdict.retry_after);
    }

    void refund_charge()
    {
        if (std::exchange(is_charged_, false) && !may_have_run_ && !under_way_)
            state().limits.refund(
                admitted_.organisation.text(), environment_.now());
    }

    // Placing.

    /// A start later than this leaves too little time for the answer. An
    /// answer within the goal is what the wait is for.
    time_point start_by()
    {
        auto const typical = state().targets.typical_latency(admitted_.service);
        auto const limit = admitted_.goal > duration::zero()
            ? std::min(admitted_.goal, admitted_.time_limit)
            : admitted_.time_limit;
        auto const wait = std::max<duration>(limit - typical, limit / 4);
        return std::min(started_at_ + wait,
            deadline_ - std::min<duration>(typical, admitted_.time_limit / 2));
    }

    bool has_attempts_left() const
    {
        return sent_attempts_ < admitted_.attempts &&
            trace_.attempts < admitted_.attempts + extra_unsent_attempts;
    }

    bool is_repeatable()
    {
        return admitted_.idempotent &&
            sent_attempts_ + 1 < admitted_.attempts &&
            state().retries.allows(
                admitted_.service.text(), environment_.now());
    }

    void ask_place()
    {
        placing_since_ = environment_.now();
        placement_question question{admitted_.service, admitted_.priority,
            is_repeatable(), tried_, start_by()};
        auto decided = state().targets.submit(std::move(question),
            guarded([this](placement_decision decision) {
                ticket_ = 0;
                decide(std::move(decision));
            }),
            placing_since_);
        if (auto* const it = std::get_if<placement_decision>(&decided))
            return decide(std::move(*it));
        ticket_ = std::get<ticket>(decided);
    }

    void leave_line()
    {
        if (ticket_ != 0)
            state().targets.withdraw(std::exchange(ticket_, 0));
    }

    void decide(placement_decision decision)
    {
        trace_.queue_time += environment_.now() - placing_since_;
        if (auto* const it = std::get_if<placement>(&decision)) {
            reason_ = it->reason;
            target_ = std::move(it->target);
            return fire(request_event::placed);
        }
        auto const& denial = std::get<placement_denial>(decision);
        bool const full = denial.why == placement_refusal::overloaded;
        if (has_answer(last_result_))
            return fire(request_event::answer);
        refuse(full ? refusal_kind::overloaded : refusal_kind::no_upstream,
            full ? "all targets are at their limit"
                 : "the service has no target that may get it",
            denial.retry_after);
    }

    // One attempt.

    void send()
    {
        auto const now = environment_.now();
        auto const left = deadline_ - now;
        // What was true when the request came may have changed while it
        // waited.
        if (!is_key_reliable() || !is_key_in_force()) {
            give_target_back(now);
            if (is_key_in_force())
                return refuse_stale();
            return refuse(refusal_kind::key_unknown, "the key is not in force");
        }
        if (left <= answer_reserve) {
            give_target_back(now);
            return fire(request_event::deadline);
        }
        ++trace_.attempts;
        tried_.push_back(target_.id);
        under_way_ = true;
        is_late_ = false;
        sent_at_ = now;
        auto const number = trace_.attempts;
        log_sent(message_.head.request_id,
            {number, target_, reason_,
                environment_.current_policy()->index->version,
                now - environment_.read_at(), trace_.queue_time, left});
        attempt_ = environment_.send_upstream(target_,
            make_order(message_, admitted_, left - answer_reserve),
            guarded([this, number](attempt_end it) {
                if (number == trace_.attempts)
                    attempt_ended(std::move(it));
            }));
        watch_attempt(number);
    }

    void give_target_back(time_point now)
    {
        state().targets.ended(
            target_, attempt_result::cancelled, duration::zero(), now);
    }

    /// Plans what follows while the target does not answer.
    void watch_attempt(std::size_t number)
    {
        auto const typical = state().targets.typical_latency(admitted_.service);
        if (typical <= duration::zero())
            return;
        auto const after = [&](duration wait, auto what) {
            if (sent_at_ + wait < deadline_)
                environment_.after(wait, guarded([this, number, what] {
                    if (number == trace_.attempts && under_way_)
                        what();
                }));
        };
        after(typical * late_factor, [this] { became_late(); });
        after(typical * overdue_factor,
            [this] { state().targets.overdue(target_, environment_.now()); });
        if (is_repeatable())
            after(std::max<duration>(typical * move_factor, shortest_move_wait),
                [this] { fire(request_event::impatient); });
    }

    void became_late()
    {
        is_late_ = true;
        state().targets.late(target_, environment_.now());
    }

    void settle_attempt(attempt_result result)
    {
        auto const now = environment_.now();
        under_way_ = false;
        if (std::exchange(is_late_, false))
            state().targets.late_ended(target_);
        trace_.upstream_time += now - sent_at_;
        state().targets.ended(target_, result, now - sent_at_, now);
    }

    void attempt_ended(attempt_end it)
    {
        if (!under_way_)
            return;
        auto const now = environment_.now();
        log_attempt_ended(message_.head.request_id, trace_.attempts, target_.id,
            it, now - sent_at_);
        last_result_ = it.result;
        note_end(it.result);
        answer_ = std::move(it.answer);
        settle_attempt(it.result);
        if (last_result_ == attempt_result::answered)
            return fire(request_event::answer);
        refusal_ = refusal_after(last_result_, may_have_run_);
        fire(request_event::failed);
    }

    void note_end(attempt_result result)
    {
        bool const lost = result == attempt_result::connection_lost;
        if (lost)
            state().poison.crashed(
                print_, target_.id.text(), environment_.now());
        if (result != attempt_result::connect_failed)
            ++sent_attempts_;
        if (!proves_not_run(result))
            may_have_run_ = true;
    }

    bool may_retry()
    {
        bool const harmless =
            admitted_.idempotent || proves_not_run(last_result_);
        if (!harmless || (may_have_run_ && !admitted_.idempotent) ||
            !has_attempts_left())
            return false;
        auto const now = environment_.now();
        auto const typical = state().targets.typical_latency(admitted_.service);
        if (deadline_ - now < std::max<duration>(typical / 2, answer_reserve))
            return false;
        // A request that reached no target burdens none a second time.
        if (sent_attempts_ == 0)
            return true;
        return state().retries.take(admitted_.service.text(), now);
    }

    /// Whether an attempt that has not been answered is given up for
    /// another target.
    bool may_move()
    {
        auto const now = environment_.now();
        auto const typical = state().targets.typical_latency(admitted_.service);
        if (!under_way_ || !is_repeatable() || deadline_ - now < typical * 2)
            return false;
        return state().retries.take(admitted_.service.text(), now);
    }

    void cancel_attempt()
    {
        if (!under_way_)
            return;
        environment_.cancel_upstream(attempt_);
        ++sent_attempts_;
        may_have_run_ = true;
        last_result_ = attempt_result::cancelled;
        settle_attempt(attempt_result::cancelled);
    }

    void answer_deadline()
    {
        auto const result = may_have_run_ ? outcome::unknown : outcome::not_run;
        end(refusal{result == outcome::unknown ? refusal_kind::deadline_passed
                                               : refusal_kind::overloaded,
            result, "the time for the request is over", {}});
    }

    chart_instance<request_chart> life_;
    Environment& environment_;
    entry_message message_;
    end_callback on_end_;

    admitted_request admitted_;
    time_point started_at_{};
    time_point deadline_{};
    fingerprint print_ = 0;
    refusal refusal_;
    upstream_answer answer_;
    repeat_guard<Environment> repeat_;
    trace trace_;

    bool is_charged_ = false;
    bool has_waited_for_charge_ = false;

    ticket ticket_ = 0;
    time_point placing_since_{};
    std::vector<target_id> tried_;
    target_record target_;
    placement_reason reason_;

    std::uint64_t attempt_ = 0;
    std::size_t sent_attempts_ = 0;
    time_point sent_at_{};
    /// An attempt has not ended yet.
    bool under_way_ = false;
    bool is_late_ = false;
    /// An attempt ended without proof that nothing ran.
    bool may_have_run_ = false;
    attempt_result last_result_ = attempt_result::cancelled;
};

} // namespace pomelohinge

#endif
