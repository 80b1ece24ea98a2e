#ifndef POMELOHINGE_SERVERS_REQUESTS_ENTRY_REQUEST_HPP
#define POMELOHINGE_SERVERS_REQUESTS_ENTRY_REQUEST_HPP

#include "core/chart.hpp"
#include "core/invariant.hpp"
#include "servers/requests/entry_environment.hpp"
#include "servers/requests/idempotency_guard.hpp"
#include "servers/requests/key_check.hpp"
#include "servers/requests/request_chart.hpp"
#include "servers/requests/request_log.hpp"
#include "servers/requests/request_progress.hpp"
#include "servers/requests/request_times.hpp"

#include <algorithm>
#include <memory>

namespace pomelohinge {

/// One request on its entry VM, from its head to its end. Its states and
/// transitions are those of charts/request.jsonc; this class implements the
/// guards and actions. The environment must outlive the request. The owner must
/// keep the request until `on_end` is called; the callbacks that it registers
/// hold only a `weak_ptr` to it.
template <class Environment>
class entry_request
    : public std::enable_shared_from_this<entry_request<Environment>>
{
public:
    using end_callback = std::function<void(entry_result)>;

    entry_request(chart<request_chart> const& state_chart,
        Environment& environment, incoming_request message, end_callback on_end)
        : chart_(state_chart), environment_(environment),
          message_(std::move(message)), on_end_(std::move(on_end))
    {
    }

    /// Starts the request. It may end before the call returns.
    void start()
    {
        // The environment may refer to this class, so its type is complete only
        // here.
        static_assert(EntryEnvironment<Environment>);
        auto const now = environment_.now();
        state().load.add(now);
        // An earlier request with the key may have run, until its record tells.
        progress_.may_have_run = !message_.head.idempotency_key.empty();
        auto const& policy = environment_.current_policy();
        if (policy == nullptr || !policy->ready)
            return refuse(refusal_kind::not_ready,
                "no configuration is known yet", short_retry_after);
        std::uniform_real_distribution<double> draw(0, 1);
        auto admitted =
            policy->index->routes.admit(message_.head, draw(state().random));
        if (auto* const it = std::get_if<refusal>(&admitted)) {
            refusal_ = std::move(*it);
            refusal_.result = progress_.current_outcome();
            return fire(request_event::refused);
        }
        admitted_ = std::get<admitted_request>(std::move(admitted));
        progress_.may_have_run = check(request_guard::needs_record);
        statistics_.organisation = admitted_.organisation;
        statistics_.service = admitted_.service;
        times_ = request_times(admitted_, now - message_.waited);
        if (times_.deadline - now <= answer_reserve)
            return refuse(refusal_kind::overloaded,
                "the time has passed behind others of the connection");
        if (!state().admits_before_stop(admitted_, times_, now))
            return refuse_stopping();
        auto const key = check_key(environment_, message_.head, admitted_);
        if (key != key_state::in_force)
            return refuse_key(key);
        if (!passes_poison_guard())
            return;
        state().retries.request_began(admitted_.service.text(), now);
        environment_.after(times_.deadline - now,
            if_alive([this] { fire(request_event::deadline); }));
        fire(request_event::admitted);
    }

    /// Ends the request, since the caller has closed its connection.
    void caller_disconnected()
    {
        caller_disconnected_ = true;
        fire(request_event::caller_disconnected);
    }

    /// Ends the request, since the process ends.
    void process_ends() { fire(request_event::process_ends); }

    bool ended() const { return chart_.is_final(); }
    request_statistics const& statistics() const { return statistics_; }

    /// Evaluates a guard of the chart.
    bool check(request_guard guard)
    {
        switch (guard) {
        case request_guard::needs_record:
            return !message_.head.idempotency_key.empty() &&
                !admitted_.organisation.empty() && !admitted_.idempotent;
        case request_guard::may_retry:
            return may_retry();
        case request_guard::has_answer:
            return has_answer(progress_.last_result);
        case request_guard::may_reroute:
            return may_reroute();
        case request_guard::must_complete:
            return progress_.in_progress && !admitted_.idempotent;
        }
        return false;
    }

    /// Performs an action of the chart.
    void perform(request_action action)
    {
        switch (action) {
        case request_action::create_record:
            return create_record();
        case request_action::charge_rate:
            return charge_rate();
        case request_action::request_placement:
            return request_placement();
        case request_action::send:
            return send();
        case request_action::send_to_reserved:
            return send_to_reserved();
        case request_action::schedule_reroute:
            return schedule_reroute(statistics_.attempts, reroute_retry_delay);
        case request_action::cancel_attempt:
            return cancel_attempt();
        case request_action::leave_queue:
            return leave_queue();
        case request_action::refund_charge:
            return refund_charge();
        case request_action::finish_record:
            return idempotency_.finish(
                environment_, progress_.final_record_state(), answer_);
        case request_action::answer_upstream:
            return end(std::move(answer_));
        case request_action::answer_recorded:
            return end(idempotency_.recorded());
        case request_action::answer_refusal:
            return end(refusal_);
        case request_action::answer_deadline:
            return answer_deadline();
        case request_action::answer_stopping:
            return end(
                refusal{refusal_kind::stopping, progress_.current_outcome(),
                    "the VM stops before the answer has come", {}});
        }
    }

private:
    static constexpr duration short_retry_after = std::chrono::seconds(1);
    static constexpr int first_server_error = 500;

    entry_state& state() { return environment_.state(); }

    /// Wraps a callback so that it does nothing once the request is destroyed.
    template <class Callback>
    auto if_alive(Callback callback)
    {
        return [weak = this->weak_from_this(), callback = std::move(callback)](
                   auto&&... arguments) {
            if (auto const self = weak.lock())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    /// Time since the request was received; zero before it is admitted.
    duration elapsed()
    {
        return times_.received_at == time_point{}
            ? duration::zero()
            : environment_.now() - times_.received_at;
    }

    void fire(request_event event) { chart_.fire(event, *this); }

    void end(entry_result result)
    {
        auto const* const refused = std::get_if<refusal>(&result);
        check_invariant(invariant::not_run_is_true,
            refused == nullptr || refused->result != outcome::not_run ||
                !(progress_.may_have_run || progress_.in_progress),
            message_.head.request_id);
        log_request_ended(message_.head.request_id, result,
            {admitted_.organisation, admitted_.route, admitted_.service,
                target_.id, statistics_.attempts, elapsed(),
                admitted_.time_limit, admitted_.goal});
        auto const* const answer = std::get_if<upstream_answer>(&result);
        bool const was_placed = placement_requested_at_ != time_point{};
        bool const succeeded =
            answer != nullptr && answer->status < first_server_error;
        bool const was_sent = statistics_.attempts > 0;
        if (was_placed)
            state().targets.request_ended(admitted_.service, succeeded,
                was_sent ? std::optional(reason_.state) : std::nullopt);
        if (auto const callback = std::exchange(on_end_, nullptr))
            callback(std::move(result));
    }

    void refuse(refusal_kind kind, std::string detail,
        std::optional<duration> retry_after = {})
    {
        refusal_ = {kind, progress_.current_outcome(), std::move(detail), {}};
        if (retry_after)
            refusal_.retry_after =
                std::chrono::ceil<std::chrono::milliseconds>(*retry_after);
        fire(request_event::refused);
    }

    bool ends_before_stop(time_point now)
    {
        return state().ends_before_stop(admitted_, times_, now);
    }

    void refuse_stopping()
    {
        refuse(refusal_kind::stopping,
            "the VM stops before an answer is likely", duration::zero());
    }

    void refuse_key(key_state key)
    {
        if (key == key_state::withdrawn)
            return refuse(refusal_kind::key_unknown, "the key is not in force");
        log_stale_configuration(message_.head.request_id,
            environment_.now() - environment_.read_at());
        refuse(refusal_kind::not_ready,
            "the configuration was not confirmed for too long",
            short_retry_after);
    }

    bool passes_poison_guard()
    {
        auto& guard = state().poison;
        fingerprint_ = fingerprint_of(admitted_.organisation.text(),
            message_.head.method, admitted_.path, message_.body);
        if (guard.empty())
            return true;
        auto const hold =
            guard.remaining_hold(fingerprint_, environment_.now());
        if (hold <= duration::zero())
            return true;
        refuse(refusal_kind::held_back,
            "targets were lost while they ran this request", hold);
        return false;
    }

    // Idempotency records.

    void create_record()
    {
        idempotency_.begin(environment_, message_.head, admitted_, fingerprint_,
            if_alive(
                [this](record_outcome result) { on_record_reply(result); }));
    }

    void on_record_reply(record_outcome result)
    {
        progress_.may_have_run = result != record_outcome::accepted;
        if (result == record_outcome::accepted)
            return fire(request_event::record_created);
        if (result == record_outcome::done)
            return fire(request_event::record_found);
        auto const refused = refusal_for(result);
        progress_.may_have_run = refused.may_have_run;
        refuse(refused.kind, std::string(refused.detail), refused.retry_after);
    }

    // Rate limits.

    void charge_rate()
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
            charged_at_ = now;
            return fire(request_event::charged);
        }
        bool const waits = !std::exchange(has_waited_for_charge_, true) &&
            verdict.retry_after <= max_charge_wait;
        if (waits)
            return environment_.after(verdict.retry_after, if_alive([this] {
                if (chart_.state() == request_state::charging)
                    charge_rate();
            }));
        log_rate_used_up(
            message_.head.request_id, admitted_.organisation, *rate, verdict);
        refuse(refusal_kind::rate_exceeded,
            "the organisation's rate and burst are used up",
            verdict.retry_after);
    }

    void refund_charge()
    {
        auto const charged_at = std::exchange(charged_at_, std::nullopt);
        if (charged_at && !progress_.may_have_run && !progress_.in_progress)
            state().limits.refund(
                admitted_.organisation.text(), *charged_at, environment_.now());
    }

    // Placement.

    bool is_retryable()
    {
        return admitted_.idempotent &&
            progress_.sent_attempts + 1 < admitted_.attempts &&
            state().retries.allows(
                admitted_.service.text(), environment_.now());
    }

    placement_request make_placement_request()
    {
        return {admitted_.service, admitted_.priority, is_retryable(),
            progress_.tried,
            times_.start_deadline(
                state().targets.median_latency(admitted_.service)),
            admitted_.route, times_.received_at + times_.goal, times_.deadline,
            state().spillover.expected_bytes(admitted_.route.text())};
    }

    void request_placement()
    {
        if (placement_requested_at_ == time_point{})
            state().record_arrival(admitted_, environment_.now());
        placement_requested_at_ = environment_.now();
        auto decided = state().targets.submit(make_placement_request(),
            if_alive([this](placement_decision decision) {
                ticket_ = 0;
                on_placement(std::move(decision));
            }),
            placement_requested_at_);
        if (auto* const it = std::get_if<placement_decision>(&decided))
            return on_placement(std::move(*it));
        ticket_ = std::get<ticket>(decided);
    }

    void leave_queue()
    {
        if (ticket_ != 0)
            state().targets.withdraw(
                std::exchange(ticket_, 0), environment_.now());
    }

    void on_placement(placement_decision decision)
    {
        statistics_.queue_time += environment_.now() - placement_requested_at_;
        if (auto* const it = std::get_if<placement>(&decision)) {
            reason_ = it->reason;
            target_ = std::move(it->target);
            return fire(request_event::placed);
        }
        state().record_rejection(admitted_, environment_.now());
        auto const& rejection = std::get<placement_rejection>(decision);
        bool const full = rejection.reason == rejection_reason::overloaded;
        if (has_answer(progress_.last_result))
            return fire(request_event::answer);
        refuse(full ? refusal_kind::overloaded : refusal_kind::no_upstream,
            full ? "all targets are at their limit"
                 : "the service has no target that may get it",
            rejection.retry_after);
    }

    // Attempts.

    void send()
    {
        auto const now = environment_.now();
        auto const left = times_.deadline - now;
        // The configuration may have changed, or become stale, while the
        // request waited.
        auto const key = check_key(environment_, message_.head, admitted_);
        if (key != key_state::in_force) {
            release_target(now);
            return refuse_key(key);
        }
        if (left <= answer_reserve) {
            release_target(now);
            return fire(request_event::deadline);
        }
        // The request may have waited for its record or a target.
        if (!ends_before_stop(now)) {
            release_target(now);
            return has_answer(progress_.last_result)
                ? fire(request_event::answer)
                : refuse_stopping();
        }
        ++statistics_.attempts;
        progress_.attempt_began(target_.id, now);
        auto const number = statistics_.attempts;
        log_request_sent(message_.head.request_id,
            {number, target_, reason_,
                environment_.current_policy()->index->version,
                now - environment_.read_at(), statistics_.queue_time, left});
        upstream_call_ = environment_.send_upstream(target_,
            make_upstream_request(message_, admitted_, left - answer_reserve),
            if_alive([this, number](attempt_end it) {
                if (number == statistics_.attempts)
                    attempt_ended(std::move(it));
            }));
        schedule_attempt_timers(number);
    }

    /// Frees the slot of the chosen target without sending the request.
    void release_target(time_point now)
    {
        state().targets.attempt_ended(
            target_, attempt_result::cancelled, duration::zero(), now);
    }

    /// Schedules what happens while the attempt stays unanswered: it becomes
    /// late, then overdue, and a retryable request is rerouted.
    void schedule_attempt_timers(std::size_t number)
    {
        auto const median = state().targets.median_latency(admitted_.service);
        if (median <= duration::zero())
            return;
        attempt_delays const delays(median);
        after_unanswered(number, delays.late, [this] { mark_late(); });
        after_unanswered(number, delays.overdue, [this] {
            state().targets.attempt_overdue(target_, environment_.now());
        });
        if (is_retryable())
            schedule_reroute(number, delays.reroute);
    }

    /// Calls `action` after `wait` if the attempt is still unanswered then.
    template <class Action>
    void after_unanswered(std::size_t number, duration wait, Action action)
    {
        if (environment_.now() + wait < times_.deadline)
            environment_.after(wait, if_alive([this, number, action] {
                if (number == statistics_.attempts && progress_.in_progress)
                    action();
            }));
    }

    void schedule_reroute(std::size_t number, duration wait)
    {
        after_unanswered(
            number, wait, [this] { fire(request_event::reroute_due); });
    }

    void send_to_reserved()
    {
        reason_ = reserved_.reason;
        target_ = std::move(reserved_.target);
        send();
    }

    void mark_late()
    {
        progress_.is_late = true;
        state().targets.attempt_late(target_, environment_.now());
    }

    void finish_attempt(attempt_result result, target_notice const& notice = {})
    {
        auto const now = environment_.now();
        progress_.in_progress = false;
        if (std::exchange(progress_.is_late, false))
            state().targets.late_attempt_ended(target_);
        auto const took = now - progress_.sent_at;
        statistics_.upstream_time += took;
        auto& it = state();
        if (shows_latency(result))
            it.latencies.add(admitted_.route, admitted_.service, took, now);
        if (result == attempt_result::answered)
            it.targets.add_holding_time(
                admitted_.service, admitted_.route, took);
        it.evidence.record(target_, admitted_.route, evidence_of(result), took);
        it.targets.attempt_ended(target_, result, took, now, notice);
    }

    void attempt_ended(attempt_end it)
    {
        if (!progress_.in_progress)
            return;
        auto const now = environment_.now();
        log_attempt_ended(message_.head.request_id, statistics_.attempts,
            target_.id, it, now - progress_.sent_at);
        progress_.attempt_ended(it.result);
        if (it.result == attempt_result::connection_lost)
            state().poison.record_crash(fingerprint_, target_.id.text(), now);
        answer_ = std::move(it.answer);
        if (it.result == attempt_result::answered)
            state().record_answer(admitted_, now - progress_.sent_at,
                message_.body.size() + answer_.body.size(), now);
        finish_attempt(it.result, it.notice);
        if (progress_.last_result == attempt_result::answered)
            return fire(request_event::answer);
        refusal_ = refusal_after(progress_.last_result, progress_.may_have_run);
        fire(request_event::attempt_failed);
    }

    /// Whether the request is sent to another target after a failed attempt. If
    /// so, the retry is counted against the budget.
    bool may_retry()
    {
        bool const is_safe =
            admitted_.idempotent || proves_not_run(progress_.last_result);
        if (!is_safe || (progress_.may_have_run && !admitted_.idempotent) ||
            !progress_.has_attempts_left(admitted_) || caller_disconnected_)
            return false;
        auto const now = environment_.now();
        auto const median = state().targets.median_latency(admitted_.service);
        if (times_.deadline - now <
                std::max<duration>(median / 2, answer_reserve) ||
            !ends_before_stop(now))
            return false;
        // The retry budget limits the extra load on targets, so it does not
        // apply to a request that has reached none.
        if (progress_.sent_attempts == 0)
            return true;
        return state().retries.take(admitted_.service.text(), now);
    }

    /// Whether the unanswered attempt is cancelled and the request sent to
    /// another target. If so, that target is reserved, and the retry is counted
    /// against the budget.
    bool may_reroute()
    {
        auto const now = environment_.now();
        auto const median = state().targets.median_latency(admitted_.service);
        if (!progress_.in_progress || !is_retryable() ||
            times_.deadline - now <=
                std::max<duration>(median * 2, answer_reserve) ||
            !ends_before_stop(now) ||
            check_key(environment_, message_.head, admitted_) !=
                key_state::in_force)
            return false;
        auto reserved = state().targets.reserve(make_placement_request(), now);
        if (!reserved)
            return false;
        reserved_ = *std::move(reserved);
        state().retries.take(admitted_.service.text(), now);
        return true;
    }

    void cancel_attempt()
    {
        if (!progress_.in_progress)
            return;
        environment_.cancel_upstream(upstream_call_);
        log_attempt_cancelled(message_.head.request_id, statistics_.attempts,
            target_.id, chart_.event(), environment_.now() - progress_.sent_at);
        progress_.attempt_ended(attempt_result::cancelled);
        finish_attempt(attempt_result::cancelled);
    }

    void answer_deadline()
    {
        auto const result = progress_.current_outcome();
        end(refusal{result == outcome::unknown ? refusal_kind::deadline_passed
                                               : refusal_kind::overloaded,
            result, "the time for the request is over", {}});
    }

    chart_instance<request_chart> chart_;
    Environment& environment_;
    incoming_request message_;
    end_callback on_end_;

    admitted_request admitted_;
    request_times times_;
    fingerprint fingerprint_ = 0;
    refusal refusal_;
    upstream_answer answer_;
    idempotency_guard<Environment> idempotency_;
    request_statistics statistics_;

    /// When the rate granted the request; empty if it was not charged.
    std::optional<time_point> charged_at_;
    bool has_waited_for_charge_ = false;

    ticket ticket_ = 0;
    time_point placement_requested_at_{};
    target_record target_;
    placement_reason reason_;
    /// The target that a reroute goes to.
    placement reserved_;

    /// Identifies the current call of `send_upstream`.
    std::uint64_t upstream_call_ = 0;
    request_progress progress_;
    bool caller_disconnected_ = false;
};

} // namespace pomelohinge

#endif
