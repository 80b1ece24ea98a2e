#ifndef POMELOHINGE_SERVERS_REQUESTS_ENTRY_REQUEST_HPP
#define POMELOHINGE_SERVERS_REQUESTS_ENTRY_REQUEST_HPP

#include "core/chart.hpp"
#include "core/invariant.hpp"
#include "servers/peers/messages.hpp"
#include "servers/requests/policy.hpp"
#include "servers/requests/request_chart.hpp"
#include "servers/retries/retry_policy.hpp"
#include "servers/selection/picker.hpp"
#include "servers/selection/service_latency.hpp"
#include "servers/selection/target_table.hpp"

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace pomelohinge {

/// What the requests of one traffic thread share.
struct entry_state
{
    target_hints hints;
    service_latencies latencies;
    retry_budget retries;
    std::mt19937_64 random;
};

/// A request with all that is passed on.
struct entry_message
{
    request_head head;
    std::vector<header_field> headers;
    std::string body;
};

/// How the system ends a request.
using entry_result = std::variant<upstream_answer, recorded_answer, refusal>;

/// What a request needs of its surroundings: a daemon with sockets or a
/// test without. Replies come through the callbacks, on the same thread,
/// and not before the call returns.
template <class Environment>
concept EntryEnvironment = requires(Environment& environment,
    vm_record const& vm, charge_question const& charge,
    record_question const& record, poison_notice const& notice,
    dispatch_order order, entry_result result, duration after,
    std::uint64_t call)
{
    {
        environment.now()
        } -> std::same_as<time_point>;
    {
        environment.current_policy()
        } -> std::same_as<policy_pointer const&>;
    {
        environment.state()
        } -> std::same_as<entry_state&>;
    {
        environment.data_centre()
        } -> std::same_as<data_centre_id const&>;
    environment.ask_charge(vm, charge, std::function<void(charge_reply)>());
    environment.ask_record(vm, record, std::function<void(record_reply)>());
    environment.tell_poison(vm, notice);
    {
        environment.send_order(
            vm, std::move(order), std::function<void(dispatch_answer)>())
        } -> std::same_as<std::uint64_t>;
    environment.cancel_order(call);
    environment.after(after, std::function<void()>());
};

/// One request on its entry VM, from its head to its end. It follows
/// charts/request.jsonc; guards and actions are here. The environment must
/// outlive it, and it must not be destroyed before `on_end` was called, but
/// for a callback that holds it by `weak_ptr`.
template <EntryEnvironment Environment,
    TargetPicker<std::mt19937_64> Picker = power_of_two_picker>
class entry_request
    : public std::enable_shared_from_this<entry_request<Environment, Picker>>
{
public:
    using end_callback = std::function<void(entry_result)>;

    /// What was seen of the request, for metrics and `explain`.
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
        auto const& policy = environment_.current_policy();
        if (policy == nullptr || !policy->ready)
            return refuse(refusal_kind::not_ready, outcome::not_run,
                "no configuration is known yet", std::chrono::seconds(1));
        auto admitted = policy->index->routes.admit(message_.head);
        if (auto* const it = std::get_if<refusal>(&admitted)) {
            refusal_ = std::move(*it);
            return fire(request_event::refused);
        }
        admitted_ = std::get<admitted_request>(std::move(admitted));
        trace_.organisation = admitted_.organisation;
        trace_.service = admitted_.service;
        deadline_ = environment_.now() + admitted_.deadline;
        print_ = fingerprint_of(admitted_.organisation.text(),
            to_name(message_.head.method), admitted_.path, message_.body);
        environment_.state().retries.request_began();
        environment_.after(admitted_.deadline,
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
        case request_guard::is_open:
            return admitted_.organisation.empty();
        case request_guard::may_retry_on_trial:
            return crashed_ && !admitted_.organisation.empty() &&
                !was_on_trial_ && retry_allowed();
        case request_guard::may_retry:
            return !crashed_ && retry_allowed();
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
            return begin_charge();
        case request_action::ask_trial:
            return ask_trial();
        case request_action::choose_target:
            return choose_target();
        case request_action::send_to_owner:
            return send_to_owner();
        case request_action::cancel_dispatch:
            return environment_.cancel_order(call_);
        case request_action::finish_record:
            return finish_record();
        case request_action::answer_upstream:
            return end(std::move(answer_.answer));
        case request_action::answer_recorded:
            return end(recorded_);
        case request_action::answer_refusal:
            return end(refusal_);
        case request_action::answer_deadline:
            return answer_deadline();
        }
    }

private:
    /// Waits between two rounds of asking while owners change.
    static constexpr duration ask_again_after = std::chrono::milliseconds(100);

    /// What is kept back of the deadline for the way of the answer.
    static constexpr duration answer_reserve = std::chrono::milliseconds(2);

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
        settle_trial();
        auto const* const refused = std::get_if<refusal>(&result);
        assert_invariant(invariant::not_run_is_true,
            refused == nullptr || refused->result != outcome::not_run ||
                !(may_have_run_ || under_way_),
            message_.head.request_id);
        if (auto const callback = std::exchange(on_end_, nullptr))
            callback(std::move(result));
    }

    void refuse(refusal_kind kind, outcome result, std::string detail,
        std::optional<duration> retry_after = {})
    {
        // A request that is tried again may have run at its first try.
        auto const known = may_have_run_ ? outcome::unknown : result;
        refusal_ = {kind, known, std::move(detail), {}};
        if (retry_after)
            refusal_.retry_after =
                std::chrono::ceil<std::chrono::milliseconds>(*retry_after);
        fire(request_event::refused);
    }

    // Idempotency records.

    std::vector<vm_record const*> record_owners() const
    {
        return environment_.current_policy()->owners.owners(
            records_key(admitted_.organisation.text()));
    }

    record_question record_step_of(record_step step) const
    {
        record_question question;
        question.step = step;
        question.record.organisation = admitted_.organisation.text();
        question.record.repeat_key = message_.head.repeat_key;
        question.record.print = print_;
        question.record.run_limit = admitted_.deadline;
        return question;
    }

    void ask_record()
    {
        auto const owners = record_owners();
        if (owners.empty())
            return refuse(refusal_kind::not_ready, outcome::not_run,
                "no VM keeps records", std::chrono::seconds(1));
        environment_.ask_record(*owners.front(),
            record_step_of(record_step::begin),
            guarded([this](record_reply reply) {
                record_replied(std::move(reply));
            }));
    }

    void record_replied(record_reply reply)
    {
        switch (reply.result) {
        case record_outcome::accepted:
            record_begun_ = true;
            return fire(request_event::record_begun);
        case record_outcome::done:
            recorded_ = std::move(reply.answer);
            return fire(request_event::record_found);
        case record_outcome::running:
            return refuse(refusal_kind::repeat_running, outcome::unknown,
                "a request with this key is running", std::chrono::seconds(1));
        case record_outcome::unknown:
            return refuse(refusal_kind::repeat_unknown, outcome::unknown,
                "a request with this key may have run");
        case record_outcome::differs:
            return refuse(refusal_kind::repeat_differs, outcome::not_run,
                "the key was used for another request");
        case record_outcome::full:
            return refuse(refusal_kind::overloaded, outcome::not_run,
                "there is no room for a further record",
                std::chrono::seconds(10));
        case record_outcome::not_ready:
        case record_outcome::unreachable:
            return ask_again([this] { ask_record(); }, "the owner of records");
        }
    }

    void finish_record()
    {
        if (under_way_ || !std::exchange(record_begun_, false))
            return;
        auto const owners = record_owners();
        if (owners.empty())
            return;
        auto question = record_step_of(final_record_step());
        if (question.step == record_step::finish)
            question.record.answer = recordable(answer_.answer);
        environment_.ask_record(*owners.front(), question, [](record_reply) {});
    }

    record_step final_record_step() const
    {
        if (answer_.result == dispatch_outcome::answered && attempted_)
            return record_step::finish;
        return may_have_run_ ? record_step::lose : record_step::withdraw;
    }

    static recorded_answer recordable(upstream_answer const& answer)
    {
        recorded_answer kept{answer.status, {}, answer.body};
        for (auto const& it : answer.headers)
            if (it.name == "Content-Type" || it.name == "content-type")
                kept.content_type = it.value;
        return kept;
    }

    // Charges.

    std::vector<vm_record const*> share_owners()
    {
        auto const& policy = environment_.current_policy();
        auto const* const rate =
            policy->index->source.template find<rate_object>(
                admitted_.organisation.text());
        if (rate == nullptr)
            return {};
        return policy->owners.owners(shares_key(admitted_.organisation, *rate));
    }

    void begin_charge()
    {
        auto const owners = share_owners();
        charge_order_.clear();
        for (auto const* it : owners)
            charge_order_.push_back(*it);
        if (charge_order_.empty())
            return refuse(refusal_kind::not_ready, outcome::not_run,
                "no VM keeps the organisation's rate", std::chrono::seconds(1));
        first_owner_ = charge_order_.front();
        auto const self = std::find_if(charge_order_.begin(),
            charge_order_.end(), [&](vm_record const& it) {
                return it.vm == environment_.current_policy()->owners.self();
            });
        auto const start = self != charge_order_.end() ? self
                                                       : charge_order_.begin() +
                static_cast<std::ptrdiff_t>(
                    environment_.state().random() % charge_order_.size());
        std::rotate(charge_order_.begin(), start, charge_order_.end());
        charge_position_ = 0;
        all_exhausted_ = true;
        shortest_wait_ = duration::max();
        ask_next_charge();
    }

    void ask_next_charge()
    {
        if (charge_position_ < charge_order_.size())
            return ask_charge(charge_order_[charge_position_++]);
        if (all_exhausted_)
            return refuse(refusal_kind::rate_exceeded, outcome::not_run,
                "the organisation's rate and burst are used up",
                shortest_wait_);
        ask_again(
            [this] { begin_charge(); }, "an owner of the organisation's rate");
    }

    void ask_charge(vm_record const& owner)
    {
        environment_.ask_charge(owner,
            charge_question{admitted_.organisation, print_,
                std::exchange(crash_to_tell_, false)},
            guarded([this](charge_reply reply) { charge_replied(reply); }));
    }

    void charge_replied(charge_reply reply)
    {
        if (life_.state() != request_state::charging)
            return unused_charge(reply);
        switch (reply.result) {
        case charge_outcome::granted_on_trial:
            on_trial_ = true;
            was_on_trial_ = true;
            return fire(request_event::charged);
        case charge_outcome::granted:
            return fire(request_event::charged);
        case charge_outcome::exhausted:
            shortest_wait_ = std::min(shortest_wait_, reply.retry_after);
            return ask_next_charge();
        case charge_outcome::held_back:
            return refuse(refusal_kind::held_back, outcome::not_run,
                "upstreams crashed while they ran this request",
                reply.retry_after);
        case charge_outcome::ask_first_owner:
            charge_position_ = charge_order_.size();
            all_exhausted_ = false;
            return ask_charge(first_owner_);
        case charge_outcome::not_owner:
        case charge_outcome::unreachable:
            all_exhausted_ = false;
            return ask_next_charge();
        }
    }

    /// After a crash only the first owner may let the request go again.
    void ask_trial()
    {
        crashed_ = false;
        crash_to_tell_ = true;
        charge_position_ = charge_order_.size();
        all_exhausted_ = false;
        ask_charge(first_owner_);
    }

    /// A grant came after the request had ended.
    void unused_charge(charge_reply reply)
    {
        if (reply.result != charge_outcome::granted_on_trial)
            return;
        on_trial_ = true;
        settle_trial();
    }

    /// Asks again a little later, while there is time.
    template <class Callback>
    void ask_again(Callback callback, std::string_view what)
    {
        auto const state = life_.state();
        if (environment_.now() + ask_again_after + answer_reserve >= deadline_)
            return refuse(refusal_kind::not_ready, outcome::not_run,
                std::string(what) + " is not reached", std::chrono::seconds(1));
        environment_.after(ask_again_after,
            guarded([this, state, callback = std::move(callback)] {
                if (life_.state() == state)
                    callback();
            }));
    }

    // Dispatch.

    void choose_target()
    {
        auto const& policy = environment_.current_policy();
        auto const now = environment_.now();
        auto const& targets = policy->index->targets.of(admitted_.service);
        auto& state = environment_.state();
        candidates_.clear();
        for (auto const& it : targets)
            candidates_.push_back({state.hints.load(it.id, now),
                it.object.data_centre == environment_.data_centre(),
                was_tried(it.id) || state.hints.is_closed(it.id, now)});
        auto const picked = picker_.pick(candidates_, state.random);
        if (!picked)
            return nothing_to_choose(!targets.empty());
        auto const& target = targets[*picked];
        auto const owners =
            policy->owners.owners(target_key(target.id, target.object));
        if (owners.empty())
            return nothing_to_choose(true);
        target_ = target.id;
        owner_ = *owners.front();
        fire(request_event::chosen);
    }

    bool was_tried(target_id const& target) const
    {
        return std::find(tried_.begin(), tried_.end(), target) != tried_.end();
    }

    /// All targets are barred. Tried ones may be tried again after a wait,
    /// as long as nothing has run.
    void nothing_to_choose(bool any_usable)
    {
        bool const wait =
            any_usable && !may_have_run_ && rounds_waited_ < most_rounds_waited;
        if (!wait)
            return refuse(any_usable ? refusal_kind::overloaded
                                     : refusal_kind::no_upstream,
                may_have_run_ ? outcome::unknown : outcome::not_run,
                any_usable ? "no upstream takes more work now"
                           : "no upstream of the service may get work",
                std::chrono::seconds(1));
        ++rounds_waited_;
        tried_.clear();
        ask_again([this] { choose_target(); }, "an upstream with room");
    }

    void send_to_owner()
    {
        assert_invariant(invariant::non_idempotent_runs_once,
            admitted_.idempotent || !may_have_run_, "second dispatch");
        ++trace_.attempts;
        tried_.push_back(target_);
        under_way_ = true;
        // The record of a request is settled by the end of its dispatch,
        // which may come after the caller has gone.
        call_ = environment_.send_order(owner_, make_order(),
            [self = this->shared_from_this()](dispatch_answer answer) {
                self->dispatch_ended(std::move(answer));
            });
    }

    dispatch_order make_order()
    {
        dispatch_order order;
        order.target = target_;
        order.service = admitted_.service;
        order.organisation = admitted_.organisation;
        order.key =
            admitted_.organisation.empty() ? std::nullopt : message_.head.key;
        order.method = message_.head.method;
        order.path = admitted_.path;
        order.headers = message_.headers;
        order.body = message_.body;
        order.request_id = message_.head.request_id;
        order.remaining = deadline_ - environment_.now() - answer_reserve;
        order.idempotent = admitted_.idempotent;
        order.echoes_request_id = admitted_.echoes_request_id;
        order.baseline =
            environment_.state().latencies.baseline(admitted_.service);
        return order;
    }

    void dispatch_ended(dispatch_answer answer)
    {
        learn(answer);
        under_way_ = false;
        if (life_.state() != request_state::dispatched)
            return ended_late(std::move(answer));
        answer_ = std::move(answer);
        if (answer_.result == dispatch_outcome::answered) {
            attempted_ = true;
            assert_invariant(invariant::answer_belongs_to_request,
                answers_this(answer_.answer), message_.head.request_id);
            return fire(request_event::answer);
        }
        if (!proves_not_run(answer_))
            may_have_run_ = true;
        note_crash();
        refusal_ = refusal_of(answer_);
        fire(request_event::failed);
    }

    /// Whether the request id that an answer brings back, if any, is ours.
    bool answers_this(upstream_answer const& answer) const
    {
        return std::all_of(answer.headers.begin(), answer.headers.end(),
            [&](header_field const& it) {
                return it.name != "X-Request-Id" ||
                    it.value == message_.head.request_id;
            });
    }

    /// The dispatch ended after the request: only its record is settled.
    void ended_late(dispatch_answer answer)
    {
        answer_ = std::move(answer);
        attempted_ = answer_.result == dispatch_outcome::answered;
        if (!attempted_ && !proves_not_run(answer_))
            may_have_run_ = true;
        note_crash();
        finish_record();
    }

    /// Takes what an answer tells of target and service.
    void learn(dispatch_answer const& answer)
    {
        auto& state = environment_.state();
        auto const now = environment_.now();
        trace_.upstream_time = answer.service_time;
        trace_.queue_time += answer.queue_time;
        switch (answer.result) {
        case dispatch_outcome::not_taken:
        case dispatch_outcome::not_owner:
        case dispatch_outcome::unreachable:
        case dispatch_outcome::lost:
            return state.hints.closed(target_, now);
        case dispatch_outcome::key_withdrawn:
            return;
        case dispatch_outcome::answered:
        case dispatch_outcome::attempt_failed:
            state.hints.heard(target_, answer.load, now);
            bool const failed =
                is_bad({answer.attempt, answer.service_time, {}, 0});
            bool const tells = answer.attempt != attempt_result::cancelled &&
                answer.attempt != attempt_result::shed;
            if (tells)
                state.latencies.add(
                    admitted_.service, answer.service_time, failed);
        }
    }

    refusal refusal_of(dispatch_answer const& answer) const
    {
        auto const result = may_have_run_ ? outcome::unknown : outcome::not_run;
        constexpr std::chrono::seconds soon(1);
        switch (answer.result) {
        case dispatch_outcome::key_withdrawn:
            return {refusal_kind::key_unknown, result,
                "the key is not in force any more", {}};
        case dispatch_outcome::not_taken:
            return {refusal_kind::overloaded, result,
                "no upstream takes more work now", soon};
        case dispatch_outcome::not_owner:
        case dispatch_outcome::unreachable:
            return {refusal_kind::not_ready, result,
                "the owner of the upstream is not reached", soon};
        case dispatch_outcome::lost:
            return {refusal_kind::upstream_failed, result,
                "the way to the upstream was lost", soon};
        case dispatch_outcome::attempt_failed:
            if (answer.attempt == attempt_result::too_large)
                return {refusal_kind::answer_too_large, outcome::unknown,
                    "the answer is larger than is passed on", {}};
            return {refusal_kind::upstream_failed, result,
                "the upstream failed: " + std::string(to_name(answer.attempt)),
                soon};
        case dispatch_outcome::answered:
            break;
        }
        return {};
    }

    bool retry_allowed()
    {
        if (answer_.result == dispatch_outcome::key_withdrawn ||
            answer_.attempt == attempt_result::too_large)
            return false;
        failed_attempt const failed{
            may_have_run_ ? outcome::unknown : outcome::not_run,
            admitted_.idempotent, trace_.attempts, deadline_};
        return may_retry(
            failed, environment_.state().retries, environment_.now());
    }

    /// An upstream that lost its connection in mid-request may have crashed
    /// by it. The owners are told before the caller can send it again.
    void note_crash()
    {
        bool const crash = answer_.result == dispatch_outcome::attempt_failed &&
            answer_.attempt == attempt_result::connection_lost;
        if (!crash || admitted_.organisation.empty())
            return;
        on_trial_ = false;
        crashed_ = true;
        // The first owner learns of it with the question for a trial.
        bool const asks_trial = check(request_guard::may_retry_on_trial);
        for (auto const* it : share_owners())
            if (!asks_trial || it->vm != first_owner_.vm)
                environment_.tell_poison(*it,
                    {admitted_.organisation, print_, poison_report::crashed});
    }

    void settle_trial()
    {
        if (!std::exchange(on_trial_, false))
            return;
        bool const ran = attempted_ || may_have_run_ || under_way_;
        auto const report =
            ran ? poison_report::survived : poison_report::trial_unused;
        for (auto const* it : share_owners())
            environment_.tell_poison(
                *it, {admitted_.organisation, print_, report});
    }

    void answer_deadline()
    {
        // A dispatch may be at the upstream, and its end is not awaited.
        auto const result =
            may_have_run_ || under_way_ ? outcome::unknown : outcome::not_run;
        end(refusal{refusal_kind::deadline_passed, result,
            "the deadline has passed", std::chrono::seconds(1)});
    }

    static constexpr std::size_t most_rounds_waited = 20;

    chart_instance<request_chart> life_;
    Environment& environment_;
    entry_message message_;
    end_callback on_end_;
    Picker picker_;

    admitted_request admitted_;
    time_point deadline_{};
    fingerprint print_ = 0;
    refusal refusal_;
    recorded_answer recorded_;
    dispatch_answer answer_;
    trace trace_;

    bool record_begun_ = false;
    bool on_trial_ = false;
    bool was_on_trial_ = false;
    /// The last attempt ended with a crash.
    bool crashed_ = false;
    bool crash_to_tell_ = false;
    /// A dispatch has not ended yet.
    bool under_way_ = false;
    /// An upstream has answered.
    bool attempted_ = false;
    /// An attempt ended without proof that nothing ran.
    bool may_have_run_ = false;

    std::vector<vm_record> charge_order_;
    vm_record first_owner_;
    std::size_t charge_position_ = 0;
    bool all_exhausted_ = true;
    duration shortest_wait_ = duration::max();

    std::vector<candidate> candidates_;
    std::vector<target_id> tried_;
    std::size_t rounds_waited_ = 0;
    target_id target_;
    vm_record owner_;
    std::uint64_t call_ = 0;
};

} // namespace pomelohinge

#endif
