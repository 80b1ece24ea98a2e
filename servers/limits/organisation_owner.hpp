#ifndef POMELOHINGE_SERVERS_LIMITS_ORGANISATION_OWNER_HPP
#define POMELOHINGE_SERVERS_LIMITS_ORGANISATION_OWNER_HPP

#include "core/invariant.hpp"
#include "servers/peers/messages.hpp"
#include "servers/requests/policy.hpp"

#include <algorithm>
#include <functional>

namespace pomelohinge {

/// What the owner of organisations needs of its surroundings.
template <class Environment>
concept OrganisationEnvironment = requires(Environment& environment,
    vm_record const& vm, record_question const& record)
{
    {
        environment.now()
        } -> std::same_as<time_point>;
    {
        environment.current_policy()
        } -> std::same_as<policy_pointer const&>;
    {
        environment.lease_end()
        } -> std::same_as<time_point>;
    environment.ask_record(vm, record, std::function<void(record_reply)>());
};

/// What an owner hands to those who take over from it.
struct organisation_hand_over
{
    std::vector<share_transfer> shares;
    std::vector<idempotency_record> records;

    bool empty() const { return shares.empty() && records.empty(); }
};

/// Owns shares of rates, suspects and idempotency records for the
/// organisations that fall to one traffic thread.
template <class Environment>
class organisation_owner
{
public:
    explicit organisation_owner(Environment& environment)
        : environment_(environment)
    {
        // The environment may hold this object and is complete only here.
        static_assert(OrganisationEnvironment<Environment>);
    }

    /// Answers a charge.
    charge_reply charge(charge_question const& question)
    {
        auto const& policy = environment_.current_policy();
        auto const now = environment_.now();
        auto const* const rate = find_rate(question.organisation);
        if (rate == nullptr)
            return {charge_outcome::not_owner, {}};
        auto const key = shares_key(question.organisation, *rate);
        if (!may_act(key, now))
            return {charge_outcome::not_owner, {}};
        if (question.after_crash)
            poison_.crashed(question.print, now);
        auto const verdict = judge(question, key, now);
        if (verdict != charge_outcome::granted &&
            verdict != charge_outcome::granted_on_trial)
            return {verdict, poison_.wait(question.print, now)};
        auto const charged = shares_.charge(question.organisation, *rate,
            share_since(*policy, question.organisation, key, now), now);
        if (charged.verdict == charge_verdict::granted)
            return {verdict, {}};
        if (verdict == charge_outcome::granted_on_trial)
            poison_.trial_unused(question.print);
        return {charge_outcome::exhausted, charged.retry_after};
    }

    /// Takes what became of a suspected request.
    void note(poison_notice const& notice)
    {
        switch (notice.report) {
        case poison_report::crashed:
            return poison_.crashed(notice.print, environment_.now());
        case poison_report::survived:
            return poison_.survived(notice.print);
        case poison_report::trial_unused:
            return poison_.trial_unused(notice.print);
        }
    }

    /// Carries out a step of a record. A step is answered once the other
    /// keeper has it too, so that the death of one loses nothing.
    void record(record_question const& question,
        std::function<void(record_reply)> reply)
    {
        auto const now = environment_.now();
        if (question.step == record_step::copy) {
            records_.merge(question.record, now);
            return reply({record_outcome::accepted, {}});
        }
        if (question.step == record_step::withdraw_copy) {
            records_.withdraw(
                question.record.organisation, question.record.repeat_key);
            return reply({record_outcome::accepted, {}});
        }
        if (environment_.current_policy() == nullptr)
            return reply({record_outcome::not_ready, {}});
        auto const key = records_key(question.record.organisation);
        auto const owners = environment_.current_policy()->owners.owners(key);
        bool const first = !owners.empty() &&
            owners.front()->vm == environment_.current_policy()->owners.self();
        if (!first || !may_act(key, now))
            return reply({record_outcome::not_ready, {}});
        if (question.step == record_step::begin)
            return begin(question.record, owners, std::move(reply));
        change(question, owners, std::move(reply));
    }

    /// Gives up what this VM lost with the policy in force now, and copies
    /// records that have another keeper than under `before`, which may be
    /// null.
    organisation_hand_over release_lost(policy_pointer const& before)
    {
        organisation_hand_over released;
        auto const now = environment_.now();
        auto const& owners = environment_.current_policy()->owners;
        for (auto const& it : shares_.active()) {
            auto const* const rate = find_rate(it);
            bool const kept = rate != nullptr &&
                !environment_.current_policy()->leaving &&
                owners.is_owner(shares_key(it, *rate));
            if (kept)
                continue;
            // After the lease another may own the share already, and what it
            // gathered here since is not to be given twice.
            auto const tokens = shares_.give_up(it, now);
            if (now < environment_.lease_end())
                released.shares.push_back({it, tokens});
        }
        for (auto const& it : records_.organisations())
            if (keepers_changed(it, before))
                for (auto& record : records_.of(it))
                    released.records.push_back(std::move(record));
        return released;
    }

