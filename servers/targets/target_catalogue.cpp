#include "servers/targets/target_catalogue.hpp"

namespace pomelohinge {

target_catalogue::target_catalogue(
    std::vector<target_record> records, std::uint64_t revision)
    : records_(std::move(records)), revision_(revision)
{
    for (std::size_t it = 0; it < records_.size(); ++it) {
        by_id_.emplace(records_[it].id.text(), it);
        by_service_[records_[it].service.text()].push_back(it);
    }
}

target_record const* target_catalogue::find(std::string_view id) const
{
    auto const it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : &records_[it->second];
}

std::vector<std::size_t> const& target_catalogue::of_service(
    std::string_view service) const
{
    static std::vector<std::size_t> const none;
    auto const it = by_service_.find(service);
    return it == by_service_.end() ? none : it->second;
}

} // namespace pomelohinge
