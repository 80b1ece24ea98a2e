#ifndef POMELOHINGE_SERVERS_CONTROL_REMOTE_MEMBERS_HPP
#define POMELOHINGE_SERVERS_CONTROL_REMOTE_MEMBERS_HPP

#include "servers/exchange/sync.hpp"
#include "servers/membership/member_table.hpp"

#include <map>
#include <memory>

namespace pomelohinge {

/// The members of a hub's data centre as its replies to hubs of other data
/// centres have them: only what has changed since the last reply, if the sender
/// of the question holds that. A digest of the list is its sequence number,
/// so that changes elsewhere do not change it.
class remote_members
{
public:
    /// Adds the members of `data_centre` to a reply, and returns their number.
    std::size_t write(sync_question const& question,
        member_table const& members, data_centre_id const& data_centre,
        sync_reply& reply);

private:
    struct digested_list
    {
        std::uint64_t digest = 0;
        std::shared_ptr<fleet_members const> members;
    };

    void update(member_table const& members, data_centre_id const& data_centre);

    /// Made at this sequence number of the table.
    std::uint64_t sequence_ = 0;
    digested_list current_;
    /// The last list that a question confirmed, or a reply had in full, by the
    /// data centre that asks.
    std::map<data_centre_id, digested_list> sent_;
};

} // namespace pomelohinge

#endif
