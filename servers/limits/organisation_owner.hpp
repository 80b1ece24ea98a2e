#ifndef POMELOHINGE_SERVERS_LIMITS_ORGANISATION_OWNER_HPP
#define POMELOHINGE_SERVERS_LIMITS_ORGANISATION_OWNER_HPP

#include "core/invariant.hpp"
#include "servers/idempotency/record_keeper.hpp"
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
        : environment_(environment), records_(environment)
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

    /// Carries out a step of a record.
    void record(record_question const& question,
        std::function<void(record_reply)> reply)
    {
        records_.record(question, std::move(reply));
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
        released.records = records_.to_hand_over(before);
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
        records_.take_over(taken.records);
    }

    /// Drops what is old.
    void expire()
    {
        shares_.forget_idle(environment_.now());
        records_.expire();
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

    Environment& environment_;
    organisation_shares shares_;
    poison_guard poison_;
    record_keeper<Environment> records_;
};

} // namespace pomelohinge

#endif