    /// Takes over what a former owner gave up.
    void take_over(organisation_hand_over const& taken)
    {
        if (environment_.current_policy() == nullptr)
            return;
        auto const now = environment_.now();
        auto const& owners = environment_.current_policy()->owners;
        for (auto const& it : taken.shares) {
            auto const* const rate = find_rate(it.organisation);
            if (rate == nullptr)
                continue;
            auto const key = shares_key(it.organisation, *rate);
            // Tokens that come before this VM may act are lost.
            if (!environment_.current_policy()->leaving &&
                owners.may_act(key, now))
                shares_.take_over(it, *rate,
                    share_since(*environment_.current_policy(), it.organisation,
                        key, now),
                    now);
        }
        for (auto const& it : taken.records)
            records_.merge(it, now);
    }

    /// Drops what is old.
    void expire()
    {
        shares_.forget_idle(environment_.now());
        records_.expire(environment_.now());
    }

    std::size_t records() const { return records_.size(); }

private:
    rate_object const* find_rate(organisation_id const& organisation) const
    {
        auto const& policy = environment_.current_policy();
        if (policy == nullptr)
            return nullptr;
        return policy->index->source.template find<rate_object>(
            organisation.text());
    }

    bool keepers_changed(
        std::string const& organisation, policy_pointer const& before) const
    {
        if (before == nullptr)
            return true;
        auto const key = records_key(organisation);
        auto const old = before->owners.owners(key);
        auto const next = environment_.current_policy()->owners.owners(key);
        return !std::equal(old.begin(), old.end(), next.begin(), next.end(),
            [](auto const* left, auto const* right) {
                return left->vm == right->vm &&
                    left->incarnation == right->incarnation;
            });
    }

    /// Ownership and lease, checked next to the act.
    bool may_act(owned_key const& key, time_point now) const
    {
        return now < environment_.lease_end() &&
            !environment_.current_policy()->leaving &&
            environment_.current_policy()->owners.may_act(key, now);
    }

    charge_outcome judge(
        charge_question const& question, owned_key const& key, time_point now)
    {
        if (poison_.empty() || !poison_.knows(question.print))
            return charge_outcome::granted;
        auto const& owners = environment_.current_policy()->owners;
        if (owners.owners(key).front()->vm != owners.self())
            return charge_outcome::ask_first_owner;
        switch (poison_.ask(question.print, now)) {
        case poison_verdict::clear:
            return charge_outcome::granted;
        case poison_verdict::trial:
            return charge_outcome::granted_on_trial;
        case poison_verdict::held_back:
            return charge_outcome::held_back;
        }
        return charge_outcome::held_back;
    }

    static record_outcome outcome_of(record_verdict verdict)
    {
        switch (verdict) {
        case record_verdict::proceed:
            return record_outcome::accepted;
        case record_verdict::running:
            return record_outcome::running;
        case record_verdict::done:
            return record_outcome::done;
        case record_verdict::unknown:
            return record_outcome::unknown;
        case record_verdict::differs:
            return record_outcome::differs;
        case record_verdict::full:
            return record_outcome::full;
        }
        return record_outcome::unknown;
    }

    void begin(idempotency_record const& record,
        std::vector<vm_record const*> const& owners,
        std::function<void(record_reply)> reply)
    {
        records_.expire(environment_.now());
        auto const verdict = records_.begin(record, environment_.now());
        record_reply answer{outcome_of(verdict), {}};
        if (verdict == record_verdict::done)
            answer.answer =
                records_.find(record.organisation, record.repeat_key)->answer;
        if (verdict != record_verdict::proceed)
            return reply(std::move(answer));
        if (owners.size() < 2)
            return reply(std::move(answer));
        copy_to(*owners[1], record,
            [this, record, reply = std::move(reply)](bool kept) {
                if (kept)
                    return reply({record_outcome::accepted, {}});
                records_.withdraw(record.organisation, record.repeat_key);
                reply({record_outcome::not_ready, {}});
            });
    }

    void change(record_question const& question,
        std::vector<vm_record const*> const& owners,
        std::function<void(record_reply)> reply)
    {
        auto const& it = question.record;
        auto const now = environment_.now();
        switch (question.step) {
        case record_step::finish:
            records_.finish(it.organisation, it.repeat_key, it.answer, now);
            break;
        case record_step::lose:
            records_.lose(it.organisation, it.repeat_key, now);
            break;
        case record_step::withdraw:
            records_.withdraw(it.organisation, it.repeat_key);
            if (owners.size() > 1)
                withdraw_at(*owners[1], it);
            return reply({record_outcome::accepted, {}});
        case record_step::begin:
        case record_step::copy:
        case record_step::withdraw_copy:
            break;
        }
        auto const* const changed =
            records_.find(it.organisation, it.repeat_key);
        if (changed == nullptr || owners.size() < 2)
            return reply({record_outcome::accepted, {}});
        copy_to(*owners[1], *changed, [reply = std::move(reply)](bool) {
            reply({record_outcome::accepted, {}});
        });
    }

    /// The message may be lost: then the backup's copy ends as unknown, and
    /// a later repeat is refused although it could run.
    void withdraw_at(vm_record const& backup, idempotency_record const& record)
    {
        record_question question{record_step::withdraw_copy, record};
        environment_.ask_record(backup, question, [](record_reply) {});
    }

    void copy_to(vm_record const& backup, idempotency_record const& record,
        std::function<void(bool)> kept)
    {
        record_question question{record_step::copy, record};
        environment_.ask_record(
            backup, question, [kept = std::move(kept)](record_reply reply) {
                kept(reply.result == record_outcome::accepted);
            });
    }

    Environment& environment_;
    organisation_shares shares_;
    poison_guard poison_;
    record_table records_;
};

} // namespace pomelohinge

#endif
