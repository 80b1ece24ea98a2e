#include "drivers/peers/message_sizes.hpp"

#include <google/protobuf/wire_format_lite.h>

namespace pomelohinge {
namespace {

/// Size of a repeated field, with tag and length of each element, which take
/// two bytes while an element is shorter than 128 bytes.
template <class Rows>
std::uint64_t size_of(Rows const& rows)
{
    constexpr std::uint64_t prefix_bytes = 2;
    std::uint64_t bytes = 0;
    for (auto const& it : rows)
        bytes += it.ByteSizeLong() + prefix_bytes;
    return bytes;
}

std::uint64_t& part(exchange_bytes& bytes, exchange_part it)
{
    return bytes[index_of(it)];
}

void add_report(exchange_bytes& bytes, wire::Report const& report)
{
    part(bytes, exchange_part::target_reports) += size_of(report.targets());
    part(bytes, exchange_part::organisations) += size_of(report.demands());
    part(bytes, exchange_part::service_loads) += size_of(report.loads());
}

void add_changes(exchange_bytes& bytes, wire::ReportChanges const& changes)
{
    using packed = google::protobuf::internal::WireFormatLite;
    part(bytes, exchange_part::target_reports) +=
        packed::UInt32Size(changes.targets()) + size_of(changes.target_names());
    part(bytes, exchange_part::organisations) +=
        packed::UInt32Size(changes.organisations()) +
        size_of(changes.organisation_names());
    part(bytes, exchange_part::service_loads) += size_of(changes.loads());
}

/// Assigns what the other parts leave of `total` to the header.
exchange_bytes with_header(exchange_bytes bytes, std::uint64_t total)
{
    std::uint64_t counted = 0;
    for (auto const it : bytes)
        counted += it;
    part(bytes, exchange_part::header) = total > counted ? total - counted : 0;
    return bytes;
}

} // namespace

exchange_bytes bytes_by_part(wire::SyncQuestion const& question)
{
    exchange_bytes bytes{};
    add_report(bytes, question.report());
    add_changes(bytes, question.changes());
    return with_header(bytes, question.ByteSizeLong());
}

exchange_bytes bytes_by_part(wire::SyncReply const& reply)
{
    exchange_bytes bytes{};
    add_report(bytes, reply.others());
    part(bytes, exchange_part::members) = size_of(reply.members());
    part(bytes, exchange_part::target_list) =
        reply.has_targets() ? reply.targets().ByteSizeLong() : 0;
    part(bytes, exchange_part::configuration) = reply.configuration().size();
    return with_header(bytes, reply.ByteSizeLong());
}

} // namespace pomelohinge
