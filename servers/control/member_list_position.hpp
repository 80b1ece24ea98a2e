#ifndef POMELOHINGE_SERVERS_CONTROL_MEMBER_LIST_POSITION_HPP
#define POMELOHINGE_SERVERS_CONTROL_MEMBER_LIST_POSITION_HPP

#include "servers/exchange/sync.hpp"

namespace pomelohinge {

/// The member list last received from a hub: the incarnation of that hub and
/// its sequence number.
struct member_list_position
{
    std::uint64_t source = 0;
    std::uint64_t sequence = 0;

    void write_to(sync_question& question) const
    {
        question.members_source = source;
        question.members_sequence = sequence;
    }

    void advance(sync_reply const& reply)
    {
        source = reply.members_source;
        sequence = reply.members_sequence;
    }

    /// Whether the hub still has this list, so that the reply omits it.
    bool is_confirmed_by(sync_reply const& reply) const
    {
        return !reply.members && reply.members_source == source &&
            reply.members_sequence == sequence;
    }
};

} // namespace pomelohinge

#endif
